/** @file endpoint_channel_pool.cc Idle connections to endpoint processes. */

#include "router/endpoint_channel_pool.h"

namespace buckthornpath {

namespace {

constexpr std::size_t kMaxIdlePerEndpoint = 8;
constexpr std::size_t kMaxIdle = 1024;

/** Time after which an idle connection is not reused. */
constexpr std::chrono::seconds kMaxIdleTime{20};

}  // namespace

std::optional<EndpointChannel> EndpointChannelPool::Take(
    const SocketAddress& address) {
  const OrderedLock lock(this->mutex);
  const auto found = this->idle.find(FormatSocketAddress(address));
  if (found == this->idle.end())
    return std::nullopt;
  const auto oldest = std::chrono::steady_clock::now() - kMaxIdleTime;
  std::optional<EndpointChannel> taken;
  while (!taken && !found->second.empty()) {
    IdleChannel last = std::move(found->second.back());
    found->second.pop_back();
    --this->size;
    if (last.since > oldest && last.channel.connection->IsIdle())
      taken = std::move(last.channel);
  }
  if (found->second.empty())
    this->idle.erase(found);
  return taken;
}

void EndpointChannelPool::Put(const SocketAddress& address,
                              EndpointChannel channel) {
  if (!channel.connection->IsIdle())
    return;
  const OrderedLock lock(this->mutex);
  auto& list = this->idle[FormatSocketAddress(address)];
  if (list.size() >= kMaxIdlePerEndpoint) {
    list.pop_front();
    --this->size;
  }
  if (this->size >= kMaxIdle)
    return;
  list.push_back({std::move(channel), std::chrono::steady_clock::now()});
  ++this->size;
}

void EndpointChannelPool::Drop(const SocketAddress& address) {
  const OrderedLock lock(this->mutex);
  const auto found = this->idle.find(FormatSocketAddress(address));
  if (found == this->idle.end())
    return;
  this->size -= found->second.size();
  this->idle.erase(found);
}

std::size_t EndpointChannelPool::Size() const {
  const OrderedLock lock(this->mutex);
  return this->size;
}

}  // namespace buckthornpath
