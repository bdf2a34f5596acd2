/** @file latency.cc Measures the latency that a router and an endpoint process
 * add to a call. */

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <mutex>
#include <thread>

#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "kernel/http_client.h"
#include "wire/event_stream.h"

namespace buckthornpath {

namespace {

using Clock = std::chrono::steady_clock;
using Samples = std::vector<std::chrono::nanoseconds>;

constexpr int kCalls = 300;
constexpr int kTokens = 40;
constexpr int kSilenceCalls = 24;
constexpr int kConcurrentCallers = 4;
constexpr int kSilenceTokens = 3000;

double QuantileMs(Samples samples, double quantile) {
  std::sort(samples.begin(), samples.end());
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(samples.size() - 1));
  return std::chrono::duration<double, std::milli>(samples.at(index)).count();
}

nlohmann::json Summary(const Samples& samples) {
  return {{"p50_ms", QuantileMs(samples, 0.5)},
          {"p95_ms", QuantileMs(samples, 0.95)},
          {"samples", samples.size()}};
}

asio::awaitable<void> ReadArrivals(SocketAddress address,
                                   HttpRequest request,
                                   std::vector<Clock::time_point>& arrivals) {
  auto response =
      co_await HttpResponseStream::Open(address, request, kCallerTimeout);
  EventStreamParser reader;
  while (auto piece = co_await response->ReadSome(kCallerTimeout)) {
    reader.Feed(*piece);
    while (auto event = reader.Next()) {
      if (event->event.empty() && event->data != "[DONE]")
        arrivals.push_back(Clock::now());
    }
  }
}

/** @return Arrival time of each token of a response. */
std::vector<Clock::time_point> TokenArrivals(const SocketAddress& address,
                                             const HttpRequest& request) {
  std::vector<Clock::time_point> arrivals;
  asio::io_context io;
  asio::co_spawn(io, ReadArrivals(address, request, arrivals), asio::detached);
  io.run();
  if (arrivals.size() != kTokens)
    throw std::runtime_error("incomplete response");
  return arrivals;
}

/** Latency samples of one kind of call. */
struct LatencySamples {
  Samples first_byte;
  Samples token;  ///< Mean time between the tokens of a response.

  void Call(const SocketAddress& address, const HttpRequest& request) {
    const auto started_at = Clock::now();
    const std::vector<Clock::time_point> arrivals =
        TokenArrivals(address, request);
    this->first_byte.push_back(arrivals.front() - started_at);
    this->token.push_back((arrivals.back() - arrivals.front()) /
                          (arrivals.size() - 1));
  }
};

/** Measures routed calls and direct calls to the engine, alternately. */
void MeasureAddedLatency() {
  FleetPlan plan;
  plan.endpoints = {{"draft-1", "drafting", true}};
  const LocalFleet fleet(std::move(plan));
  LatencySamples direct;
  LatencySamples routed;
  for (int i = 0; i < kCalls; ++i) {
    const HttpRequest request =
        ChatRequest(kParishCredential, "chat", "c",
                    "question " + std::to_string(i), kTokens);
    routed.Call(fleet.Router(0), request);
    HttpRequest same = request;
    same.headers = HttpHeaders{{"Content-Type", "application/json"},
                               {"X-Request-Id", std::to_string(i)}};
    direct.Call(fleet.Engine(0), same);
  }
  const auto added = [](const Samples& with, const Samples& without) {
    return QuantileMs(with, 0.95) - QuantileMs(without, 0.95);
  };
  std::cout << nlohmann::json{{"first_byte_direct", Summary(direct.first_byte)},
                              {"first_byte_routed", Summary(routed.first_byte)},
                              {"first_byte_added_p95_ms",
                               added(routed.first_byte, direct.first_byte)},
                              {"token_direct", Summary(direct.token)},
                              {"token_routed", Summary(routed.token)},
                              {"token_added_p95_ms",
                               added(routed.token, direct.token)}}
                   .dump(2)
            << std::endl;
}

/** Measures how long a stream pauses when its connection to the endpoint stops
 * passing data, until the response resumes. */
void MeasureSilence() {
  FleetPlan plan;
  plan.proxied = true;
  plan.endpoints = {{"draft-1", "drafting", true}};
  LocalFleet fleet(std::move(plan));
  std::mutex mutex;
  Samples pauses;
  const auto call = [&](int number) {
    const HttpRequest request =
        ChatRequest(kParishCredential, "statement", "c",
                    "draft " + std::to_string(number), kSilenceTokens);
    Clock::time_point last_chunk_at = Clock::now();
    std::chrono::nanoseconds max_pause{};
    const auto on_chunk = [&](std::size_t count) {
      const auto now = Clock::now();
      if (count > 1)
        max_pause =
            std::max<std::chrono::nanoseconds>(max_pause, now - last_chunk_at);
      last_chunk_at = now;
      if (count == 50 && number % kConcurrentCallers == 0)
        fleet.Proxy(0).SilenceOpen();
      return true;
    };
    const StreamedAnswer answer =
        CallStream(fleet.Router(0), request, on_chunk);
    const std::lock_guard lock(mutex);
    if (!answer.complete || answer.chunks != ExpectedChunks(request))
      throw std::runtime_error("incomplete response");
    pauses.push_back(max_pause);
  };
  for (int i = 0; i < kSilenceCalls; i += kConcurrentCallers) {
    std::vector<std::jthread> callers;
    callers.reserve(kConcurrentCallers);
    for (int j = 0; j < kConcurrentCallers; ++j)
      callers.emplace_back(call, i + j);
  }
  std::cout << nlohmann::json{{"silence_to_resumed", Summary(pauses)}}.dump(2)
            << std::endl;
}

}  // namespace

}  // namespace buckthornpath

int main() {
  buckthornpath::MeasureAddedLatency();
  buckthornpath::MeasureSilence();
}
