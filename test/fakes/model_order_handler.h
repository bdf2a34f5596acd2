/** @file model_order_handler.h Model orders to a fake model engine. */

#ifndef TEST_FAKES_MODEL_ORDER_HANDLER_H_
#define TEST_FAKES_MODEL_ORDER_HANDLER_H_

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/fake_program.h"

namespace buckthornpath {

/**
 * Accepts or rejects model orders. Rejects outdated fencing tokens with 409,
 * unless it ignores them.
 */
class ModelOrderHandler {
 public:
  ModelOrderHandler(bool checks_fencing, HistoryFile& history)
      : checks_fencing(checks_fencing), history(history) {}

  /** Handles `POST /v1/orders`. */
  HttpResponse HandleOrder(const HttpRequest& request);

  /** Handles `GET /v1/state`. */
  HttpResponse State();

 private:
  bool checks_fencing;
  HistoryFile& history;
  std::mutex mutex;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::uint64_t highest_fencing_token = 0;
  bool has_received_order = false;  ///< If not, State() omits checks_fencing.
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_MODEL_ORDER_HANDLER_H_
