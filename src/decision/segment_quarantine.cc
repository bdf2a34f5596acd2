/** @file segment_quarantine.cc Prompt segments that crash endpoints. */

#include "buckthornpath/segment_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using TimePoint = SegmentQuarantine::TimePoint;

/** Crashes after which segments are put in quarantine. A machine that fails
 * takes one endpoint with it, and its requests may be repeated at one that
 * fails as well. */
constexpr std::size_t kCrashLimit = 3;

/** Time for which a crash counts. */
constexpr minutes kCrashLifetime{10};

/** Reports of one crash by several gateways differ by less than this; an
 * endpoint takes longer to start and crash again. */
constexpr milliseconds kSameCrashTime{1500};

/** Time for which an answer proves a segment to be harmless. Longer than most
 * requests take, shorter than the time in which endpoints are replaced. */
constexpr seconds kProofLifetime{30};

/** Duration of the first quarantine; each later one is twice as long. */
constexpr minutes kFirstQuarantine{2};
constexpr int kMaxDoublings = 5;
constexpr milliseconds kMaxQuarantine = kFirstQuarantine * (1 << kMaxDoublings);

/** The ends of a quarantine at the gateways of a fleet are spread over this. */
constexpr seconds kReleaseSpread{30};

/** Time for which a change is reported: some rounds, as datagrams get lost. */
constexpr milliseconds kReportTime{1000};

/** Limits of a report: a datagram holds loads and the roster as well. */
constexpr std::size_t kMaxReportedCrashes = 32;
constexpr std::size_t kMaxReportedEntries = 32;
constexpr std::size_t kMaxReportedProofs = 64;

/** Limits of the memory. */
constexpr std::size_t kMaxProofs = 8192;
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxEntries = 256;

/** Limit of the suspected segments of a prompt; the later ones are shared by
 * fewer requests. */
constexpr std::size_t kMaxSegments = 16;

/** @return The segments that other requests may share: all but the last. */
std::span<const PromptSegment> SharedSegments(
    std::span<const PromptSegment> prompt) {
  return prompt.first(prompt.empty() ? 0 : prompt.size() - 1);
}

/** @return True if a prompt has all of these segments. */
bool HasAll(std::span<const PromptSegment> prompt, const SegmentSet& segments) {
  const auto shared = SharedSegments(prompt);
  return std::all_of(segments.begin(), segments.end(), [&](std::uint64_t id) {
    return std::any_of(shared.begin(), shared.end(),
                       [&](const auto& segment) { return segment.id == id; });
  });
}

bool Contains(const SegmentSet& segments, std::uint64_t id) {
  return std::binary_search(segments.begin(), segments.end(), id);
}

bool Includes(const SegmentSet& all, const SegmentSet& part) {
  return std::includes(all.begin(), all.end(), part.begin(), part.end());
}

milliseconds Since(TimePoint time, TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now - time);
}

/** @return The time of an age; that of a peer may be out of range. */
TimePoint TimeOf(milliseconds age, TimePoint now) {
  return now - std::clamp<milliseconds>(age, milliseconds(0), kCrashLifetime);
}

/** @return The time left, which is never negative. */
milliseconds TimeLeft(TimePoint until, TimePoint now) {
  return std::max(Since(now, until), milliseconds(0));
}

}  // namespace

bool SegmentQuarantine::IsProven(std::uint64_t segment, TimePoint now) const {
  const auto found = this->proofs.find(segment);
  return found != this->proofs.end() &&
         now - found->second.time < kProofLifetime;
}

bool SegmentQuarantine::IsActive(const Entry& entry, TimePoint now) const {
  const auto delay =
      std::chrono::duration_cast<milliseconds>(kReleaseSpread * this->spread);
  return !entry.has_expired && now < entry.until + delay;
}

bool SegmentQuarantine::IsSameCrash(const Crash& left, const Crash& right) {
  return left.endpoint == right.endpoint &&
         std::chrono::abs(left.time - right.time) < kSameCrashTime;
}

SegmentSet SegmentQuarantine::UnprovenSegments(
    std::span<const PromptSegment> prompt,
    TimePoint now) const {
  SegmentSet segments;
  for (const PromptSegment& segment : SharedSegments(prompt)) {
    if (!this->IsProven(segment.id, now))
      segments.push_back(segment.id);
  }
  if (segments.size() > kMaxSegments)
    segments.erase(segments.begin(), segments.end() - kMaxSegments);
  std::sort(segments.begin(), segments.end());
  segments.erase(std::unique(segments.begin(), segments.end()), segments.end());
  return segments;
}

std::optional<QuarantinedPrompt> SegmentQuarantine::Find(
    std::span<const PromptSegment> prompt,
    TimePoint now) const {
  for (const Entry& entry : this->entries) {
    if (this->IsActive(entry, now) && HasAll(prompt, entry.segments))
      return QuarantinedPrompt{entry.segments, TimeLeft(entry.until, now),
                               entry.convictions};
  }
  return std::nullopt;
}

