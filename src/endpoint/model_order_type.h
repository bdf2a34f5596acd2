/** @file model_order_type.h What is said between an endpoint process and its
 * model engine about models. */

#ifndef SRC_ENDPOINT_MODEL_ORDER_TYPE_H_
#define SRC_ENDPOINT_MODEL_ORDER_TYPE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/model_order_fencing.h"

namespace buckthornpath {

/** A model with its version and adapters. */
struct LoadedModel {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;  ///< In order of their names.

  bool operator==(const LoadedModel&) const = default;
};

/** What an engine says of itself. */
struct EngineState {
  LoadedModel holds;
  std::string role;
  FencingNumber highest_fencing{};
  std::optional<bool> checks_fencing;  ///< Nothing if the engine doesn't say.
};

/** An order to load a model. */
struct ModelOrder {
  FencingNumber fencing{};
  LoadedModel load;
  std::chrono::milliseconds lifetime{};  ///< Void if not begun within it.
};

/** What became of an order. */
enum class OrderOutcome {
  kAccepted,
  kSuperseded,  ///< The engine has seen a higher number.
  kFailed,      ///< The engine refused it or could not be reached.
};

struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kFailed;
  FencingNumber highest{};
  std::string detail;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_TYPE_H_
