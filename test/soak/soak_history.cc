/** @file soak_history.cc What callers and endpoints saw, and the verdict. */

#include "soak/soak_history.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Time for a configuration: the platform's bound of 2 s, and its contact time
 * of 3 s since a pause, a cut or an outage may have come before. */
constexpr milliseconds kApplyTime{5000};

/** A platform's process may hold this much. */
constexpr std::uint64_t kMostMemory = std::uint64_t{200} * 1024 * 1024;

/** Saved-up retries that a new process brings, rounded up. */
constexpr int kRetriesOfStart = 2;

/** Bytes of a log beyond its rate: the lines of a start and of beliefs. */
constexpr std::uint64_t kLogSlack = 32000;

/** Time after a caller's leaving in which its work is to end, with the longest
 * pause of a process. */
constexpr milliseconds kLeavingTime{500 + 400};

/** Departures below which their share says nothing. */
constexpr std::size_t kLeastDepartures = 8;

/** Time in which the platform tells a process's end to its callers. */
constexpr milliseconds kKillNews{100};

bool MayRunOnce(const std::string& id) {
  return id.starts_with(kOnce) || id.starts_with(kLeft);
}

}  // namespace

void SoakHistory::NoteRun(const std::string& id,
                          const std::string& organisation,
                          bool has_key,
                          const std::string& endpoint) {
  const std::lock_guard lock(this->mutex);
  ++this->runs[id];
  this->service_of[id] = endpoint.substr(0, endpoint.find('-'));
  if (organisation != "parish" || has_key)
    this->Violate(id + " ran with another organisation or with the key");
  const auto left = this->left_at.find(endpoint);
  if (left != this->left_at.end() && Clock::now() - left->second > kDrainTime)
    this->Violate(id + " ran at " + endpoint + " after it had left");
}

void SoakHistory::NoteEnd(const CallerEnd& end) {
  const std::lock_guard lock(this->mutex);
  ++this->result.calls;
  if (end.is_silent)
    this->Violate(end.id + " got no final answer by its route's limit");
  if (end.status == 0 && !end.is_silent)
    this->unanswered.emplace_back(end, Clock::now());
  if (end.status == 200)
    this->CheckSuccess(end);
  if (end.status == 503)
    this->refused.push_back(end.id);
  if (end.version > 0) {
    this->CheckRoute(end);
  } else if (end.status == 401 || end.status == 404 || end.status == 400) {
    this->Violate(end.id + " was denied: " + std::to_string(end.status));
  }
}

void SoakHistory::CheckRoute(const CallerEnd& end) {
  std::uint64_t& known = this->known[end.gateway];
  const bool is_same_process = this->started[end.gateway] < end.sent_at;
  if (end.status == 200 && is_same_process)
    known = std::max(known, end.version);
  if (end.status != 404)
    return;
  if (is_same_process && known >= end.version)
    this->Violate(end.id + " was denied by an older configuration than before");
  if (end.sent_at - this->versions[end.version] > kApplyTime)
    this->Violate(end.id + " was denied although its route is in force");
}

void SoakHistory::CheckSuccess(const CallerEnd& end) {
  if (end.id.starts_with(kTalk)) {
    this->CheckStream(end);
    return;
  }
  if (!end.is_whole || end.id.starts_with(kLeft))
    return;
  if (end.body == "answer to " + end.id)
    ++this->result.served;
  else
    this->Violate(end.id + " got a body that is not its own");
}

void SoakHistory::CheckStream(const CallerEnd& end) {
  std::size_t from = 0;
  int next = 1;
  for (; next <= kEvents; ++next) {
    const std::string event = "data: d" + std::to_string(next) + "\n\n";
    const std::size_t at = end.body.find("data: d", from);
    if (at == std::string::npos)
      break;
    if (end.body.compare(at, event.size(), event) != 0) {
      // The last event of a stream that broke off may be cut.
      if (end.body.find("\n\n", at) != std::string::npos)
        this->Violate(end.id + " got events out of order or twice");
      return;
    }
    from = at + event.size();
  }
  if (end.is_whole && next <= kEvents)
    this->Violate(end.id + " got a short stream that looks complete");
  if (end.is_whole)
    ++this->result.served;
}

void SoakHistory::NoteFault() {
  const std::lock_guard lock(this->mutex);
  ++this->result.faults;
}

void SoakHistory::NoteLeaving(const std::string& endpoint, bool leaves) {
  const std::lock_guard lock(this->mutex);
  if (leaves) {
    this->left_at.try_emplace(endpoint, Clock::now());
  } else {
    this->left_at.erase(endpoint);
  }
}

