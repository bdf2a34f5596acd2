/** @file prefix_cache.cc Prefix cache of a fake model engine. */

#include "fakes/prefix_cache.h"

#include <xxhash.h>

#include <algorithm>

namespace buckthornpath {

std::vector<BlockHash> BlockHashes(const std::vector<std::string>& tokens) {
  std::vector<BlockHash> blocks;
  XXH64_hash_t hash = 0;
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    hash = XXH3_64bits_withSeed(tokens[i].data(), tokens[i].size(), hash);
    if ((i + 1) % kBlockTokens == 0)
      blocks.push_back(BlockHash{hash});
  }
  return blocks;
}

std::size_t PrefixCache::LookUpPrefix(const std::vector<BlockHash>& blocks) {
  const auto missing = std::find_if(
      blocks.begin(), blocks.end(),
      [this](BlockHash block) { return this->entries.count(block) == 0; });
  // The first block is marked last, so that the tail of a text is evicted
  // first: a block is of no use without the blocks before it.
  for (auto block = missing; block != blocks.begin();)
    this->Touch(*--block);
  return static_cast<std::size_t>(missing - blocks.begin()) * kBlockTokens;
}

void PrefixCache::Store(const std::vector<BlockHash>& blocks) {
  const std::size_t count = std::min(blocks.size(), this->capacity_blocks);
  for (std::size_t i = count; i > 0; --i)
    this->Touch(blocks[i - 1]);
  while (this->entries.size() > this->capacity_blocks)
    this->EvictLeastRecentlyUsed();
}

void PrefixCache::Touch(BlockHash block) {
  const auto found = this->entries.find(block);
  if (found != this->entries.end()) {
    this->recency.splice(this->recency.begin(), this->recency, found->second);
    return;
  }
  this->recency.push_front(block);
  this->entries[block] = this->recency.begin();
  this->listener(CacheChange::kStored, block);
}

void PrefixCache::EvictLeastRecentlyUsed() {
  const BlockHash block = this->recency.back();
  this->recency.pop_back();
  this->entries.erase(block);
  this->listener(CacheChange::kRemoved, block);
}

}  // namespace buckthornpath
