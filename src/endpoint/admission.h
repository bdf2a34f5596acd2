/** @file admission.h Admits, starts or refuses calls at an endpoint process. */

#ifndef SRC_ENDPOINT_ADMISSION_H_
#define SRC_ENDPOINT_ADMISSION_H_

#include <atomic>
#include <memory>
#include <string>

#include "endpoint/engine_driver.h"
#include "fleet/configuration_store.h"
#include "kernel/in_flight_calls.h"
#include "kernel/role.h"

namespace buckthornpath {

/** Decides which calls run at the engine, and runs them. */
class Admission {
 public:
  Admission(const RoleContext& context,
            const ConfigurationStore& configuration);

  /** Refuses new calls from now on. */
  void BeginDrain() { this->draining = true; }

  /** Starts a new call or refuses it in its record. */
  void Submit(const CallRequest& request,
              const std::shared_ptr<CallRecord>& record);

  /** @return A refusal with the load of this endpoint. */
  CallRefused Refusal(const std::string& outcome,
                      const std::string& reason) const;

  /** @return A message that a call is admitted, with the load. */
  CallAccepted Accepted(std::uint32_t attempt) const;

  /** @return Calls at the engine. */
  std::size_t Running() const { return this->running; }

  /** @return Names of the calls admitted that have not ended. */
  const InFlightCalls& InFlight() const { return this->in_flight; }

  /** @return Calls admitted and not yet at the engine. */
  std::size_t Queued() const { return 0; }

 private:
  asio::awaitable<void> Run(const EngineDriver* driver, EngineCall call);

  RoleContext context;
  const ConfigurationStore& configuration;
  std::atomic<std::size_t> running = 0;  ///< Calls at the engine.
  std::atomic<bool> draining = false;
  InFlightCalls in_flight;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_ADMISSION_H_
