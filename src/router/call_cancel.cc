/** @file call_cancel.cc Cancels a call at its endpoint. */

#include "router/call_cancel.h"

#include <nlohmann/json.hpp>

#include "kernel/log.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{50};

/**
 * @return The state of the call after the cancellation.
 * @throws ConnectionLost If the connection fails or the reply is not a state.
 */
asio::awaitable<CallRefused> SendCancelRequest(const SessionContext& context,
                                               const CallerRequest& request,
                                               const Member& member) {
  EndpointChannel channel =
      co_await OpenChannel(member.address, context.settings.connect_timeout);
  CancelRequest cancel;
  cancel.ticket = request.ticket_text;
  cancel.organisation = request.organisation.str();
  co_await channel.connection->Send(std::move(cancel));
  const Message answer =
      co_await channel.connection->Receive(context.settings.silence_timeout);
  const auto* state = std::get_if<CallRefused>(&answer);
  if (state == nullptr)
    throw ConnectionLost("no answer to a cancellation");
  co_return *state;
}

HttpResponse StateResponse(const CallerRequest& request,
                           const CallRefused& state) {
  HttpResponse response;
  response.headers.Append("Content-Type", "application/json");
  response.headers.Append("X-Request-Id", request.ticket_text);
  response.body = nlohmann::ordered_json{
      {"outcome", OutcomeName(ParseOutcome(state.outcome))},
      {"reason",
       state.reason}}.dump();
  return response;
}

}  // namespace

asio::awaitable<void> CancelCall(const SessionContext& context,
                                 const CallerRequest& request,
                                 HttpExchange& exchange) {
  const PlacementDecision decision = context.placement.Place(request);
  const Member member = decision.candidates.front();
  const auto deadline =
      std::chrono::steady_clock::now() + context.settings.recovery_timeout;
  Problem problem{"endpoint_unreachable", "", Outcome::kUnknown,
                  std::chrono::seconds(1), request.ticket_text};
  while (std::chrono::steady_clock::now() < deadline) {
    std::optional<CallRefused> state;
    try {
      state = co_await SendCancelRequest(context, request, member);
    } catch (const ConnectionLost& error) {
      problem.detail = error.what();
    }
    if (state) {
      LogLine(LogLevel::kInfo, "cancelled",
              {{"request", request.ticket_text},
               {"outcome", state->outcome},
               {"reason", state->reason}});
      HttpResponse response = StateResponse(request, *state);
      co_await exchange.Send(std::move(response));
      co_return;
    }
    co_await SleepFor(kRetryInterval);
  }
  co_await exchange.Send(ProblemResponse(problem));
}

}  // namespace buckthornpath
