/** @file stop_history.cc Judges requests around planned stops of gateways. */

#include "soak/stop_history.h"

#include <algorithm>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Latest time of a request after SIGTERM for which the end of the grace is an
 * excuse, and the part of the grace in which its endpoint must be at work. */
constexpr milliseconds kExcusedSendTime{3000};
constexpr milliseconds kLastWorkTime = kStopGrace * 5 / 6;

/** Time in which a connection that crosses the close may end unanswered. */
constexpr milliseconds kLossSlack{200};

milliseconds Between(StopHistory::Clock::time_point from,
                     StopHistory::Clock::time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

std::string BodyOfStream(int last_event) {
  std::string body;
  for (int id = 1; id <= last_event; ++id) {
    body +=
        "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
  }
  return body;
}

}  // namespace

bool IsStream(const std::string& id) {
  return id.starts_with(kChatPrefix) || id.starts_with(kDraftPrefix);
}

int LastEventOf(const std::string& id) {
  return std::stoi(id.substr(id.rfind('-') + 1));
}

void StopHistory::RecordArrival(const std::string& id,
                                const std::string& endpoint) {
  const std::lock_guard lock(this->mutex);
  Work& request = this->work[id];
  request.endpoints.push_back(endpoint);
  request.has_ended = false;
}

void StopHistory::RecordWork(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->work[id].last_at = Clock::now();
}

void StopHistory::RecordEnd(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->work[id].has_ended = true;
}

void StopHistory::RecordRefusal(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  ++this->work[id].refusals;
}

void StopHistory::RecordStop(std::size_t gateway) {
  const std::lock_guard lock(this->mutex);
  ++this->result.faults;
  this->stops[gateway].push_back(Clock::now());
}

void StopHistory::RecordExit(std::size_t gateway,
                             int exit_code,
                             bool was_starting) {
  constexpr int kCutOff = 3;  // Requests outlasted the drain.
  constexpr int kSignal = -1;
  if (exit_code == 0 || exit_code == kCutOff ||
      (exit_code == kSignal && was_starting))
    return;
  const std::lock_guard lock(this->mutex);
  this->result.violations.push_back("gateway " + std::to_string(gateway) +
                                    " ended with code " +
                                    std::to_string(exit_code));
}

void StopHistory::RecordOutcome(const CallOutcome& outcome) {
  const std::lock_guard lock(this->mutex);
  ++this->result.calls;
  if (outcome.status == 200 && outcome.is_complete)
    this->CheckAnswer(outcome);
  if (!outcome.is_complete && !outcome.has_timed_out)
    this->unanswered.push_back({outcome, Clock::now()});
}

void StopHistory::CheckAnswer(const CallOutcome& outcome) {
  ++this->result.served;
  const std::string expected = IsStream(outcome.id)
                                   ? BodyOfStream(LastEventOf(outcome.id))
                                   : "answer to " + outcome.id;
  if (outcome.body != expected) {
    this->result.violations.push_back(outcome.id +
                                      " got another answer than its own");
  }
}

StopHistory::Clock::time_point StopHistory::StopBefore(std::size_t gateway,
                                                       Clock::time_point time) {
  Clock::time_point latest{};
  for (const Clock::time_point stop : this->stops[gateway]) {
    if (stop <= time)
      latest = std::max(latest, stop);
  }
  return latest;
}

void StopHistory::CheckLost(const Ended& ended) {
  const CallOutcome& outcome = ended.outcome;
  const auto found = this->work.find(outcome.id);
  const Clock::time_point stop = this->StopBefore(outcome.gateway, ended.at);
  const milliseconds after_stop = Between(stop, ended.at);
  std::string where = "reached no endpoint";
  if (found == this->work.end()) {
    if (Between(outcome.sent_at, ended.at) <= kLossSlack)
      return;
  } else {
    const Work& request = found->second;
    const bool is_excused =
        Between(stop, outcome.sent_at) <= kExcusedSendTime &&
        after_stop >= kLastWorkTime &&
        Between(stop, request.last_at) >= kLastWorkTime && !request.has_ended;
    if (is_excused)
      return;
    where = "at";
    for (const std::string& endpoint : request.endpoints)
      where += " " + endpoint;
    where += ", " + std::to_string(request.refusals) + " refusals, last work " +
             std::to_string(Between(stop, request.last_at).count()) + " ms";
    if (request.has_ended)
      where += ", ended there";
  }
  this->result.violations.push_back(
      outcome.id + " ended without a whole answer (status " +
      std::to_string(outcome.status) + ", " +
      std::to_string(outcome.body.size()) + " bytes): sent " +
      std::to_string(Between(stop, outcome.sent_at).count()) +
      " ms and ended " + std::to_string(after_stop.count()) +
      " ms after the SIGTERM of gateway " + std::to_string(outcome.gateway) +
      "; " + where);
}

SoakResult StopHistory::Finish() {
  const std::lock_guard lock(this->mutex);
  for (const Ended& ended : this->unanswered)
    this->CheckLost(ended);
  return this->result;
}

}  // namespace buckthornpath
