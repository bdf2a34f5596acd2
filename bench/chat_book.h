/** @file chat_book.h What was said in each chat, and what a cache could reuse.
 */

#ifndef BENCH_CHAT_BOOK_H_
#define BENCH_CHAT_BOOK_H_

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_set>
#include <vector>

#include "workload.h"

namespace buckthornpath {

/** A turn as it is sent. */
struct PreparedTurn {
  std::size_t index = 0;              ///< Of the chat within its organisation.
  std::string chat;                   ///< Name of the chat.
  std::string location;               ///< Location hint of the last answer.
  std::string body;                   ///< The chat completion request.
  std::size_t ideal_tokens = 0;       ///< Prompt tokens of an infinite cache.
  std::vector<std::uint64_t> blocks;  ///< Of the prompt, chained by hash.
};

/** All chats of a run, and the infinite cache they are compared with. */
class ChatBook {
 public:
  /** @param callers_echo Whether callers return the location hint. */
  explicit ChatBook(bool callers_echo);

  /** @return The next turn of a chat; of a new one if it is being asked. */
  PreparedTurn Begin(const Turn& turn);

  /** Notes how a turn ended; an unfinished one leaves the chat as it was. */
  void End(const Turn& turn,
           const PreparedTurn& prepared,
           const std::string& answer,
           const std::string& location,
           bool finished);

 private:
  struct Chat {
    std::size_t generation = 0;  ///< Chats that stood in this place before.
    std::size_t turns = 0;
    bool busy = false;
    std::string location;
    nlohmann::json messages = nlohmann::json::array();
  };

  bool callers_echo;
  std::mutex mutex;
  std::vector<std::vector<Chat>> chats;  ///< By organisation.
  std::unordered_set<std::uint64_t> cached_blocks;
};

}  // namespace buckthornpath

#endif  // BENCH_CHAT_BOOK_H_
