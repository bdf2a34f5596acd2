/** @file fake_engine.cc Fake model engine for tests. */

#include <docopt/docopt.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>

#include "fakes/cache_event_log.h"
#include "fakes/engine_batch.h"
#include "fakes/engine_faults.h"
#include "fakes/fake_program.h"
#include "fakes/generation.h"
#include "fakes/model_order_handler.h"
#include "wire/event_stream.h"

namespace buckthornpath {

namespace {

constexpr const char* kUsage =
    R"(fake_engine: model engine for tests.

Usage:
  fake_engine --address=<address> [options]

Options:
  --ignore-fencing            Takes orders whatever their fencing number.
  --address=<address>         IP number and port.
  --max-batch=<n>             Most requests in one step [default: 64].
  --prefill-tokens-per-s=<n>  Prompt tokens computed [default: 500000].
  --step-ms=<n>               Time of one step [default: 2].
  --token-ms=<n>              The same as --step-ms.
  --cache-tokens=<n>          Size of the prefix cache [default: 200000].
  --load-lag-ms=<n>           Age of the load reported [default: 0].
  --event-delay-ms=<n>        Age of cache events [default: 0].
  --event-gap-every=<n>       Each such event is lost [default: 0].
  --keep-ms=<n>               How long an answer is kept [default: 60000].
  --history=<file>            Where runs are noted.
)";

constexpr std::chrono::hours kHangTime{1};
constexpr std::string_view kRequestsPrefix = "/v1/requests/";

std::size_t ParseNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

class FakeEngine {
 public:
  FakeEngine(WorkerPool& pool,
             BatchRates rates,
             std::size_t cache_tokens,
             CacheEventLog events,
             const std::string& history,
             bool checks_fencing)
      : pool(pool),
        events(std::move(events)),
        cache(cache_tokens,
              [this](CacheChange change, BlockHash block) {
                this->events.Add(change, block,
                                 std::chrono::steady_clock::now());
              }),
        batch(pool, rates, this->cache),
        max_batch(rates.max_batch),
        history(history),
        order_handler(checks_fencing, this->history) {}

  asio::awaitable<void> Serve(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.Path() == "/v1/chat/completions") {
      co_await this->HandleCompletion(exchange);
    } else {
      HttpResponse response = this->HandleOther(request);
      co_await exchange.Send(std::move(response));
    }
  }

 private:
  /** Handles all requests but completions. */
  HttpResponse HandleOther(const HttpRequest& request) {
    const std::string_view path = request.Path();
    if (path == "/v1/load")
      return this->LoadReport();
    if (path == "/v1/cache_events") {
      const std::size_t after =
          ParseNumber(request.QueryParameter("after").value_or("0"));
      return JsonResponse(
          this->events.EventsAfter(after, std::chrono::steady_clock::now()));
    }
    if (path == "/v1/state")
      return this->order_handler.State();
    if (path == "/v1/orders")
      return this->order_handler.HandleOrder(request);
    if (path == "/control")
      return this->HandleControl(request);
    if (request.method == "DELETE" &&
        path.substr(0, kRequestsPrefix.size()) == kRequestsPrefix) {
      const std::string id(path.substr(kRequestsPrefix.size()));
      this->history.Write({{"event", "engine_cancel"}, {"cancelled", id}});
      return StatusResponse(this->batch.Cancel(id) ? 204 : 404);
    }
    return StatusResponse(404);
  }

  HttpResponse LoadReport() {
    const BatchLoad load = this->batch.ReportedLoad();
    return JsonResponse({{"running", load.running},
                         {"waiting", load.waiting},
                         {"batch", this->max_batch}});
  }

  HttpResponse HandleControl(const HttpRequest& request) {
    if (request.method == "POST") {
      try {
        this->faults = nlohmann::json::parse(request.body).get<EngineFaults>();
      } catch (const nlohmann::json::exception& error) {
        return JsonResponse({{"title", error.what()}}, 400);
      }
      this->batch.SetSlowFactor(this->faults.slow_factor);
    }
    return JsonResponse(this->faults);
  }

