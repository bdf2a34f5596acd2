/** @file fake_engine.cc Stands in for a model engine. */

#include <docopt/docopt.h>

#include <atomic>
#include <cstdlib>
#include <iostream>

#include "fakes/fake_program.h"
#include "fakes/generation.h"
#include "wire/event_stream.h"

namespace buckthornpath {

namespace {

constexpr const char* kUsage =
    R"(fake_engine: model engine for tests.

Usage:
  fake_engine --address=<address> [--token-ms=<n>] [--history=<file>]

Options:
  --token-ms=<n>    Time between two tokens [default: 2].
  --history=<file>  Where runs are noted.
)";

class FakeEngine {
 public:
  FakeEngine(std::chrono::milliseconds token_time, const std::string& history)
      : token_time(token_time), history(history) {}

  asio::awaitable<void> Serve(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.Path() == "/v1/chat/completions") {
      co_await this->Complete(exchange);
    } else if (request.Path() == "/v1/load") {
      HttpResponse load = JsonResponse({{"running", this->running.load()}});
      co_await exchange.Send(std::move(load));
    } else {
      co_await exchange.Send(StatusResponse(404));
    }
  }

 private:
  asio::awaitable<void> Complete(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const auto prompt = PromptTokens(request.body);
    const std::size_t wanted = TokensWanted(request.body);
    this->history.Write(
        {{"event", "engine_run"},
         {"body", request.body},
         {"request", request.headers.Find("X-Request-Id").value_or("")}});
    ++this->running;
    HttpResponse head;
    head.headers.Set("Content-Type", "text/event-stream");
    co_await exchange.BeginStream(std::move(head));
    for (std::size_t i = 0; i < wanted; ++i) {
      co_await SleepFor(this->token_time);
      co_await exchange.WriteChunk(
          FormatEvent("", "", TokenEvent(GeneratedToken(prompt, i))));
    }
    co_await exchange.WriteChunk(FormatEvent("", "", "[DONE]"));
    co_await exchange.EndStream();
    --this->running;
  }

  std::chrono::milliseconds token_time;
  HistoryFile history;
  std::atomic<int> running = 0;
};

int Main(int argc, char** argv) {
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
  FakeEngine engine(
      std::chrono::milliseconds(options["--token-ms"].asLong()),
      options["--history"] ? options["--history"].asString() : "");
  WorkerPool pool(2);
  HttpServer server(
      pool, ParseSocketAddress(options["--address"].asString()), {},
      [&](HttpExchange& exchange) { return engine.Serve(exchange); });
  server.Start();
  RunUntilSignal(pool);
  std::quick_exit(0);
}

}  // namespace

}  // namespace buckthornpath

int main(int argc, char** argv) {
  return buckthornpath::Main(argc, argv);
}
