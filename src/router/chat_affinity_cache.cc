/** @file chat_affinity_cache.cc Caches the last endpoint of each chat. */

#include "router/chat_affinity_cache.h"

namespace buckthornpath {

void ChatAffinityCache::Record(const std::string& chat,
                               const EndpointId& endpoint) {
  const OrderedLock lock(this->mutex);
  const auto found = this->index.find(chat);
  if (found != this->index.end()) {
    found->second->endpoint = endpoint;
    this->entries.splice(this->entries.begin(), this->entries, found->second);
    return;
  }
  this->entries.push_front({chat, endpoint});
  this->index[chat] = this->entries.begin();
  if (this->entries.size() <= this->capacity)
    return;
  this->index.erase(this->entries.back().chat);
  this->entries.pop_back();
}

std::optional<EndpointId> ChatAffinityCache::Find(
    const std::string& chat) const {
  const OrderedLock lock(this->mutex);
  const auto found = this->index.find(chat);
  if (found == this->index.end())
    return std::nullopt;
  return found->second->endpoint;
}

}  // namespace buckthornpath