  /** @return A new generation, or null if the request is malformed. */
  GenerationPtr ParseGeneration(const HttpRequest& request) {
    auto generation = std::make_shared<Generation>(this->pool.context());
    try {
      generation->prompt = PromptTokens(request.body);
      generation->requested_tokens = TokensWanted(request.body);
    } catch (const nlohmann::json::exception&) {
      return nullptr;
    }
    generation->request_id =
        request.headers.Find("X-Request-Id")
            .value_or("unnamed-" + std::to_string(++this->unnamed_count));
    generation->priority = static_cast<int>(
        ParseNumber(request.headers.Find("X-Priority").value_or("0")));
    generation->prompt_hash = PromptHash(generation->prompt);
    generation->blocks = BlockHashes(generation->prompt);
    return generation;
  }

  asio::awaitable<void> HandleCompletion(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const auto resume = request.headers.Find("X-Resume-After");
    if (resume) {
      const GenerationPtr known =
          this->batch.Find(request.headers.Find("X-Request-Id").value_or(""));
      if (known) {
        co_await this->Stream(exchange, known, ParseNumber(*resume));
      } else {
        co_await exchange.Send(StatusResponse(404));
      }
      co_return;
    }
    if (ConsumeFault(this->faults.fail_next)) {
      co_await exchange.Send(StatusResponse(503));
      co_return;
    }
    const GenerationPtr generation = this->ParseGeneration(request);
    if (!generation) {
      co_await exchange.Send(StatusResponse(400));
      co_return;
    }
    this->history.Write({{"event", "engine_run"},
                         {"body", request.body},
                         {"request", generation->request_id},
                         {"priority", generation->priority}});
    if (ConsumeFault(this->faults.empty_next))
      generation->requested_tokens = 0;
    this->batch.Submit(generation);
    co_await this->Stream(exchange, generation, 0);
  }

  /** Streams a generation. @param sent Number of tokens to skip. */
  asio::awaitable<void> Stream(HttpExchange& exchange,
                               GenerationPtr generation,
                               std::size_t sent) {
    std::size_t send_limit = generation->requested_tokens + 1;
    if (ConsumeFault(this->faults.break_next))
      send_limit = sent + static_cast<std::size_t>(this->faults.break_after);
    HttpResponse head;
    head.headers.Append("Content-Type", "text/event-stream");
    co_await exchange.BeginStream(std::move(head));
    if (ConsumeFault(this->faults.hang_next))
      co_await SleepFor(kHangTime);
    while (sent < generation->generated_tokens || !generation->HasEnded()) {
      std::string text;
      while (sent < std::min(generation->generated_tokens, send_limit)) {
        text += FormatEvent(
            "", "",
            TokenEvent(GeneratedWord(generation->prompt_hash, sent++) + " "));
      }
      if (!text.empty()) {
        co_await exchange.WriteChunk(text);
        continue;
      }
      if (sent >= send_limit)
        throw HttpError("fault: stream broken");
      co_await generation->changed.async_wait(
          asio::as_tuple(asio::use_awaitable));
    }
    if (generation->is_cancelled)
      throw HttpError("cancelled");
    co_await this->EndStream(exchange, *generation);
  }

  asio::awaitable<void> EndStream(HttpExchange& exchange,
                                  const Generation& generation) {
    std::string text;
    const std::string& body = exchange.request().body;
    if (!body.empty() && RequestsUsage(body)) {
      text += FormatEvent(
          "", "",
          UsageEvent(generation.prompt.size(), generation.generated_tokens,
                     generation.cached_tokens));
    }
    text += FormatEvent("", "", "[DONE]");
    co_await exchange.WriteChunk(text);
    co_await exchange.EndStream();
  }

  WorkerPool& pool;
  CacheEventLog events;
  PrefixCache cache;
  EngineBatch batch;
  std::size_t max_batch;
  HistoryFile history;
  ModelOrderHandler order_handler;
  EngineFaults faults;
  std::uint64_t unnamed_count = 0;
};

int Main(int argc, char** argv) {
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const auto number = [&](const char* name) {
    return static_cast<std::size_t>(options[name].asLong());
  };
  const auto time = [&](const char* name) {
    return std::chrono::milliseconds(options[name].asLong());
  };
  const BatchRates rates{
      number("--max-batch"), number("--prefill-tokens-per-s"),
      time(options["--token-ms"] ? "--token-ms" : "--step-ms"),
      time("--load-lag-ms"), time("--keep-ms")};
  // EngineBatch has no locks, so the pool has one thread.
  WorkerPool pool(1);
  FakeEngine engine(
      pool, rates, number("--cache-tokens"),
      CacheEventLog(time("--event-delay-ms"), number("--event-gap-every")),
      options["--history"] ? options["--history"].asString() : "",
      !options["--ignore-fencing"].asBool());
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