bool SegmentQuarantine::IsSuspect(std::span<const PromptSegment> prompt,
                                  TimePoint now) const {
  if (this->crashes.empty() && this->entries.empty())
    return false;
  const SegmentSet unproven = this->UnprovenSegments(prompt, now);
  const auto is_suspect = [&](const SegmentSet& suspects) {
    return std::any_of(unproven.begin(), unproven.end(),
                       [&](auto id) { return Contains(suspects, id); });
  };
  return std::any_of(
             this->crashes.begin(), this->crashes.end(),
             [&](const Crash& crash) { return is_suspect(crash.segments); }) ||
         std::any_of(
             this->entries.begin(), this->entries.end(),
             [&](const Entry& entry) { return is_suspect(entry.segments); });
}

bool SegmentQuarantine::HasUnproven(std::span<const PromptSegment> prompt,
                                    TimePoint now) const {
  const auto shared = SharedSegments(prompt);
  return std::any_of(shared.begin(), shared.end(), [&](const auto& segment) {
    return !this->IsProven(segment.id, now);
  });
}

bool SegmentQuarantine::ForgetSegment(std::uint64_t segment, TimePoint now) {
  bool was_suspect = false;
  for (Crash& crash : this->crashes)
    was_suspect |= std::erase(crash.segments, segment) > 0;
  std::erase_if(this->crashes,
                [](const Crash& crash) { return crash.segments.empty(); });
  for (Entry& entry : this->entries) {
    if (!Contains(entry.segments, segment))
      continue;
    was_suspect = true;
    std::erase(entry.segments, segment);
    if (entry.segments.empty() && this->IsActive(entry, now))
      this->changes.push_back(
          {QuarantineChange::Kind::kCleared, {segment}, {}});
  }
  std::erase_if(this->entries,
                [](const Entry& entry) { return entry.segments.empty(); });
  return was_suspect;
}

void SegmentQuarantine::RecordProof(std::uint64_t segment,
                                    TimePoint time,
                                    TimePoint now) {
  Proof& proof = this->proofs[segment];
  proof.time = std::max(proof.time, time);
  if (this->crashes.empty() && this->entries.empty())
    return;
  if (this->ForgetSegment(segment, now))
    proof.announced_at = now;
}

void SegmentQuarantine::RecordAnswer(std::span<const PromptSegment> prompt,
                                     TimePoint now) {
  for (const PromptSegment& segment : SharedSegments(prompt))
    this->RecordProof(segment.id, now, now);
  this->DiscardExcess(now);
}

void SegmentQuarantine::RecordCrash(std::span<const PromptSegment> prompt,
                                    const EndpointId& endpoint,
                                    TimePoint now) {
  this->AddCrash({endpoint, now, this->UnprovenSegments(prompt, now), now},
                 now);
}

void SegmentQuarantine::AddCrash(Crash crash, TimePoint now) {
  const bool is_known = std::any_of(
      this->crashes.begin(), this->crashes.end(), [&](const Crash& known) {
        return IsSameCrash(known, crash) && known.segments == crash.segments;
      });
  if (crash.segments.empty() || is_known)
    return;
  for (Entry& entry : this->entries) {
    if (!Includes(crash.segments, entry.segments))
      continue;
    // Under quarantine, this is a request that was already on its way.
    if (!this->IsActive(entry, now)) {
      const int doublings = std::min(entry.convictions, kMaxDoublings);
      this->Quarantine(entry.segments, kFirstQuarantine * (1 << doublings),
                       entry.convictions + 1, now);
    }
    return;
  }
  if (this->crashes.size() >= kMaxCrashes)
    this->crashes.erase(this->crashes.begin());
  this->crashes.push_back(crash);
  this->Convict(crash, now);
}

void SegmentQuarantine::Convict(const Crash& latest, TimePoint now) {
  std::vector<Crash> evidence;
  SegmentSet common;
  for (const std::uint64_t segment : latest.segments) {
    std::vector<Crash> distinct;
    SegmentSet shared_by_all = latest.segments;
    for (const Crash& crash : this->crashes) {
      if (!Contains(crash.segments, segment))
        continue;
      SegmentSet rest;
      std::set_intersection(shared_by_all.begin(), shared_by_all.end(),
                            crash.segments.begin(), crash.segments.end(),
                            std::back_inserter(rest));
      shared_by_all = std::move(rest);
      if (std::none_of(
              distinct.begin(), distinct.end(),
              [&](const auto& known) { return IsSameCrash(known, crash); }))
        distinct.push_back(crash);
    }
    if (distinct.size() > evidence.size()) {
      evidence = std::move(distinct);
      common = std::move(shared_by_all);
    }
  }
  if (evidence.size() < kCrashLimit)
    return;
  this->Quarantine(std::move(common), kFirstQuarantine, 1, now);
  for (const Crash& crash : evidence)
    this->changes.back().endpoints.push_back(crash.endpoint);
  // These crashes are explained; what else ran on the endpoints is not to
  // blame.
  std::erase_if(this->crashes, [&](const Crash& crash) {
    return std::any_of(
        evidence.begin(), evidence.end(),
        [&](const Crash& explained) { return IsSameCrash(explained, crash); });
  });
}

