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

std::size_t PrefixCache::Use(const std::vector<BlockHash>& blocks) {
  const auto missing = std::find_if(
      blocks.begin(), blocks.end(),
      [this](BlockHash block) { return this->held.count(block) == 0; });
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
  while (this->held.size() > this->capacity_blocks)
    this->EvictOldest();
}

void PrefixCache::Touch(BlockHash block) {
  const auto found = this->held.find(block);
  if (found != this->held.end()) {
    this->order.splice(this->order.begin(), this->order, found->second);
    return;
  }
  this->order.push_front(block);
  this->held[block] = this->order.begin();
  this->listener(CacheChange::kStored, block);
}

void PrefixCache::EvictOldest() {
  const BlockHash oldest = this->order.back();
  this->order.pop_back();
  this->held.erase(oldest);
  this->listener(CacheChange::kRemoved, oldest);
}

}  // namespace buckthornpath
