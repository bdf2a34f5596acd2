/** @file chat_affinity_cache.h Caches the last endpoint of each chat. */

#ifndef SRC_ROUTER_CHAT_AFFINITY_CACHE_H_
#define SRC_ROUTER_CHAT_AFFINITY_CACHE_H_

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "buckthornpath/strong_id_type.h"
#include "kernel/lock_order.h"

namespace buckthornpath {

/**
 * LRU cache of the endpoint that last served each chat, for callers that return
 * no location hint.
 */
class ChatAffinityCache {
 public:
  /** @param capacity Maximum number of chats. */
  explicit ChatAffinityCache(std::size_t capacity) : capacity(capacity) {}

  /** Records that an endpoint served a chat. */
  void Record(const std::string& chat, const EndpointId& endpoint);

  /** @return The endpoint that last served a chat, if cached. */
  std::optional<EndpointId> Find(const std::string& chat) const;

 private:
  struct Entry {
    std::string chat;
    EndpointId endpoint;
  };

  std::size_t capacity;
  mutable OrderedMutex mutex{LockRank::kMembers};
  std::list<Entry> entries;  ///< Most recently used first.
  std::unordered_map<std::string, std::list<Entry>::iterator> index;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CHAT_AFFINITY_CACHE_H_
