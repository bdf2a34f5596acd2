/** @file chat_memory.h Remembers where a router's recent chats went. */

#ifndef SRC_ROUTER_CHAT_MEMORY_H_
#define SRC_ROUTER_CHAT_MEMORY_H_

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "buckthornpath/strong_id_type.h"
#include "kernel/lock_order.h"

namespace buckthornpath {

/**
 * The endpoints that served the chats seen last, for callers that return no
 * location hint. Bounded; the chat used longest ago is evicted first.
 */
class ChatMemory {
 public:
  explicit ChatMemory(std::size_t capacity) : capacity(capacity) {}

  /** Notes that an endpoint served a chat. */
  void Note(const std::string& chat, const EndpointId& endpoint);

  /** @return The endpoint that served a chat last, if remembered. */
  std::optional<EndpointId> Find(const std::string& chat) const;

 private:
  struct Entry {
    std::string chat;
    EndpointId endpoint;
  };

  std::size_t capacity;
  mutable OrderedMutex mutex{LockRank::kMembers};
  std::list<Entry> entries;  ///< Used last first.
  std::unordered_map<std::string, std::list<Entry>::iterator> index;
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CHAT_MEMORY_H_
