/** @file model_order_handler.cc Model orders to a fake model engine. */

#include "fakes/model_order_handler.h"

#include <algorithm>

namespace buckthornpath {

HttpResponse ModelOrderHandler::HandleOrder(const HttpRequest& request) {
  const auto order = nlohmann::json::parse(request.body, nullptr, false);
  if (!order.is_object() || order.value("action", "") != "load" ||
      !order.contains("fencing")) {
    return StatusResponse(400);
  }
  const std::lock_guard lock(this->mutex);
  const auto fencing = order["fencing"].get<std::uint64_t>();
  const bool accepted =
      !this->checks_fencing || fencing > this->highest_fencing_token;
  this->has_received_order = true;
  this->history.Write({{"event", "engine_order"},
                       {"fencing", fencing},
                       {"order", order},
                       {"accepted", accepted}});
  if (!accepted)
    return JsonResponse({{"highest", this->highest_fencing_token}}, 409);
  if (this->checks_fencing)
    this->highest_fencing_token = fencing;
  this->model = order.value("model", "");
  this->version = order.value("version", "");
  this->adapters = order.value("adapters", std::vector<std::string>());
  return JsonResponse({{"fencing", fencing}});
}

HttpResponse ModelOrderHandler::State() {
  const std::lock_guard lock(this->mutex);
  nlohmann::json state = {{"model", this->model},
                          {"version", this->version},
                          {"adapters", this->adapters},
                          {"role", "serve"},
                          {"highest_fencing", this->highest_fencing_token}};
  if (this->has_received_order)
    state["checks_fencing"] = this->checks_fencing;
  return JsonResponse(state);
}

}  // namespace buckthornpath
