/** @file engine_driver.h Interface of the drivers for engines and services. */

#ifndef SRC_ENDPOINT_ENGINE_DRIVER_H_
#define SRC_ENDPOINT_ENGINE_DRIVER_H_

#include <memory>
#include <string>

#include "buckthornpath/rank_type.h"
#include "endpoint/call_record.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** One admitted call and what is needed to run it. */
struct EngineCall {
  CallRequest request;
  Rank rank = Rank::kStandard;
  std::shared_ptr<CallRecord> record;
};

/** Runs calls at one kind of engine; the constructor registers the driver under
 * its name. */
class EngineDriver {
 public:
  EngineDriver(std::string name, std::string description);
  virtual ~EngineDriver() = default;

  /** Runs a started call and stores its answer or refusal in its record. */
  virtual asio::awaitable<void> Run(SocketAddress engine,
                                    EngineCall call) const = 0;

  /** @param name Kind of service. @return Its driver, or null. */
  static const EngineDriver* Find(const std::string& name);

 private:
  std::string name;
  std::string description;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_ENGINE_DRIVER_H_
