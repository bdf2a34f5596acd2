/** @file evacuation_watch.cc Judges where requests arrive while failure domains
 * are evacuated and restored. */

#include "soak/evacuation_watch.h"

#include <algorithm>

namespace buckthornpath {

void EvacuationWatch::RecordBegin(const std::string& domain) {
  const std::lock_guard lock(this->mutex);
  this->evacuated_since.try_emplace(domain, Clock::now());
  this->returned.erase(domain);
}

void EvacuationWatch::RecordEnd(const std::string& domain) {
  const std::lock_guard lock(this->mutex);
  this->evacuated_since.erase(domain);
  this->returned[domain].clear();
}

void EvacuationWatch::RecordArrival(const std::string& id,
                                    const std::string& domain) {
  const std::lock_guard lock(this->mutex);
  // The number of the gateway follows the prefix of the id.
  if (const auto ended = this->returned.find(domain);
      ended != this->returned.end())
    ended->second.insert(std::stoul(id.substr(id.find('-') + 1)));
  const auto begun = this->evacuated_since.find(domain);
  if (begun != this->evacuated_since.end() &&
      Clock::now() - begun->second > kMaxEvacuationTime)
    this->late_arrivals.push_back(id + " reached evacuated domain " + domain);
}

bool EvacuationWatch::HaveAllReturned() {
  const std::lock_guard lock(this->mutex);
  return std::all_of(
      this->returned.begin(), this->returned.end(),
      [&](const auto& entry) { return entry.second.size() == this->gateways; });
}

std::vector<std::string> EvacuationWatch::Violations() {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> all = this->late_arrivals;
  for (const auto& [domain, senders] : this->returned) {
    if (senders.size() < this->gateways) {
      all.push_back("restored domain " + domain + " got no request of " +
                    std::to_string(this->gateways - senders.size()) +
                    " gateways");
    }
  }
  return all;
}

}  // namespace buckthornpath
