/** @file publication_history.cc Judges whether published changes were in force
 * in time. */

#include "soak/publication_history.h"

#include <algorithm>
#include <set>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kApplyTime{2000};
constexpr milliseconds kDrainTime{2000};
constexpr milliseconds kRollbackSlack{250};
constexpr milliseconds kContact{3000};

constexpr unsigned kServed = 200;
constexpr unsigned kNoSuchRoute = 404;

std::string SpanText(PublicationCall::Time from, PublicationCall::Time to) {
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(to - from).count()) +
         " ms";
}

}  // namespace

void PublicationHistory::RecordVersion(std::uint64_t version,
                                       const Routes& routes,
                                       Time begun_at,
                                       Time confirmed_at) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->versions.find(version);
  if (found != this->versions.end())
    found->second.confirmed_at.push_back(confirmed_at);
  else
    this->versions[version] = {routes, begun_at, {confirmed_at}};
}

void PublicationHistory::RecordLeaving(const std::string& endpoint,
                                       Time confirmed_at) {
  const std::lock_guard lock(this->mutex);
  this->leavings[endpoint].push_back(confirmed_at);
}

void PublicationHistory::RecordExit(const std::string& endpoint, Time at) {
  const std::lock_guard lock(this->mutex);
  this->exits[endpoint] = at;
}

void PublicationHistory::RecordReturn(Time copied_at, Time back_at) {
  const std::lock_guard lock(this->mutex);
  this->returns.push_back({copied_at, back_at});
}

std::size_t PublicationHistory::BeginDisturbance(Disturbed disturbed,
                                                 std::size_t gateway,
                                                 Time at) {
  const std::lock_guard lock(this->mutex);
  this->disturbances.push_back({disturbed, gateway, at, Time::max()});
  return this->disturbances.size() - 1;
}

void PublicationHistory::EndDisturbance(std::size_t number, Time at) {
  const std::lock_guard lock(this->mutex);
  this->disturbances.at(number).end = at;
}

void PublicationHistory::RecordStart(std::size_t gateway, Time at) {
  const std::lock_guard lock(this->mutex);
  this->starts[gateway].push_back(at);
}

void PublicationHistory::RecordArrival(const std::string& id,
                                       const std::string& endpoint,
                                       const std::string& service,
                                       Time at) {
  const std::lock_guard lock(this->mutex);
  this->arrivals.push_back({id, endpoint, service, at});
}

void PublicationHistory::RecordCall(const PublicationCall& call) {
  const std::lock_guard lock(this->mutex);
  this->calls[call.id] = call;
}

std::vector<PublicationHistory::Handling> PublicationHistory::Handlings()
    const {
  std::vector<Handling> handlings;
  handlings.reserve(this->arrivals.size());
  for (const Arrival& arrival : this->arrivals) {
    const auto call = this->calls.find(arrival.id);
    if (call != this->calls.end())
      handlings.push_back({&call->second, &arrival, arrival.at});
  }
  for (const auto& [id, call] : this->calls) {
    if (call.status == kNoSuchRoute)
      handlings.push_back({&call, nullptr, call.ended_at});
  }
  std::sort(handlings.begin(), handlings.end(),
            [](const Handling& left, const Handling& right) {
              return left.at < right.at;
            });
  return handlings;
}

std::string PublicationHistory::Describe(const Handling& handling) const {
  std::string text = handling.call->id + " at gateway-" +
                     std::to_string(handling.call->gateway) + " (" +
                     handling.call->route;
  if (handling.arrival != nullptr)
    return text + " at " + handling.arrival->endpoint + " of " +
           handling.arrival->service + ")";
  return text + " refused with 404)";
}

bool PublicationHistory::IsDisturbed(Disturbed disturbed,
                                     std::size_t gateway,
                                     Time from,
                                     Time to) const {
  return std::any_of(this->disturbances.begin(), this->disturbances.end(),
                     [&](const Disturbance& disturbance) {
                       return disturbance.disturbed == disturbed &&
                              (disturbed == Disturbed::kStore ||
                               disturbance.gateway == gateway) &&
                              disturbance.begin <= to &&
                              disturbance.end >= from;
                     });
}