void SegmentQuarantine::Quarantine(SegmentSet segments,
                                   milliseconds time,
                                   int convictions,
                                   TimePoint now) {
  this->changes.push_back({QuarantineChange::Kind::kQuarantined, segments, {}});
  Entry entry{std::move(segments), now + time, convictions};
  const auto known = std::find_if(
      this->entries.begin(), this->entries.end(),
      [&](const Entry& other) { return other.segments == entry.segments; });
  if (known != this->entries.end()) {
    *known = std::move(entry);
    return;
  }
  if (this->entries.size() >= kMaxEntries)
    this->entries.erase(this->entries.begin());
  this->entries.push_back(std::move(entry));
}

QuarantineReport SegmentQuarantine::Report(TimePoint now) const {
  QuarantineReport report;
  for (const Entry& entry : this->entries) {
    // After its end, other gateways may try the segments already.
    if (!entry.has_expired && entry.until > now &&
        report.quarantined.size() < kMaxReportedEntries) {
      report.quarantined.push_back(
          {entry.segments, Since(now, entry.until), entry.convictions});
    }
  }
  for (auto crash = this->crashes.rbegin(); crash != this->crashes.rend();
       ++crash) {
    if (now - crash->changed_at < kReportTime &&
        report.crashes.size() < kMaxReportedCrashes)
      report.crashes.push_back(
          {crash->endpoint, Since(crash->time, now), crash->segments});
  }
  for (const auto& [segment, proof] : this->proofs) {
    if (proof.announced_at != TimePoint{} &&
        now - proof.announced_at < kReportTime &&
        report.proofs.size() < kMaxReportedProofs)
      report.proofs.push_back({segment, Since(proof.time, now)});
  }
  return report;
}

SegmentSet SegmentQuarantine::RemoveProven(SegmentSet segments, TimePoint now) {
  std::sort(segments.begin(), segments.end());
  std::erase_if(segments, [&](std::uint64_t segment) {
    if (!this->IsProven(segment, now))
      return false;
    // The answer is news to the sender, which suspects the segment.
    this->proofs.at(segment).announced_at = now;
    return true;
  });
  return segments;
}

void SegmentQuarantine::Merge(const QuarantineReport& report, TimePoint now) {
  for (const ProvenSegment& proven : report.proofs) {
    const bool is_news = !this->IsProven(proven.segment, now);
    this->RecordProof(proven.segment, TimeOf(proven.age, now), now);
    if (is_news)
      this->proofs.at(proven.segment).announced_at = now;
  }
  for (const QuarantinedPrompt& quarantined : report.quarantined) {
    SegmentSet segments = this->RemoveProven(quarantined.segments, now);
    const bool is_active = std::any_of(
        this->entries.begin(), this->entries.end(), [&](const Entry& entry) {
          return entry.segments == segments && this->IsActive(entry, now);
        });
    if (segments.empty() || is_active ||
        quarantined.remaining <= milliseconds(0))
      continue;
    this->Quarantine(
        std::move(segments), std::min(quarantined.remaining, kMaxQuarantine),
        std::clamp(quarantined.convictions, 1, kMaxDoublings + 1), now);
  }
  for (const CrashedPrompt& crash : report.crashes) {
    this->AddCrash({crash.endpoint, TimeOf(crash.age, now),
                    this->RemoveProven(crash.segments, now), now},
                   now);
  }
  this->DiscardExcess(now);
}

void SegmentQuarantine::Expire(TimePoint now) {
  std::erase_if(this->crashes, [&](const Crash& crash) {
    return now - crash.time >= kCrashLifetime;
  });
  for (Entry& entry : this->entries) {
    if (entry.has_expired || this->IsActive(entry, now))
      continue;
    entry.has_expired = true;
    this->changes.push_back(
        {QuarantineChange::Kind::kExpired, entry.segments, {}});
  }
  std::erase_if(this->entries, [&](const Entry& entry) {
    return now - entry.until >= kMaxQuarantine;
  });
  std::erase_if(this->proofs, [&](const auto& entry) {
    return now - entry.second.time >= kProofLifetime;
  });
}

void SegmentQuarantine::DiscardExcess(TimePoint now) {
  if (this->proofs.size() <= kMaxProofs)
    return;
  this->Expire(now);
  // The next answers renew them.
  if (this->proofs.size() > kMaxProofs)
    this->proofs.clear();
}

std::vector<QuarantineChange> SegmentQuarantine::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::vector<QuarantinedPrompt> SegmentQuarantine::All(TimePoint now) const {
  std::vector<QuarantinedPrompt> all;
  for (const Entry& entry : this->entries) {
    if (this->IsActive(entry, now))
      all.push_back(
          {entry.segments, TimeLeft(entry.until, now), entry.convictions});
  }
  return all;
}

}  // namespace buckthornpath
