/** @file model_driver.cc Runs calls at a model engine. */

#include "endpoint/engine_driver.h"
#include "kernel/http_client.h"
#include "kernel/log.h"
#include "wire/event_stream.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kEngineTimeout{60000};
constexpr std::string_view kDoneMark = "[DONE]";

HttpRequest EngineRequest(const EngineCall& call) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Set("Content-Type", "application/json");
  request.headers.Set("X-Request-Id", call.request.ticket);
  request.headers.Set("X-Priority",
                      std::to_string(static_cast<int>(call.rank)));
  request.body = call.request.body;
  return request;
}

CallRefused Refusal(const char* outcome, std::string detail) {
  CallRefused refusal;
  refusal.outcome = outcome;
  refusal.reason = "engine_failed";
  refusal.detail = std::move(detail);
  return refusal;
}

/** Sends requests to an engine that speaks streamed chat completions. */
class ModelDriver final : public EngineDriver {
 public:
  ModelDriver() : EngineDriver("model", "Model engine, streamed answers") {}

  asio::awaitable<void> Run(SocketAddress engine,
                            EngineCall call) const override {
    std::string fault;
    try {
      co_await this->Stream(engine, call);
    } catch (const HttpError& error) {
      fault = error.what();
    }
    if (!fault.empty())
      call.record->Refuse(Refusal("unknown", fault));
  }

 private:
  /** Copies the engine's events into the record. @throws HttpError */
  asio::awaitable<void> Stream(SocketAddress engine,
                               const EngineCall& call) const {
    auto response = co_await HttpResponseStream::Open(
        engine, EngineRequest(call), kEngineTimeout);
    if (response->head().status != 200) {
      call.record->Refuse(
          Refusal("unknown",
                  "engine status " + std::to_string(response->head().status)));
      co_return;
    }
    EventStreamReader reader;
    while (auto piece = co_await response->ReadSome(kEngineTimeout)) {
      reader.Feed(*piece);
      while (auto event = reader.Next()) {
        if (event->data == kDoneMark) {
          call.record->Finish(200, "text/event-stream");
          co_return;
        }
        call.record->Append(std::move(event->data));
      }
    }
    throw HttpError("stream ended without its end mark");
  }
};

const ModelDriver kModelDriver;

}  // namespace

}  // namespace buckthornpath