bool PublicationHistory::IsInTouch(const Handling& handling) const {
  const PublicationCall& call = *handling.call;
  for (const Disturbed disturbed : {Disturbed::kProcess, Disturbed::kStop,
                                    Disturbed::kLink, Disturbed::kStore}) {
    if (this->IsDisturbed(disturbed, call.gateway, call.sent_at - kContact,
                          handling.at))
      return false;
  }
  return true;
}

bool PublicationHistory::IsLost(Time confirmed_at, Time now) const {
  return std::any_of(
      this->returns.begin(), this->returns.end(), [&](const Return& back) {
        return back.copied_at < confirmed_at && confirmed_at <= back.back_at &&
               back.back_at <= now;
      });
}

std::uint64_t PublicationHistory::RequiredAt(Time sent_at) const {
  for (auto version = this->versions.rbegin(); version != this->versions.rend();
       ++version) {
    const auto& times = version->second.confirmed_at;
    if (std::any_of(times.begin(), times.end(), [&](Time confirmed_at) {
          return confirmed_at + kApplyTime < sent_at &&
                 !this->IsLost(confirmed_at, sent_at);
        }))
      return version->first;
  }
  return 0;
}

std::uint64_t PublicationHistory::OldestAllowing(const Handling& handling,
                                                 std::uint64_t from) const {
  for (auto version = this->versions.lower_bound(from);
       version != this->versions.end(); ++version) {
    if (version->second.begun_at > handling.at)
      continue;
    const Routes& routes = version->second.routes;
    const auto route = routes.find(handling.call->route);
    const bool is_allowed =
        handling.arrival == nullptr
            ? route == routes.end()
            : route != routes.end() &&
                  route->second == handling.arrival->service;
    if (is_allowed)
      return version->first;
  }
  return 0;
}

void PublicationHistory::CheckVersions(const std::vector<Handling>& handlings,
                                       SoakResult& result) const {
  std::size_t judged = 0;
  for (const Handling& handling : handlings) {
    if (!this->IsInTouch(handling))
      continue;
    ++judged;
    const PublicationCall& call = *handling.call;
    const std::uint64_t required = this->RequiredAt(call.sent_at);
    if (this->OldestAllowing(handling, required) != 0)
      continue;
    std::string text = this->Describe(handling) + ": CONFIG, no version from " +
                       std::to_string(required) + " on allows it";
    if (required != 0) {
      text += ", which was confirmed " +
              SpanText(this->versions.at(required).confirmed_at.front(),
                       call.sent_at) +
              " before it was sent";
    }
    result.violations.push_back(text);
  }
  result.evidence +=
      "requests handled in touch: " + std::to_string(judged) + "\n";
}

void PublicationHistory::CheckRegress(const std::vector<Handling>& handlings,
                                      SoakResult& result) const {
  // By gateway and number of its process.
  std::map<std::pair<std::size_t, std::size_t>, std::vector<Floor>> floors;
  for (const Handling& handling : handlings) {
    const PublicationCall& call = *handling.call;
    const auto starts = this->starts.find(call.gateway);
    if (starts == this->starts.end())
      continue;
    const auto process_at = [&](Time time) {
      return static_cast<std::size_t>(
          std::count_if(starts->second.begin(), starts->second.end(),
                        [&](const Time start) { return start <= time; }));
    };
    const std::size_t process = process_at(call.sent_at);
    if (process != process_at(handling.at))
      continue;
    std::vector<Floor>& known = floors[{call.gateway, process}];
    std::uint64_t floor = 0;
    for (const Floor& seen : known) {
      if (seen.at + kRollbackSlack < call.sent_at)
        floor = std::max(floor, seen.version);
    }
    const std::uint64_t version = this->OldestAllowing(handling, floor);
    if (version == 0) {
      result.violations.push_back(
          this->Describe(handling) + ": REGRESS, no version from " +
          std::to_string(floor) +
          " on allows it, which its process has handled requests by");
    } else if (handling.arrival != nullptr && version > floor) {
      known.push_back({handling.at, version});
    }
  }
}

