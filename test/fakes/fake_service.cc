/** @file fake_service.cc Fake plain service that counts its calls. */

#include <docopt/docopt.h>

#include <cstdlib>
#include <map>

#include "fakes/fake_program.h"

namespace buckthornpath {

namespace {

constexpr const char* kUsage =
    R"(fake_service: plain service for tests.

Usage:
  fake_service --address=<address> [--work-ms=<n>] [--history=<file>]

Options:
  --work-ms=<n>     Time that a call takes [default: 5].
  --history=<file>  Where runs are noted.
)";

class FakeService {
 public:
  FakeService(std::chrono::milliseconds work_time, const std::string& history)
      : work_time(work_time), history(history) {}

  asio::awaitable<void> Serve(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.Path() == "/control") {
      HttpResponse runs = JsonResponse({{"runs", this->RunCount()}});
      co_await exchange.Send(std::move(runs));
      co_return;
    }
    const std::string key =
        request.headers.Find("Idempotency-Key").value_or("");
    this->history.Write(
        {{"event", "service_run"}, {"request", key}, {"body", request.body}});
    const int run = this->RecordRun();
    co_await SleepFor(this->work_time);
    HttpResponse response = JsonResponse(
        {{"run", run}, {"path", request.target}, {"echo", request.body}});
    co_await exchange.Send(std::move(response));
  }

 private:
  int RecordRun() {
    const std::lock_guard lock(this->mutex);
    return ++this->runs;
  }

  int RunCount() {
    const std::lock_guard lock(this->mutex);
    return this->runs;
  }

  std::chrono::milliseconds work_time;
  HistoryFile history;
  std::mutex mutex;
  int runs = 0;
};

int Main(int argc, char** argv) {
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
  FakeService service(
      std::chrono::milliseconds(options["--work-ms"].asLong()),
      options["--history"] ? options["--history"].asString() : "");
  WorkerPool pool(2);
  HttpServer server(
      pool, ParseSocketAddress(options["--address"].asString()), {},
      [&](HttpExchange& exchange) { return service.Serve(exchange); });
  server.Start();
  RunUntilSignal(pool);
  std::quick_exit(0);
}

}  // namespace

}  // namespace buckthornpath

int main(int argc, char** argv) {
  return buckthornpath::Main(argc, argv);
}
