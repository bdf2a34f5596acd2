/** @file evacuation_watch.cc Judges where requests arrive while failure domains
 * are evacuated and restored. */

#include "soak/evacuation_watch.h"

#include <algorithm>

namespace buckthornpath {

void EvacuationWatch::RecordBegin(const std::string& domain) {
  const std::lock_guard lock(this->mutex);
  this->evacuated_since.try_emplace(domain, Clock::now());
  this->arrivals_since_end.erase(domain);
}

void EvacuationWatch::RecordEnd(const std::string& domain) {
  const std::lock_guard lock(this->mutex);
  this->evacuated_since.erase(domain);
  this->arrivals_since_end[domain] = 0;
}

void EvacuationWatch::RecordArrival(const std::string& id,
                                    const std::string& domain) {
  const std::lock_guard lock(this->mutex);
  if (const auto ended = this->arrivals_since_end.find(domain);
      ended != this->arrivals_since_end.end())
    ++ended->second;
  const auto begun = this->evacuated_since.find(domain);
  if (begun != this->evacuated_since.end() &&
      Clock::now() - begun->second > kMaxEvacuationTime)
    this->late_arrivals.push_back(id + " reached evacuated domain " + domain);
}

bool EvacuationWatch::HaveAllReturned() {
  const std::lock_guard lock(this->mutex);
  return std::all_of(this->arrivals_since_end.begin(),
                     this->arrivals_since_end.end(),
                     [](const auto& entry) { return entry.second > 0; });
}

std::vector<std::string> EvacuationWatch::Violations() {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> all = this->late_arrivals;
  for (const auto& [domain, arrivals] : this->arrivals_since_end) {
    if (arrivals == 0)
      all.push_back("restored domain " + domain + " got no request");
  }
  return all;
}

}  // namespace buckthornpath