void SoakHistory::NoteKill(std::size_t gateway) {
  const std::lock_guard lock(this->mutex);
  this->kills.emplace_back(gateway, Clock::now());
}

void SoakHistory::NoteStart(std::size_t gateway) {
  const std::lock_guard lock(this->mutex);
  this->started[gateway] = Clock::now();
  this->known[gateway] = 0;
  ++this->starts;
}

void SoakHistory::NoteVersion(std::uint64_t version) {
  const std::lock_guard lock(this->mutex);
  this->versions[version] = Clock::now();
}

std::uint64_t SoakHistory::NewestVersion() {
  const std::lock_guard lock(this->mutex);
  return this->versions.empty() ? 0 : this->versions.rbegin()->first;
}

void SoakHistory::NoteCallerLeft(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->callers_left[id] = Clock::now();
}

void SoakHistory::NoteWorkStopped(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->work_stopped[id] = Clock::now();
}

void SoakHistory::NoteMemory(std::size_t gateway, std::uint64_t bytes) {
  const std::lock_guard lock(this->mutex);
  if (bytes > kMostMemory) {
    this->Violate("gateway " + std::to_string(gateway) + " holds " +
                  std::to_string(bytes) + " bytes");
  }
}

void SoakHistory::CheckLog(std::size_t gateway,
                           std::uint64_t bytes,
                           Clock::time_point since) {
  const std::lock_guard lock(this->mutex);
  const auto seconds = static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::seconds>(Clock::now() - since).count());
  if (bytes > kLogBytes * seconds + kLogSlack) {
    this->Violate("gateway " + std::to_string(gateway) + " logged " +
                  std::to_string(bytes) + " bytes in " +
                  std::to_string(seconds) + " s");
  }
}

void SoakHistory::Violate(const std::string& text) {
  this->result.violations.push_back(text);
}

SoakResult SoakHistory::Finish() {
  const std::lock_guard lock(this->mutex);
  this->CheckRuns();
  this->CheckLost();
  this->CheckRetries();
  this->CheckDepartures();
  return this->result;
}

void SoakHistory::CheckRuns() {
  for (const auto& [id, count] : this->runs) {
    if (count > 1 && MayRunOnce(id))
      this->Violate(id + " ran " + std::to_string(count) + " times");
  }
  for (const std::string& id : this->refused) {
    if (MayRunOnce(id) && this->runs.contains(id))
      this->Violate(id + " was refused as not run and had run");
  }
}

void SoakHistory::CheckLost() {
  for (const auto& [end, ended_at] : this->unanswered) {
    if (this->runs.contains(end.id) &&
        !this->WasKilled(end.gateway, end.sent_at, ended_at)) {
      this->Violate(end.id + " ran and its connection closed unanswered");
    }
  }
}

bool SoakHistory::WasKilled(std::size_t gateway,
                            Clock::time_point from,
                            Clock::time_point to) const {
  return std::any_of(
      this->kills.begin(), this->kills.end(), [&](const auto& kill) {
        return kill.first == gateway && kill.second + kKillNews >= from &&
               kill.second <= to + kKillNews;
      });
}

void SoakHistory::CheckRetries() {
  std::map<std::string, double> requests;
  std::map<std::string, double> repeats;
  for (const auto& [id, count] : this->runs) {
    const std::string& service = this->service_of[id];
    ++requests[service];
    repeats[service] += count - 1;
  }
  for (const auto& [service, count] : repeats) {
    if (count > requests[service] * kRetryPercent / 100 + kRetrySlack +
                    this->starts * kRetriesOfStart) {
      this->Violate(service + " got " + std::to_string(count) + " repeats of " +
                    std::to_string(requests[service]));
    }
  }
}

void SoakHistory::CheckDepartures() {
  std::size_t ran = 0;
  std::size_t late = 0;
  for (const auto& [id, time] : this->callers_left) {
    if (!this->runs.contains(id))
      continue;
    ++ran;
    const auto stopped = this->work_stopped.find(id);
    if (stopped == this->work_stopped.end() ||
        stopped->second - time > kLeavingTime) {
      ++late;
    }
  }
  if (ran >= kLeastDepartures && 4 * late > ran) {
    this->Violate(std::to_string(late) + " of " + std::to_string(ran) +
                  " requests ran on after their callers had left");
  }
}

}  // namespace buckthornpath
