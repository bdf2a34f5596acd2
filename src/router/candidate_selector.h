/** @file candidate_selector.h Selects the endpoints that one call tries. */

#ifndef SRC_ROUTER_CANDIDATE_SELECTOR_H_
#define SRC_ROUTER_CANDIDATE_SELECTOR_H_

#include <optional>
#include <set>
#include <vector>

#include "buckthornpath/load_view.h"
#include "router/placement.h"
#include "router/retry_limiter.h"
#include "wire/message_type.h"

namespace buckthornpath {

/**
 * Selects the next endpoint to try. After a refusal by the load bound the call
 * moves to the candidate with the least known load; this is limited by
 * max_moves and takes nothing from the retry budget. After any other failure
 * the call is retried at the next untried candidate; this is limited by
 * max_attempts and takes from the router's retry budget.
 */
class CandidateSelector {
 public:
  CandidateSelector(const Settings& settings,
                    std::vector<Member> candidates,
                    RetryLimiter& retries);

  /** @return The next endpoint to try, or nothing if the call must end. */
  std::optional<Member> Next();

  /** Records the refusal of the last endpoint and the loads it reported. */
  void RecordRefusal(const EndpointId& endpoint, const CallRefused& refused);

  /** @return The most recent loads that refusals of this call reported. */
  std::vector<LoadReport> RecentReports() const;

 private:
  /** Counts an attempt. @return True if the limits and the budget allow it. */
  bool TakeAttempt();

  /** @return Index of the candidate with the least known load. */
  std::size_t LeastLoaded() const;

  static std::chrono::milliseconds Now();

  const Settings& settings;
  std::vector<Member> candidates;
  RetryLimiter& retries;
  LoadView known_loads;
  std::set<EndpointId> tried;
  std::int64_t attempts = 0;
  std::int64_t moves = 0;
  bool was_over_bound = false;  ///< The load bound caused the last refusal.
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CANDIDATE_SELECTOR_H_
