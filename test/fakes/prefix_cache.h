/** @file prefix_cache.h Prefix cache of a fake model engine. */

#ifndef TEST_FAKES_PREFIX_CACHE_H_
#define TEST_FAKES_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornpath {

/** Tokens in one block of the cache. */
inline constexpr std::size_t kBlockTokens = 16;

/** Names a block by its tokens and all tokens before it. */
enum class BlockHash : std::uint64_t {};

/** @return The hashes of the whole blocks of a text, chained. */
std::vector<BlockHash> BlockHashes(const std::vector<std::string>& tokens);

/** What happened to a block. */
enum class CacheChange { kStored, kRemoved };

/** Blocks held, least recently used first to go. */
class PrefixCache {
 public:
  using Listener = std::function<void(CacheChange, BlockHash)>;

  /**
   * @param capacity_tokens Most tokens held.
   * @param listener Told of every block stored and removed.
   */
  PrefixCache(std::size_t capacity_tokens, Listener listener)
      : capacity_blocks(capacity_tokens / kBlockTokens),
        listener(std::move(listener)) {}

  /** @return Tokens at the start of a text that are held; marks them used. */
  std::size_t Use(const std::vector<BlockHash>& blocks);

  /** Holds the blocks of a text. */
  void Store(const std::vector<BlockHash>& blocks);

 private:
  void Touch(BlockHash block);
  void EvictOldest();

  std::size_t capacity_blocks;
  Listener listener;
  std::list<BlockHash> order;  ///< Most recently used first.
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> held;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_PREFIX_CACHE_H_
