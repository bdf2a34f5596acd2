/** @file model_order_client.cc HTTP client for the state and the orders of a
 * model engine. */

#include "endpoint/model_order_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "kernel/http_client.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kStateTimeout{3000};

constexpr std::chrono::milliseconds kOrderTimeout{10000};

EngineState ParseState(const std::string& text) {
  try {
    const auto body = nlohmann::json::parse(text);
    EngineState state;
    state.loaded.model = body.value("model", "");
    state.loaded.version = body.value("version", "");
    state.loaded.adapters = body.value("adapters", std::vector<std::string>());
    std::sort(state.loaded.adapters.begin(), state.loaded.adapters.end());
    state.role = body.value("role", "");
    state.highest_fencing =
        FencingToken{body.value("highest_fencing", std::uint64_t{0})};
    if (body.contains("checks_fencing"))
      state.checks_fencing = body.at("checks_fencing").get<bool>();
    return state;
  } catch (const nlohmann::json::exception& error) {
    throw HttpError(std::string("engine state unreadable: ") + error.what());
  }
}

HttpRequest MakeOrderRequest(const ModelOrder& order,
                             std::chrono::milliseconds lifetime) {
  const nlohmann::json body = {
      {"fencing", static_cast<std::uint64_t>(order.fencing)},
      {"action", "load"},
      {"model", order.target.model},
      {"version", order.target.version},
      {"adapters", order.target.adapters},
      {"lifetime_ms", lifetime.count()}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/orders";
  request.headers.Append("Content-Type", "application/json");
  request.body = body.dump();
  return request;
}

OrderReply ParseReply(const HttpResponse& response) {
  if (response.status == 200)
    return {OrderOutcome::kAccepted, {}, ""};
  if (response.status != 409)
    return {OrderOutcome::kFailed,
            {},
            "engine replied with status " + std::to_string(response.status)};
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  const bool has_highest = body.is_object() && body.contains("highest") &&
                           body.at("highest").is_number_unsigned();
  const std::uint64_t highest =
      has_highest ? body.at("highest").get<std::uint64_t>() : 0;
  return {OrderOutcome::kSuperseded, FencingToken{highest}, ""};
}

}  // namespace

asio::awaitable<EngineState> FetchEngineState(SocketAddress engine) {
  HttpRequest request;
  request.target = "/v1/state";
  const HttpResponse response =
      co_await HttpFetch(engine, std::move(request), kStateTimeout);
  if (response.status != 200)
    throw HttpError("engine state request failed: status " +
                    std::to_string(response.status));
  co_return ParseState(response.body);
}

asio::awaitable<OrderReply> SendOrder(SocketAddress engine,
                                      ModelOrder order,
                                      BootClock::time_point lifetime_start) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      lifetime_start + order.lifetime - BootClock::now());
  if (remaining.count() <= 0)
    co_return OrderReply{
        OrderOutcome::kFailed, {}, "order lifetime passed before it was sent"};
  OrderReply reply;
  try {
    HttpRequest request = MakeOrderRequest(order, remaining);
    const HttpResponse response =
        co_await HttpFetch(engine, std::move(request), kOrderTimeout);
    reply = ParseReply(response);
  } catch (const HttpError& error) {
    reply.detail = error.what();
  }
  co_return reply;
}

}  // namespace buckthornpath
