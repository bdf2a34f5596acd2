/** @file endpoint_channel.cc A router's connection to an endpoint process. */

#include "router/endpoint_channel.h"

namespace buckthornpath {

std::chrono::milliseconds EndpointDialogue::IncarnationAge() const {
  return this->hello.now +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - this->hello_at);
}

asio::awaitable<EndpointDialogue> OpenDialogue(
    SocketAddress address,
    std::chrono::milliseconds timeout) {
  EndpointDialogue dialogue;
  dialogue.connection = co_await DialogueConnection::Connect(address, timeout);
  const Message first = co_await dialogue.connection->Receive(timeout);
  const auto* hello = std::get_if<Hello>(&first);
  if (hello == nullptr)
    throw DialogueLost("no hello");
  dialogue.hello = *hello;
  dialogue.hello_at = std::chrono::steady_clock::now();
  co_return dialogue;
}

}  // namespace buckthornpath
