/** @file admission_controller.h Admission control of an endpoint process. */

#ifndef SRC_ENDPOINT_ADMISSION_CONTROLLER_H_
#define SRC_ENDPOINT_ADMISSION_CONTROLLER_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "buckthornpath/admission_queue.h"
#include "buckthornpath/first_byte_time.h"
#include "endpoint/engine_driver.h"
#include "endpoint/load_exchange.h"
#include "fleet/configuration_store.h"
#include "kernel/role.h"

namespace buckthornpath {

/**
 * Decides which calls run at the engine, and runs them. A call is admitted
 * only if the exact number of calls queued and running here, the new one
 * included, is within the configured multiple of the mean load of the service.
 * A plain service has no such bound: its tickets are issued for one endpoint,
 * so its calls cannot be moved to another.
 */
class AdmissionController {
 public:
  AdmissionController(const RoleContext& context,
                      const ConfigurationStore& configuration,
                      const MemberList& members);

  void Start();

  /** Refuses new calls from now on; calls already admitted still run. */
  void BeginDrain() {
    this->is_draining = true;
    this->load_exchange.StopReporting();
  }

  /** Queues or starts a new call, or stores a refusal in its record. */
  void Submit(const CallRequest& request,
              const std::shared_ptr<CallRecord>& record);

  /**
   * Removes a queued call and stores a refusal in its record.
   * @return False if the call is not queued: it runs or has ended.
   */
  bool Cancel(const std::string& ticket);

  /** @return A refusal that carries the current load of this endpoint. */
  CallRefused MakeRefusal(const std::string& outcome,
                          const std::string& reason) const;

  /** @return The admission message of a call, with the current load. */
  CallAccepted MakeAcceptedMessage(std::uint32_t attempt) const;

  /** @return Number of calls running at the engine. */
  std::size_t Running() const { return this->running; }

  /** @return Tickets of the calls that are queued or running. */
  std::vector<std::string> AdmittedTickets() const;

  /** @return Number of calls admitted and not started yet. */
  std::size_t Queued() const { return this->queued; }

  /** @return Load by rank and the mean load of the service, for the operator
   *     interface. */
  nlohmann::json Status() const;

 private:
  /** A call that is queued or running. */
  struct AdmittedCall {
    EngineCall call;
    const EngineDriver* driver = nullptr;
  };

  /** Comparison of the load with the bound when a call arrived. */
  struct LoadCheck {
    std::int64_t count = 0;  ///< Queued and running, the new one included.
    LoadMean mean;           ///< With the new call counted.
    std::int64_t multiple_percent = 0;
    std::int64_t bound = 0;

    /** A multiple of 0 means that the service has no bound. */
    bool IsWithinBound() const {
      return this->multiple_percent == 0 || this->count <= this->bound;
    }
  };

  /** Result of admission for one call, used for its refusal and log line. */
  struct Decision {
    LoadCheck check;
    AdmissionResult result;
    std::uint64_t sequence = 0;                  ///< Order of the log lines.
    std::shared_ptr<CallRecord> evicted_record;  ///< Null if none.
    std::string evicted_ticket;
  };

  /**
   * @param deadline Longest allowed time from now to the first byte.
   * @return Latest start, as an uptime, that still meets the deadline with the
   *     estimated time to the first byte.
   * @pre The mutex is held.
   */
  std::chrono::milliseconds LatestStart(
      std::chrono::milliseconds deadline) const;

  /** Compares the load plus one new call with the bound.
   * @pre The mutex is held. */
  LoadCheck CheckLoad(std::int64_t multiple_percent) const;

  /** Queues a call if the load bound and the queue allow it.
   * @pre The mutex is held. */
  Decision TryEnqueue(const WaitingCall& waiting,
                      std::int64_t multiple_percent,
                      AdmittedCall call);

  void RefuseCall(const Decision& decision,
                  const EngineCall& call,
                  const std::string& reason);
  void LogAdmitted(const Decision& decision, const EngineCall& call) const;

  /** Starts queued calls while slots are free. */
  void StartReadyCalls();

  asio::awaitable<void> RunCall(CallHandle handle, AdmittedCall call);

  /** Periodically refuses queued calls whose deadline has passed. */
  asio::awaitable<void> RefuseExpiredCalls();

  /** Removes a call from the admitted ones. @pre The mutex is held. */
  AdmittedCall RemoveAdmitted(CallHandle handle);

  /** Logs that a call is no longer queued or running.
   * @param how Field `how` of the log line. */
  void LogReleased(const EngineCall& call,
                   const char* how,
                   std::uint64_t sequence) const;

  /** Applies the minimum shares of a new configuration revision.
   * @pre The mutex is held. */
  void UpdateShares(const Configuration& active);

  /** Updates the atomic counts and the metrics. @pre The mutex is held. */
  void UpdateCounts();

  std::chrono::milliseconds TimeSinceStart() const;

  RoleContext context;
  const ConfigurationStore& configuration;
  BootClock::time_point started = BootClock::now();
  std::atomic<std::size_t> running = 0;
  std::atomic<std::size_t> queued = 0;
  std::atomic<bool> is_draining = false;
  LoadExchange load_exchange;
  mutable OrderedMutex mutex{LockRank::kAdmission};
  AdmissionQueue queue;
  FirstByteTimeEstimator first_byte_time;
  std::map<CallHandle, AdmittedCall> admitted_calls;
  std::uint64_t last_sequence = 0;
  Revision shares_revision{};
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_ADMISSION_CONTROLLER_H_
