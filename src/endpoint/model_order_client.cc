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
    state.holds.model = body.value("model", "");
    state.holds.version = body.value("version", "");
    state.holds.adapters = body.value("adapters", std::vector<std::string>());
    std::sort(state.holds.adapters.begin(), state.holds.adapters.end());
    state.role = body.value("role", "");
    state.highest_fencing =
        FencingNumber{body.value("highest_fencing", std::uint64_t{0})};
    if (body.contains("checks_fencing"))
      state.checks_fencing = body.at("checks_fencing").get<bool>();
    return state;
  } catch (const nlohmann::json::exception& error) {
    throw HttpError(std::string("engine state unreadable: ") + error.what());
  }
}

HttpRequest OrderRequest(const ModelOrder& order,
                         std::chrono::milliseconds lifetime) {
  const nlohmann::json body = {
      {"fencing", static_cast<std::uint64_t>(order.fencing)},
      {"action", "load"},
      {"model", order.load.model},
      {"version", order.load.version},
      {"adapters", order.load.adapters},
      {"lifetime_ms", lifetime.count()}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/orders";
  request.headers.Set("Content-Type", "application/json");
  request.body = body.dump();
  return request;
}

OrderReply ReadReply(const HttpResponse& response) {
  if (response.status == 200)
    return {OrderOutcome::kAccepted, {}, ""};
  if (response.status != 409)
    return {OrderOutcome::kFailed,
            {},
            "engine replied with status " + std::to_string(response.status)};
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  const std::uint64_t highest =
      body.is_object() && body["highest"].is_number_unsigned()
          ? body["highest"].get<std::uint64_t>()
          : 0;
  return {OrderOutcome::kSuperseded, FencingNumber{highest}, ""};
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

asio::awaitable<OrderReply> GiveOrder(SocketAddress engine,
                                      ModelOrder order,
                                      BootClock::time_point decided) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      decided + order.lifetime - BootClock::now());
  if (left.count() <= 0)
    co_return OrderReply{
        OrderOutcome::kFailed, {}, "order lifetime passed before it was sent"};
  OrderReply reply;
  try {
    HttpRequest request = OrderRequest(order, left);
    const HttpResponse response =
        co_await HttpFetch(engine, std::move(request), kOrderTimeout);
    reply = ReadReply(response);
  } catch (const HttpError& error) {
    reply.detail = error.what();
  }
  co_return reply;
}

}  // namespace buckthornpath
