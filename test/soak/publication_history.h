/** @file publication_history.h Judges whether published changes were in force
 * in time.
 *
 * Bounds, all from the platform's rules:
 * - CONFIG: a request that is sent more than 2 s (`configApplyMs`) after the
 *   confirmation of a version is not handled as only older versions allow, by
 *   gateways in touch.
 * - REGRESS (of CONFIG): a process that has shown an endpoint the effect of a
 *   version handles no request that is sent more than 0.25 s
 * (`rollbackSlackMs`) later as only older versions allow, in touch or not.
 * - DRAIN: no request reaches an endpoint more than 2 s (`drainMs`) after its
 *   leaving was confirmed by a stable store, from gateways in touch. The store
 *   is stable 3 s after a disturbance; what it has confirmed before counts from
 *   then on, or at once if it confirms again what a stable store had confirmed.
 * - LOST: a request that has reached a sound endpoint is answered.
 * A gateway is in touch for a request if from 3 s (`contactMs`) before it was
 * sent until it was handled nothing disturbed its process, its link to the
 * store or the store. A disturbance of another gateway excuses nothing. What a
 * store that comes back from a copy has lost binds again once it is written
 * again. Stricter than the rules: leavings that a disturbed store confirms
 * count as well, and so does the first lost request (the rules allow three).
 */

#ifndef TEST_SOAK_PUBLICATION_HISTORY_H_
#define TEST_SOAK_PUBLICATION_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "soak/soak_run.h"

namespace buckthornpath {

/** What is disturbed. */
enum class Disturbed {
  kProcess,  ///< Of a gateway: killed until it is started, or paused.
  kStop,     ///< Of a gateway: from SIGTERM until it is started again.
  kLink,     ///< Between a gateway and the store.
  kStore,
};

/** What the caller of a request has seen. */
struct PublicationCall {
  using Time = std::chrono::steady_clock::time_point;

  std::string id;
  std::size_t gateway = 0;
  std::string route;  ///< Prefix of its path.
  Time sent_at;
  Time ended_at;
  unsigned status = 0;         ///< 0: no response header was received.
  bool is_complete = false;    ///< The response is complete.
  bool has_timed_out = false;  ///< The caller has left.
};

/** Thread-safe record of what was published, and of what callers and endpoints
 * have seen. Knows nothing of the gateways but that. */
class PublicationHistory {
 public:
  using Time = PublicationCall::Time;
  /** Service by the prefix of the route. */
  using Routes = std::map<std::string, std::string>;

  /** @param begun_at Time before it was written. @param confirmed_at Time after
   * the store has confirmed it. A version may be written several times. */
  void RecordVersion(std::uint64_t version,
                     const Routes& routes,
                     Time begun_at,
                     Time confirmed_at);

  /** Records that the store has confirmed that an endpoint is draining or gone.
   * @param endpoint Names one process. */
  void RecordLeaving(const std::string& endpoint, Time confirmed_at);

  /** Records that an endpoint's process has ended. */
  void RecordExit(const std::string& endpoint, Time at);

  /** Records that the store has come back with what it held at a time. */
  void RecordReturn(Time copied_at, Time back_at);

  /** @param gateway Not used for the store.
   * @return Number of the disturbance, for its end. */
  std::size_t BeginDisturbance(Disturbed disturbed,
                               std::size_t gateway,
                               Time at);
  void EndDisturbance(std::size_t number, Time at);

  /** Records that a new process of a gateway is started. */
  void RecordStart(std::size_t gateway, Time at);

  /** Records that a request has reached an endpoint. */
  void RecordArrival(const std::string& id,
                     const std::string& endpoint,
                     const std::string& service,
                     Time at);

  void RecordCall(const PublicationCall& call);

  /** @return Counts, and one text for each violation. */
  SoakResult Judge() const;

 private:
  struct Version {
    Routes routes;
    Time begun_at;  ///< When it was first written.
    std::vector<Time> confirmed_at;
  };
  struct Arrival {
    std::string id;
    std::string endpoint;
    std::string service;
    Time at;
  };
  struct Return {
    Time copied_at;
    Time back_at;
  };
  struct Disturbance {
    Disturbed disturbed;
    std::size_t gateway;
    Time begin;
    Time end;
  };
  /** A request as a gateway has handled it. */
  struct Handling {
    const PublicationCall* call;
    const Arrival* arrival;  ///< Null: refused, as there is no such route.
    Time at;
  };
  /** From a time on, a process handles requests by this version or later. */
  struct Floor {
    Time at;
    std::uint64_t version;
  };

  std::vector<Handling> Handlings() const;
  std::string Describe(const Handling& handling) const;

  /** @return True if a disturbance falls into a span. */
  bool IsDisturbed(Disturbed disturbed,
                   std::size_t gateway,
                   Time from,
                   Time to) const;
  bool IsInTouch(const Handling& handling) const;

  /** @return True if the store has lost what it confirmed at a time. */
  bool IsLost(Time confirmed_at, Time now) const;

  /** @return The newest version that binds requests that are sent at a time; 0
   * if there is none. */
  std::uint64_t RequiredAt(Time sent_at) const;

  /** @return The oldest version from a given one on that allows what was done;
   * 0 if there is none. */
  std::uint64_t OldestAllowing(const Handling& handling,
                               std::uint64_t from) const;

  void CheckVersions(const std::vector<Handling>& handlings,
                     SoakResult& result) const;
  void CheckRegress(const std::vector<Handling>& handlings,
                    SoakResult& result) const;
  void CheckLeaving(const std::vector<Handling>& handlings,
                    SoakResult& result) const;
  void CheckAnswers(SoakResult& result) const;

  /** @return The first time from a given one at which the store is stable. */
  Time StableFrom(Time from) const;

  /** @param leavings All of one endpoint, in the order of their times.
   * @return The first that binds a request that is handled at a time; null if
   * there is none. */
  const Time* FindBinding(const std::vector<Time>& leavings, Time at) const;

  /** @return Number of endpoints whose leaving has bound a request that was
   * handled in touch while their process still ran. */
  std::size_t CountBindingLeavings(
      const std::vector<Handling>& handlings) const;
  bool IsExcused(const PublicationCall& call, const Arrival& arrival) const;

  mutable std::mutex mutex;
  std::map<std::uint64_t, Version> versions;
  std::map<std::string, std::vector<Time>> leavings;
  std::map<std::string, Time> exits;
  std::vector<Return> returns;
  std::vector<Disturbance> disturbances;
  std::map<std::size_t, std::vector<Time>> starts;
  std::vector<Arrival> arrivals;
  std::map<std::string, PublicationCall> calls;
};

}  // namespace buckthornpath

#endif  // TEST_SOAK_PUBLICATION_HISTORY_H_
