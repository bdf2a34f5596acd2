/** @file model_driver.cc Runs calls at a model engine. */

#include "buckthornpath/outcome_type.h"
#include "endpoint/engine_driver.h"
#include "kernel/http_client.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "wire/event_stream.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kEngineTimeout{60000};
constexpr std::chrono::milliseconds kCancelTimeout{2000};
constexpr std::chrono::milliseconds kResumeDelay{100};
constexpr int kMaxResumes = 5;
constexpr unsigned kServiceUnavailable = 503;
constexpr std::string_view kEndMarker = "[DONE]";

HttpRequest MakeEngineRequest(const EngineCall& call) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Append("Content-Type", "application/json");
  request.headers.Append("X-Request-Id", call.request.ticket);
  request.headers.Append("X-Priority",
                         std::to_string(static_cast<int>(call.rank)));
  request.body = call.request.body;
  return request;
}

/** @return A request for the rest of a stream. The engine resumes the run of
 * this ticket and never starts a new one. */
HttpRequest MakeResumeRequest(const EngineCall& call) {
  HttpRequest request = MakeEngineRequest(call);
  request.headers.Append("X-Resume-After",
                         std::to_string(call.record->ChunkCount()));
  return request;
}

CallRefused MakeRefusal(Outcome outcome,
                        const char* reason,
                        std::string detail) {
  CallRefused refusal;
  refusal.outcome = OutcomeName(outcome);
  refusal.reason = reason;
  refusal.detail = std::move(detail);
  return refusal;
}

/** Result of reading one response stream of an engine. */
enum class StreamResult {
  kCallEnded,    ///< The call has ended.
  kBroken,       ///< The stream may be resumed.
  kNotResumable  ///< The engine refused the request.
};

/** Runs calls at an engine with a streaming chat completions API. */
class ModelDriver final : public EngineDriver {
 public:
  ModelDriver() : EngineDriver("model", "Model engine, streamed answers") {}

  asio::awaitable<void> Run(SocketAddress engine,
                            EngineCall call) const override {
    const std::shared_ptr<CallRecord> record = call.record;
    SendGuard may_send = [record] { return record->TryBeginSend(); };
    HttpRequest request = MakeEngineRequest(call);
    std::string fault;
    StreamResult result = co_await this->TryReadStream(
        engine, std::move(request), std::move(may_send), call, fault);
    for (int i = 0; result == StreamResult::kBroken && i < kMaxResumes; ++i) {
      co_await SleepFor(kResumeDelay);
      ProcessMetrics().Add("engine_resumes_total");
      HttpRequest resume = MakeResumeRequest(call);
      result = co_await this->TryReadStream(engine, std::move(resume), nullptr,
                                            call, fault);
    }
    if (result != StreamResult::kCallEnded)
      record->Refuse(MakeRefusal(Outcome::kUnknown, "engine_failed", fault));
    if (record->IsCancelled())
      co_await this->CancelAtEngine(engine, call);
  }

 private:
  /** Reads one stream into the record. @param fault Set to the error text. */
  asio::awaitable<StreamResult> TryReadStream(SocketAddress engine,
                                              HttpRequest request,
                                              SendGuard may_send,
                                              const EngineCall& call,
                                              std::string& fault) const {
    try {
      auto response = co_await HttpResponseStream::Open(
          engine, std::move(request), kEngineTimeout, std::move(may_send));
      if (response->head().status != 200) {
        co_return this->ClassifyErrorStatus(response->head().status, call,
                                            fault);
      }
      co_return co_await this->CopyEvents(*response, call);
    } catch (const HttpRequestNotSent& error) {
      fault = error.what();
      call.record->Refuse(
          MakeRefusal(Outcome::kNotRun, "engine_unreachable", fault));
    } catch (const HttpError& error) {
      fault = error.what();
    }
    co_return call.record->HasEnded() ? StreamResult::kCallEnded
                                      : StreamResult::kBroken;
  }

  /** Maps an HTTP error status. A 503 for a call that has chunks already is
   * transient and may be resumed. */
  StreamResult ClassifyErrorStatus(unsigned status,
                                   const EngineCall& call,
                                   std::string& fault) const {
    fault = "engine status " + std::to_string(status);
    const bool transient =
        status == kServiceUnavailable && call.record->ChunkCount() > 0;
    return transient ? StreamResult::kBroken : StreamResult::kNotResumable;
  }

  /** Copies events into the record.
   * @throws HttpError If the stream breaks or ends without its end marker. */
  asio::awaitable<StreamResult> CopyEvents(HttpResponseStream& response,
                                           const EngineCall& call) const {
    EventStreamParser reader;
    while (auto piece = co_await response.ReadSome(kEngineTimeout)) {
      reader.Feed(*piece);
      while (auto event = reader.Next()) {
        if (event->data == kEndMarker) {
          this->FinishCall(call);
          co_return StreamResult::kCallEnded;
        }
        call.record->Append(std::move(event->data));
      }
      if (call.record->IsCancelled()) {
        call.record->Refuse(MakeRefusal(Outcome::kRan, "cancelled", ""));
      }
      if (call.record->HasEnded())
        co_return StreamResult::kCallEnded;
    }
    throw HttpError("stream ended without its end mark");
  }

  /** Ends the call after the end marker; an answer without chunks is an
   * error. */
  void FinishCall(const EngineCall& call) const {
    if (call.record->ChunkCount() == 0) {
      call.record->Refuse(
          MakeRefusal(Outcome::kRan, "engine_failed", "the answer is empty"));
      return;
    }
    call.record->Finish(200, "text/event-stream");
  }

  asio::awaitable<void> CancelAtEngine(SocketAddress engine,
                                       const EngineCall& call) const {
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/requests/" + call.request.ticket;
    try {
      co_await HttpFetch(engine, std::move(request), kCancelTimeout);
    } catch (const HttpError& error) {
      LogLine(LogLevel::kInfo, "engine_cancel_failed",
              {{"request", call.request.ticket}, {"reason", error.what()}});
    }
  }
};

const ModelDriver kModelDriver;

}  // namespace

}  // namespace buckthornpath
