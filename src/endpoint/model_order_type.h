/** @file model_order_type.h Model orders and engine state, as exchanged with a
 * model engine. */

#ifndef SRC_ENDPOINT_MODEL_ORDER_TYPE_H_
#define SRC_ENDPOINT_MODEL_ORDER_TYPE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/fencing_token.h"

namespace buckthornpath {

/** A model with its version and adapters. */
struct ModelSpec {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;  ///< Sorted by name.

  bool operator==(const ModelSpec&) const = default;
};

/** State that an engine reports. */
struct EngineState {
  ModelSpec loaded;
  std::string role;
  FencingToken highest_fencing{};
  std::optional<bool> checks_fencing;  ///< Nothing if not reported.
};

/** An order to load a model. */
struct ModelOrder {
  FencingToken fencing{};
  ModelSpec target;
  std::chrono::milliseconds lifetime{};  ///< Void if not begun in time.
};

/** Result of an order. */
enum class OrderOutcome {
  kAccepted,
  kSuperseded,  ///< The engine has seen a higher fencing token.
  kFailed,      ///< The engine refused it or could not be reached.
};

struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kFailed;
  FencingToken highest_fencing{};
  std::string detail;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_MODEL_ORDER_TYPE_H_
