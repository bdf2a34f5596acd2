/** @file engine_driver.h Ways of running a call at what the endpoint serves. */

#ifndef SRC_ENDPOINT_ENGINE_DRIVER_H_
#define SRC_ENDPOINT_ENGINE_DRIVER_H_

#include <memory>
#include <string>

#include "buckthornpath/rank_type.h"
#include "endpoint/call_record.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** One call on its way to an engine. */
struct EngineCall {
  CallRequest request;
  Rank rank = Rank::kStandard;
  std::shared_ptr<CallRecord> record;
};

/** Runs calls at one kind of engine; registers itself by name. */
class EngineDriver {
 public:
  EngineDriver(std::string name, std::string description);
  virtual ~EngineDriver() = default;

  /** Runs a started call to its end and records its answer. */
  virtual asio::awaitable<void> Run(SocketAddress engine,
                                    EngineCall call) const = 0;

  /** @return The driver of a kind of service, or null. */
  static const EngineDriver* Find(const std::string& name);

 private:
  std::string name;
  std::string description;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_ENGINE_DRIVER_H_
