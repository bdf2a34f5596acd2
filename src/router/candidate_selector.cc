/** @file candidate_selector.cc Selects the endpoints that one call tries. */

#include "router/candidate_selector.h"

#include <algorithm>
#include <limits>

#include "kernel/boot_clock.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

/** Maximum number of load reports sent with a call. */
constexpr std::size_t kMaxReportsPerCall = 4;

}  // namespace

CandidateSelector::CandidateSelector(const Settings& settings,
                                     std::vector<Member> candidates,
                                     RetryLimiter& retries)
    : settings(settings),
      candidates(std::move(candidates)),
      retries(retries),
      known_loads(settings.load_report_age) {}

std::optional<Member> CandidateSelector::Next() {
  if (this->candidates.empty() || !this->TakeAttempt())
    return std::nullopt;
  std::size_t choice = 0;
  if (this->was_over_bound) {
    choice = this->LeastLoaded();
  } else {
    while (choice < this->candidates.size() &&
           this->tried.count(this->candidates[choice].id) > 0) {
      ++choice;
    }
    if (choice == this->candidates.size())
      return std::nullopt;
  }
  this->was_over_bound = false;
  this->tried.insert(this->candidates[choice].id);
  return this->candidates[choice];
}

bool CandidateSelector::TakeAttempt() {
  if (this->was_over_bound) {
    ProcessMetrics().Add("moves_total");
    return ++this->moves <= this->settings.max_moves;
  }
  if (++this->attempts == 1) {
    this->retries.CountFirstAttempt();
    return true;
  }
  return this->attempts <= this->settings.max_attempts &&
         this->tried.size() < this->candidates.size() &&
         this->retries.TryTake();
}

void CandidateSelector::RecordRefusal(const EndpointId& endpoint,
                                      const CallRefused& refused) {
  this->was_over_bound = refused.reason == "endpoint_over_bound";
  const LoadReport own{endpoint, refused.running + refused.queued,
                       std::chrono::milliseconds(0)};
  this->known_loads.Update(own, Now());
  for (const LoadReport& report : refused.loads)
    this->known_loads.Update(report, Now());
}

std::vector<LoadReport> CandidateSelector::RecentReports() const {
  return this->known_loads.Newest(kMaxReportsPerCall, Now());
}

std::size_t CandidateSelector::LeastLoaded() const {
  // Order: untried with a known load, untried without, then already tried.
  constexpr std::int64_t kUnreported = std::numeric_limits<std::int64_t>::max();
  const auto load = [&](const Member& member) {
    const auto report = this->known_loads.Find(member.id, Now());
    return std::pair(this->tried.count(member.id),
                     report ? report->load : kUnreported);
  };
  const auto least =
      std::min_element(this->candidates.begin(), this->candidates.end(),
                       [&](const Member& left, const Member& right) {
                         return load(left) < load(right);
                       });
  return static_cast<std::size_t>(least - this->candidates.begin());
}

std::chrono::milliseconds CandidateSelector::Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      BootClock::now().time_since_epoch());
}

}  // namespace buckthornpath
