/** @file endpoint_channel.cc A router's connection to an endpoint process. */

#include "router/endpoint_channel.h"

namespace buckthornpath {

std::chrono::milliseconds EndpointChannel::IncarnationAge() const {
  return this->hello.now +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - this->hello_received_at);
}

asio::awaitable<EndpointChannel> OpenChannel(
    SocketAddress address,
    std::chrono::milliseconds timeout) {
  EndpointChannel channel;
  channel.connection = co_await MessageConnection::Connect(address, timeout);
  const Message first = co_await channel.connection->Receive(timeout);
  const auto* hello = std::get_if<Hello>(&first);
  if (hello == nullptr)
    throw ConnectionLost("no hello");
  channel.hello = *hello;
  channel.hello_received_at = std::chrono::steady_clock::now();
  co_return channel;
}

}  // namespace buckthornpath
