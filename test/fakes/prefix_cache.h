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

/** Identifies a block by a hash of its tokens and all tokens before it. */
enum class BlockHash : std::uint64_t {};

/** @return The chained hashes of the complete blocks of a text. */
std::vector<BlockHash> BlockHashes(const std::vector<std::string>& tokens);

/** Kind of a change of the cache. */
enum class CacheChange { kStored, kRemoved };

/** A cache of token blocks that evicts the least recently used. */
class PrefixCache {
 public:
  using Listener = std::function<void(CacheChange, BlockHash)>;

  /**
   * @param capacity_tokens Maximum number of tokens in the cache.
   * @param listener Called for every block stored or removed.
   */
  PrefixCache(std::size_t capacity_tokens, Listener listener)
      : capacity_blocks(capacity_tokens / kBlockTokens),
        listener(std::move(listener)) {}

  /** Marks the cached prefix of a text as used. @return Its tokens. */
  std::size_t LookUpPrefix(const std::vector<BlockHash>& blocks);

  /** Adds the blocks of a text, as far as they fit. */
  void Store(const std::vector<BlockHash>& blocks);

 private:
  void Touch(BlockHash block);
  void EvictLeastRecentlyUsed();

  std::size_t capacity_blocks;
  Listener listener;
  std::list<BlockHash> recency;  ///< Most recently used first.
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> entries;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_PREFIX_CACHE_H_
