/** @file caller.cc HTTP clients of a router, for tests. */

#include "harness/caller.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "kernel/blocking_http.h"
#include "kernel/http_client.h"
#include "wire/event_stream.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kPollInterval{5};

void ReadEndOrProblem(const ServerSentEvent& event, StreamedAnswer& answer) {
  const auto end = nlohmann::json::parse(event.data);
  answer.outcome = end.value("outcome", "");
  answer.type = end.value("type", "");
  answer.complete = event.event == "end" && end.value("complete", false);
}

asio::awaitable<void> ReadStreamedResponse(
    SocketAddress address,
    HttpRequest request,
    std::function<bool(std::size_t)> on_chunk,
    std::chrono::milliseconds timeout,
    StreamedAnswer& answer) {
  auto response = co_await HttpResponseStream::Open(address, request, timeout);
  answer.status = response->head().status;
  answer.request_id =
      response->head().headers.Find("X-Request-Id").value_or("");
  EventStreamParser reader;
  std::string body;
  while (auto chunk = co_await response->ReadSome(timeout)) {
    body += *chunk;
    reader.Feed(*chunk);
    while (auto event = reader.Next()) {
      if (!event->event.empty())
        ReadEndOrProblem(*event, answer);
      if (event->id.empty())
        continue;
      answer.chunks.push_back(event->data);
      if (on_chunk && !on_chunk(answer.chunks.size()))
        co_return;
    }
  }
  if (answer.status == 200)
    co_return;
  ReadEndOrProblem({"error", "", body}, answer);
}

}  // namespace

HttpResponse CallHttp(const SocketAddress& address,
                      const HttpRequest& request,
                      std::chrono::milliseconds timeout) {
  return FetchBlocking(address, request, timeout);
}

void SendHttp(const SocketAddress& address,
              const std::string& method,
              const std::string& target,
              const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  CallHttp(address, request);
}

StreamedAnswer CallStream(const SocketAddress& address,
                          const HttpRequest& request,
                          const std::function<bool(std::size_t)>& on_chunk,
                          std::chrono::milliseconds timeout) {
  StreamedAnswer answer;
  try {
    RunBlocking(
        ReadStreamedResponse(address, request, on_chunk, timeout, answer));
  } catch (const HttpError& error) {
    answer.fault = error.what();
    answer.complete = false;
  }
  return answer;
}

bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace buckthornpath
