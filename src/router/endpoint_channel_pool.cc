/** @file endpoint_channel_pool.cc Pool of idle connections to endpoint
 * processes. */

#include "router/endpoint_channel_pool.h"

namespace buckthornpath {

namespace {

constexpr std::size_t kMostIdlePerEndpoint = 8;
constexpr std::size_t kMostIdle = 1024;

/** Time after which an idle connection is not reused. */
constexpr std::chrono::seconds kLongestIdle{20};

}  // namespace

std::optional<EndpointDialogue> DialoguePool::Take(
    const SocketAddress& address) {
  const OrderedLock lock(this->mutex);
  const auto found = this->idle.find(FormatSocketAddress(address));
  if (found == this->idle.end())
    return std::nullopt;
  const auto oldest = std::chrono::steady_clock::now() - kLongestIdle;
  std::optional<EndpointDialogue> taken;
  while (!taken && !found->second.empty()) {
    IdleDialogue last = std::move(found->second.back());
    found->second.pop_back();
    --this->size;
    if (last.since > oldest && last.dialogue.connection->IsQuiet())
      taken = std::move(last.dialogue);
  }
  if (found->second.empty())
    this->idle.erase(found);
  return taken;
}

void DialoguePool::Put(const SocketAddress& address,
                       EndpointDialogue dialogue) {
  if (!dialogue.connection->IsQuiet())
    return;
  const OrderedLock lock(this->mutex);
  auto& list = this->idle[FormatSocketAddress(address)];
  if (list.size() >= kMostIdlePerEndpoint) {
    list.pop_front();
    --this->size;
  }
  if (this->size >= kMostIdle)
    return;
  list.push_back({std::move(dialogue), std::chrono::steady_clock::now()});
  ++this->size;
}

void DialoguePool::Forget(const SocketAddress& address) {
  const OrderedLock lock(this->mutex);
  const auto found = this->idle.find(FormatSocketAddress(address));
  if (found == this->idle.end())
    return;
  this->size -= found->second.size();
  this->idle.erase(found);
}

std::size_t DialoguePool::Size() const {
  const OrderedLock lock(this->mutex);
  return this->size;
}

}  // namespace buckthornpath
