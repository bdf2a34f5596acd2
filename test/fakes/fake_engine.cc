/** @file fake_engine.cc Stands in for a model engine. */

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
#include "fakes/order_book.h"
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

std::size_t NumberIn(const std::string& text) {
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
        orders(checks_fencing, this->history) {}

  asio::awaitable<void> Serve(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.Path() == "/v1/chat/completions") {
      co_await this->Complete(exchange);
    } else {
      HttpResponse response = this->Answer(request);
      co_await exchange.Send(std::move(response));
    }
  }

 private:
  /** Answers everything but completions. */
  HttpResponse Answer(const HttpRequest& request) {
    const std::string_view path = request.Path();
    if (path == "/v1/load")
      return this->LoadReport();
    if (path == "/v1/cache_events") {
      const std::size_t after =
          NumberIn(request.QueryParameter("after").value_or("0"));
      return JsonResponse(
          this->events.After(after, std::chrono::steady_clock::now()));
    }
    if (path == "/v1/state")
      return this->orders.State();
    if (path == "/v1/orders")
      return this->orders.TakeOrder(request);
    if (path == "/control")
      return this->Control(request);
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

  HttpResponse Control(const HttpRequest& request) {
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
  GenerationPtr ReadGeneration(const HttpRequest& request) {
    auto generation = std::make_shared<Generation>(this->pool.context());
    try {
      generation->prompt = PromptTokens(request.body);
      generation->wanted = TokensWanted(request.body);
    } catch (const nlohmann::json::exception&) {
      return nullptr;
    }
    generation->request_id =
        request.headers.Find("X-Request-Id")
            .value_or("unnamed-" + std::to_string(++this->unnamed));
    generation->priority = static_cast<int>(
        NumberIn(request.headers.Find("X-Priority").value_or("0")));
    generation->prompt_hash = PromptHash(generation->prompt);
    generation->blocks = BlockHashes(generation->prompt);
    return generation;
  }

  asio::awaitable<void> Complete(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const auto resume = request.headers.Find("X-Resume-After");
    if (resume) {
      const GenerationPtr known =
          this->batch.Find(request.headers.Find("X-Request-Id").value_or(""));
      if (known) {
        co_await this->Stream(exchange, known, NumberIn(*resume));
      } else {
        co_await exchange.Send(StatusResponse(404));
      }
      co_return;
    }
    if (TakeFault(this->faults.fail_next)) {
      co_await exchange.Send(StatusResponse(503));
      co_return;
    }
    const GenerationPtr generation = this->ReadGeneration(request);
    if (!generation) {
      co_await exchange.Send(StatusResponse(400));
      co_return;
    }
    this->history.Write({{"event", "engine_run"},
                         {"body", request.body},
                         {"request", generation->request_id},
                         {"priority", generation->priority}});
    if (TakeFault(this->faults.empty_next))
      generation->wanted = 0;
    this->batch.Submit(generation);
    co_await this->Stream(exchange, generation, 0);
  }

  /** Sends a generation's tokens from a position on. */
  asio::awaitable<void> Stream(HttpExchange& exchange,
                               GenerationPtr generation,
                               std::size_t sent) {
    std::size_t last = generation->wanted + 1;
    if (TakeFault(this->faults.break_next))
      last = sent + static_cast<std::size_t>(this->faults.break_after);
    HttpResponse head;
    head.headers.Append("Content-Type", "text/event-stream");
    co_await exchange.BeginStream(std::move(head));
    if (TakeFault(this->faults.hang_next))
      co_await SleepFor(kHangTime);
    while (sent < generation->generated || !generation->HasEnded()) {
      std::string text;
      while (sent < std::min(generation->generated, last)) {
        text += FormatEvent(
            "", "",
            TokenEvent(GeneratedWord(generation->prompt_hash, sent++) + " "));
      }
      if (!text.empty()) {
        co_await exchange.WriteChunk(text);
        continue;
      }
      if (sent >= last)
        throw HttpError("fault: stream broken");
      co_await generation->changed.async_wait(
          asio::as_tuple(asio::use_awaitable));
    }
    if (generation->cancelled)
      throw HttpError("cancelled");
    co_await this->EndStream(exchange, *generation);
  }

  asio::awaitable<void> EndStream(HttpExchange& exchange,
                                  const Generation& generation) {
    std::string text;
    const std::string& body = exchange.request().body;
    if (!body.empty() && WantsUsage(body)) {
      text += FormatEvent("", "",
                          UsageEvent(generation.prompt.size(),
                                     generation.generated, generation.cached));
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
  OrderBook orders;
  EngineFaults faults;
  std::uint64_t unnamed = 0;
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
  // One thread, so that a batch needs no locks.
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
