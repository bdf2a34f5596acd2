/** @file candidate_walk.h The endpoints that one call tries, in turn. */

#ifndef SRC_ROUTER_CANDIDATE_WALK_H_
#define SRC_ROUTER_CANDIDATE_WALK_H_

#include <optional>
#include <set>
#include <vector>

#include "buckthornpath/load_view.h"
#include "router/placement.h"
#include "router/retry_limiter.h"
#include "wire/message_type.h"

namespace buckthornpath {

/**
 * Gives the next endpoint to try. A refusal by the load bound is a move: it
 * draws on no budget, and the next endpoint is the one with the least load
 * known. Every other failure is a retry: it counts against the most attempts
 * and draws on the router's retry budget.
 */
class CandidateWalk {
 public:
  CandidateWalk(const Settings& settings,
                std::vector<Member> candidates,
                RetryLimiter& retries);

  /** @return The endpoint to try now; nothing if the call must end. */
  std::optional<Member> Next();

  /** Notes that the last endpoint refused. */
  void NoteRefusal(const EndpointId& endpoint, const CallRefused& refused);

  /** @return Loads that refusals of this call reported. */
  std::vector<LoadReport> Reports() const;

 private:
  bool MayTryAgain();

  /** @return Index of the candidate with the least load known. */
  std::size_t LeastLoaded() const;

  static std::chrono::milliseconds Now();

  const Settings& settings;
  std::vector<Member> candidates;
  RetryLimiter& retries;
  LoadView seen;
  std::set<EndpointId> tried;
  std::int64_t attempts = 0;
  std::int64_t moves = 0;
  bool over_bound = false;  ///< The last endpoint refused by its bound.
};

}  // namespace buckthornpath

#endif  // SRC_ROUTER_CANDIDATE_WALK_H_
