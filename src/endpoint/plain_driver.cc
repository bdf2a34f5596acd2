/** @file plain_driver.cc Runs calls at a plain service. */

#include "buckthornpath/outcome_type.h"
#include "endpoint/engine_driver.h"
#include "kernel/http_client.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kServiceTimeout{60000};

CallRefused MakeRefusal(Outcome outcome,
                        const char* reason,
                        std::string detail) {
  CallRefused refusal;
  refusal.outcome = OutcomeName(outcome);
  refusal.reason = reason;
  refusal.detail = std::move(detail);
  return refusal;
}

/** Forwards a call as one HTTP request and stores the response as one chunk. */
class PlainDriver final : public EngineDriver {
 public:
  PlainDriver() : EngineDriver("plain", "Plain HTTP service") {}

  asio::awaitable<void> Run(SocketAddress engine,
                            EngineCall call) const override {
    HttpRequest request;
    request.method = call.request.method;
    request.target = call.request.path;
    request.headers.Append("Content-Type", "application/json");
    request.headers.Append("Idempotency-Key", call.request.ticket);
    request.body = call.request.body;
    const std::shared_ptr<CallRecord> record = call.record;
    SendGuard may_send = [record] { return record->TryBeginSend(); };
    CallRefused refusal;
    try {
      const HttpResponse response = co_await HttpFetch(
          engine, std::move(request), kServiceTimeout, std::move(may_send));
      call.record->Append(response.body);
      call.record->Finish(
          response.status,
          response.headers.Find("Content-Type").value_or("text/plain"));
    } catch (const HttpRequestNotSent& error) {
      refusal =
          MakeRefusal(Outcome::kNotRun, "engine_unreachable", error.what());
    } catch (const HttpError& error) {
      refusal = MakeRefusal(Outcome::kUnknown, "service_failed", error.what());
    }
    if (!refusal.outcome.empty())
      call.record->Refuse(std::move(refusal));
  }
};

const PlainDriver kPlainDriver;

}  // namespace

}  // namespace buckthornpath
