/** @file stream_origin_lookups.cc Questions to other gateways on what has begun
 * streams. */

#include "buckthornpath/stream_origin_lookups.h"

#include <algorithm>

namespace buckthornpath {

bool StreamOriginLookups::Begin(const StreamKey& stream,
                                const std::vector<std::string>& gateways,
                                TimePoint now) {
  if (this->lookups.contains(stream))
    return true;
  if (this->lookups.size() >= kMaxLookups || gateways.empty())
    return false;
  Lookup lookup;
  lookup.silent.insert(gateways.begin(), gateways.end());
  lookup.ends_at = now + kTimeout;
  this->lookups.emplace(stream, std::move(lookup));
  this->first_questions.push_back({.due_at = now, .stream = stream});
  return true;
}

StreamOriginLookups::Questions StreamOriginLookups::TakeQuestions(
    TimePoint now) {
  Questions questions;
  if (now < this->round_at + kRoundInterval)
    return questions;
  std::size_t count = 0;
  for (auto* due : {&this->first_questions, &this->repeats}) {
    while (!due->empty() && due->front().due_at <= now &&
           count < kMaxPerRound) {
      const DueQuestion question = due->front();
      due->pop_front();
      const auto lookup = this->lookups.find(question.stream);
      if (lookup == this->lookups.end() || lookup->second.origin)
        continue;
      ++count;
      for (const std::string& gateway : lookup->second.silent)
        questions[gateway].push_back(question.stream);
      if (!question.is_repeat)
        this->repeats.push_back({now + kRepeatDelay, question.stream, true});
    }
  }
  if (count != 0)
    this->round_at = now;
  return questions;
}

bool StreamOriginLookups::RecordAnswer(const std::string& gateway,
                                       const StreamKey& stream,
                                       const StreamAnswer& answer,
                                       TimePoint now) {
  const auto found = this->lookups.find(stream);
  if (found == this->lookups.end())
    return false;
  Lookup& lookup = found->second;
  lookup.silent.erase(gateway);
  if (answer.is_contradictory ||
      (answer.origin && lookup.origin && *answer.origin != *lookup.origin))
    lookup.is_contradictory = true;
  if (answer.origin && !lookup.origin) {
    lookup.origin = answer.origin;
    lookup.ends_at = std::min(lookup.ends_at, now + kSettleTime);
  }
  return true;
}

std::optional<LookupEnd> StreamOriginLookups::EndOf(const Lookup& lookup,
                                                    TimePoint now) {
  if (lookup.is_contradictory)
    return LookupEnd::kContradictory;
  if (!lookup.silent.empty() && now < lookup.ends_at)
    return std::nullopt;
  if (lookup.origin)
    return LookupEnd::kFound;
  return lookup.silent.empty() ? LookupEnd::kUnknown : LookupEnd::kTimedOut;
}

std::vector<EndedLookup> StreamOriginLookups::TakeEnded(TimePoint now) {
  std::vector<EndedLookup> ended;
  for (auto lookup = this->lookups.begin(); lookup != this->lookups.end();) {
    const std::optional<LookupEnd> end = EndOf(lookup->second, now);
    if (!end) {
      ++lookup;
      continue;
    }
    ended.push_back(
        {lookup->first, *end,
         *end == LookupEnd::kFound ? lookup->second.origin : std::nullopt});
    lookup = this->lookups.erase(lookup);
  }
  return ended;
}

std::optional<StreamOriginLookups::TimePoint> StreamOriginLookups::NextAt()
    const {
  if (this->lookups.empty())
    return std::nullopt;
  TimePoint next = TimePoint::max();
  for (const auto& [stream, lookup] : this->lookups) {
    const bool has_ended = lookup.is_contradictory || lookup.silent.empty();
    next = std::min(next, has_ended ? TimePoint::min() : lookup.ends_at);
  }
  for (const auto* due : {&this->first_questions, &this->repeats}) {
    if (!due->empty()) {
      next = std::min(
          next, std::max(due->front().due_at, this->round_at + kRoundInterval));
    }
  }
  return next;
}

}  // namespace buckthornpath
