/** @file chat_book.h Chat histories, and the prompt tokens that a cache could
 * reuse. */

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

/** Turn of a chat with its request. */
struct PreparedTurn {
  std::size_t index = 0;              ///< Chat within its organisation.
  std::string chat;                   ///< Name of the chat.
  std::string location;               ///< Location hint of the last response.
  std::string body;                   ///< The chat completion request.
  std::size_t ideal_tokens = 0;       ///< Cached in an unlimited cache.
  std::vector<std::uint64_t> blocks;  ///< Chained hashes of prompt blocks.
};

/** Chats of a run, and a model of an unlimited cache for comparison. */
class ChatBook {
 public:
  /** @param callers_echo Whether callers return the location hint. */
  explicit ChatBook(bool callers_echo);

  /** @return The next turn of a chat, or the first turn of a new chat if the
   * chat has a call in flight. */
  PreparedTurn Begin(const Turn& turn);

  /** Records the end of a turn. An unfinished one does not change the history.
   */
  void End(const Turn& turn,
           const PreparedTurn& prepared,
           const std::string& answer,
           const std::string& location,
           bool finished);

 private:
  struct Chat {
    std::size_t generation = 0;  ///< Number of earlier chats at this index.
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
