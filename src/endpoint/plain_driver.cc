/** @file plain_driver.cc Runs calls at a plain service. */

#include "endpoint/engine_driver.h"
#include "kernel/http_client.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kServiceTimeout{60000};

/** Forwards one HTTP request and keeps the whole response. */
class PlainDriver final : public EngineDriver {
 public:
  PlainDriver() : EngineDriver("plain", "Plain HTTP service") {}

  asio::awaitable<void> Run(SocketAddress engine,
                            EngineCall call) const override {
    HttpRequest request;
    request.method = call.request.method;
    request.target = call.request.path;
    request.headers.Set("Content-Type", "application/json");
    request.headers.Set("Idempotency-Key", call.request.ticket);
    request.body = call.request.body;
    CallRefused refusal;
    try {
      const HttpResponse response =
          co_await HttpFetch(engine, std::move(request), kServiceTimeout);
      call.record->Append(response.body);
      call.record->Finish(
          response.status,
          response.headers.Find("Content-Type").value_or("text/plain"));
    } catch (const HttpError& error) {
      refusal.outcome = "unknown";
      refusal.reason = "service_failed";
      refusal.detail = error.what();
    }
    if (!refusal.outcome.empty())
      call.record->Refuse(std::move(refusal));
  }
};

const PlainDriver kPlainDriver;

}  // namespace

}  // namespace buckthornpath