void PublicationHistory::CheckLeaving(const std::vector<Handling>& handlings,
                                      SoakResult& result) const {
  for (const Handling& handling : handlings) {
    if (handling.arrival == nullptr)
      continue;
    const auto leavings = this->leavings.find(handling.arrival->endpoint);
    if (leavings == this->leavings.end() || !this->IsInTouch(handling))
      continue;
    const Time* leaving = this->FindBinding(leavings->second, handling.at);
    if (leaving != nullptr) {
      result.violations.push_back(this->Describe(handling) + ": DRAIN, " +
                                  SpanText(*leaving, handling.at) +
                                  " after its leaving was confirmed");
    }
  }
}

PublicationHistory::Time PublicationHistory::StableFrom(Time from) const {
  Time stable = from;
  // In the order in which they began.
  for (const Disturbance& disturbance : this->disturbances) {
    if (disturbance.disturbed != Disturbed::kStore ||
        disturbance.begin > stable || disturbance.end < stable - kContact)
      continue;
    stable = disturbance.end == Time::max()
                 ? Time::max()
                 : std::max(stable, disturbance.end + kContact);
  }
  return stable;
}

const PublicationHistory::Time* PublicationHistory::FindBinding(
    const std::vector<Time>& leavings,
    Time at) const {
  bool was_stable = false;
  for (const Time& leaving_at : leavings) {
    const Time stable_from = this->StableFrom(leaving_at);
    const Time from = was_stable ? leaving_at : stable_from;
    if (from < at - kDrainTime && !this->IsLost(leaving_at, at))
      return &leaving_at;
    was_stable = was_stable || stable_from == leaving_at;
  }
  return nullptr;
}

std::size_t PublicationHistory::CountBindingLeavings(
    const std::vector<Handling>& handlings) const {
  std::set<std::string> binding;
  for (const Handling& handling : handlings) {
    if (handling.arrival == nullptr || !this->IsInTouch(handling))
      continue;
    for (const auto& [endpoint, times] : this->leavings) {
      const auto exit = this->exits.find(endpoint);
      const bool runs = exit == this->exits.end() || exit->second > handling.at;
      if (runs && this->FindBinding(times, handling.at) != nullptr)
        binding.insert(endpoint);
    }
  }
  return binding.size();
}

bool PublicationHistory::IsExcused(const PublicationCall& call,
                                   const Arrival& arrival) const {
  const auto exit = this->exits.find(arrival.endpoint);
  return this->IsDisturbed(Disturbed::kProcess, call.gateway,
                           call.sent_at - kContact, call.ended_at) ||
         (exit != this->exits.end() && exit->second <= call.ended_at);
}

void PublicationHistory::CheckAnswers(SoakResult& result) const {
  std::set<std::string> judged;
  for (const Arrival& arrival : this->arrivals) {
    const auto found = this->calls.find(arrival.id);
    if (found == this->calls.end())
      continue;
    const PublicationCall& call = found->second;
    if (call.is_complete || call.has_timed_out ||
        this->IsExcused(call, arrival) || !judged.insert(call.id).second)
      continue;
    result.violations.push_back(this->Describe({&call, &arrival, arrival.at}) +
                                ": LOST, it ended without an answer " +
                                SpanText(arrival.at, call.ended_at) +
                                " after it had arrived");
  }
}

SoakResult PublicationHistory::Judge() const {
  const std::lock_guard lock(this->mutex);
  SoakResult result;
  result.calls = this->calls.size();
  result.served = static_cast<std::size_t>(std::count_if(
      this->calls.begin(), this->calls.end(), [](const auto& entry) {
        return entry.second.status == kServed && entry.second.is_complete;
      }));
  result.faults = this->disturbances.size();
  const std::vector<Handling> handlings = this->Handlings();
  this->CheckVersions(handlings, result);
  this->CheckRegress(handlings, result);
  this->CheckLeaving(handlings, result);
  result.evidence += "endpoints whose leaving has bound requests: " +
                     std::to_string(this->CountBindingLeavings(handlings)) +
                     "\n";
  this->CheckAnswers(result);
  return result;
}

}  // namespace buckthornpath
