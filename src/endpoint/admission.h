/** @file admission.h Admits, queues, starts or refuses calls at an endpoint. */

#ifndef SRC_ENDPOINT_ADMISSION_H_
#define SRC_ENDPOINT_ADMISSION_H_

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
 * only while the exact count of calls held here, the new one included, is
 * within the published multiple of the mean of the service. A plain service has
 * no such bound: its calls hold tickets and cannot move.
 */
class Admission {
 public:
  Admission(const RoleContext& context,
            const ConfigurationStore& configuration,
            const MemberList& members);

  void Start();

  /** Refuses new calls from now on; admitted calls still start. */
  void BeginDrain() {
    this->draining = true;
    this->exchange.StopReporting();
  }

  /** Queues or starts a new call, or refuses it in its record. */
  void Submit(const CallRequest& request,
              const std::shared_ptr<CallRecord>& record);

  /**
   * Takes a waiting call from the queue and refuses it in its record.
   * @return False if the call does not wait; it may run or have ended.
   */
  bool Cancel(const std::string& ticket);

  /** @return A refusal with the load of this endpoint. */
  CallRefused Refusal(const std::string& outcome,
                      const std::string& reason) const;

  /** @return A message that a call is admitted, with the load. */
  CallAccepted Accepted(std::uint32_t attempt) const;

  /** @return Calls at the engine. */
  std::size_t Running() const { return this->running; }

  /** @return Tickets of the calls that wait or run here. */
  std::vector<std::string> HeldTickets() const;

  /** @return Calls admitted and not yet at the engine. */
  std::size_t Queued() const { return this->queued; }

  /** @return Load by rank and the mean of the service, for operators. */
  nlohmann::json Status() const;

 private:
  /** A call that is held here, waiting or running. */
  struct HeldCall {
    EngineCall call;
    const EngineDriver* driver = nullptr;
  };

  /** How a call stood against the bound when it came. */
  struct LoadCheck {
    std::int64_t count = 0;  ///< Calls held, the new one included.
    LoadMean mean;           ///< With the new call counted.
    std::int64_t multiple_percent = 0;
    std::int64_t bound = 0;

    /** Zero multiple: the service has no bound. */
    bool IsWithin() const {
      return this->multiple_percent == 0 || this->count <= this->bound;
    }
  };

  /** What was decided of one call, for its refusal and its log line. */
  struct Decision {
    LoadCheck check;
    AdmissionResult result;
    std::uint64_t sequence = 0;          ///< Of the event in the log.
    std::shared_ptr<CallRecord> record;  ///< Of an evicted call, or null.
    std::string evicted_ticket;
  };

  /**
   * @param deadline Longest time from now to a call's first byte.
   * @return Latest start that leaves time for the first byte.
   * @pre The mutex is held.
   */
  std::chrono::milliseconds LatestStart(
      std::chrono::milliseconds deadline) const;

  /** Counts a new call against the bound. @pre The mutex is held. */
  LoadCheck CheckLoad(std::int64_t multiple_percent) const;

  /** Queues a call if it may be held here. @pre The mutex is held. */
  Decision Decide(const WaitingCall& waiting,
                  std::int64_t multiple_percent,
                  HeldCall held);

  void RefuseCall(const Decision& decision,
                  const EngineCall& call,
                  const std::string& reason);
  void LogAdmitted(const Decision& decision, const EngineCall& call) const;

  /** Starts waiting calls while slots are free. */
  void StartReady();

  asio::awaitable<void> Run(CallHandle handle, HeldCall held);

  /** Refuses waiting calls whose deadline has passed. */
  asio::awaitable<void> ExpireWaiting();

  /** Takes a held call out. @pre The mutex is held. */
  HeldCall Release(CallHandle handle);

  /** Logs that a call is held here no longer. */
  void LogEnded(const EngineCall& call,
                const char* how,
                std::uint64_t sequence) const;

  /** Adopts the ranks' shares of a new revision. @pre The mutex is held. */
  void AdoptShares(const Configuration& in_force);

  /** Updates the counts that other threads read. @pre The mutex is held. */
  void PublishCounts();

  std::chrono::milliseconds Age() const;

  RoleContext context;
  const ConfigurationStore& configuration;
  BootClock::time_point started = BootClock::now();
  std::atomic<std::size_t> running = 0;
  std::atomic<std::size_t> queued = 0;
  std::atomic<bool> draining = false;
  LoadExchange exchange;
  mutable OrderedMutex mutex{LockRank::kAdmission};
  AdmissionQueue queue;
  FirstByteTime first_byte_time;
  std::map<CallHandle, HeldCall> held;
  std::uint64_t last_sequence = 0;
  Revision shares_revision{};
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_ADMISSION_H_
