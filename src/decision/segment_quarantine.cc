/** @file segment_quarantine.cc Requests that crash endpoints. */

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
constexpr std::size_t kMaxReportedCrashes = 96;
constexpr std::size_t kMaxReportedEntries = 32;
constexpr std::size_t kMaxReportedProofs = 64;

/** Limits of the memory. When it is full, the oldest crashes and entries are
 * dropped, proofs and answered requests all together: answers renew them. */
constexpr std::size_t kMaxProofs = 4096;
constexpr std::size_t kMaxAnnounced = 256;
constexpr std::size_t kMaxAnswered = 2048;  ///< Of each of two generations.
constexpr std::size_t kMaxCrashes = 512;
constexpr std::size_t kMaxExplained = 64;
constexpr std::size_t kMaxEntries = 256;

/** Interval of the walks over all proofs. */
constexpr seconds kProofCheckInterval{5};

/** Limit of the suspected segments of a prompt; the later ones are shared by
 * fewer requests. */
constexpr std::size_t kMaxSegments = 16;

/** @return True if a request has all of these segments. */
bool HasAll(const RequestSignature& request, const SegmentSet& segments) {
  return std::all_of(segments.begin(), segments.end(), [&](std::uint64_t id) {
    return id == request.fingerprint ||
           std::find(request.segments.begin(), request.segments.end(), id) !=
               request.segments.end();
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
  return (found != this->proofs.end() &&
          now - found->second < kProofLifetime) ||
         this->answered.contains(segment) ||
         this->answered_before.contains(segment);
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

SegmentSet SegmentQuarantine::UnprovenSegments(const RequestSignature& request,
                                               TimePoint now) const {
  SegmentSet segments;
  for (const std::uint64_t segment : request.segments) {
    if (!this->IsProven(segment, now))
      segments.push_back(segment);
  }
  if (!this->IsProven(request.fingerprint, now))
    segments.push_back(request.fingerprint);
  if (segments.size() > kMaxSegments)
    segments.erase(segments.begin(), segments.end() - kMaxSegments);
  std::sort(segments.begin(), segments.end());
  segments.erase(std::unique(segments.begin(), segments.end()), segments.end());
  return segments;
}

std::optional<QuarantinedRequest> SegmentQuarantine::Find(
    const RequestSignature& request,
    TimePoint now) const {
  for (const Entry& entry : this->entries) {
    if (this->IsActive(entry, now) && HasAll(request, entry.segments))
      return QuarantinedRequest{entry.segments, TimeLeft(entry.until, now),
                                entry.convictions};
  }
  return std::nullopt;
}

bool SegmentQuarantine::IsSuspect(const RequestSignature& request,
                                  TimePoint now) const {
  if (this->crashes.empty() && this->entries.empty())
    return false;
  const SegmentSet unproven = this->UnprovenSegments(request, now);
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

bool SegmentQuarantine::HasUnproven(const RequestSignature& request,
                                    TimePoint now) const {
  return !this->UnprovenSegments(request, now).empty();
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
  TimePoint& proof = this->proofs[segment];
  proof = std::max(proof, time);
  if (this->crashes.empty() && this->entries.empty())
    return;
  if (this->ForgetSegment(segment, now))
    this->Announce(segment, now);
}

void SegmentQuarantine::Announce(std::uint64_t segment, TimePoint now) {
  if (this->announced.size() < kMaxAnnounced)
    this->announced[segment] = now;
}

void SegmentQuarantine::RecordAnsweredRequest(std::uint64_t fingerprint,
                                              TimePoint now) {
  if (this->answered.size() >= kMaxAnswered ||
      now - this->generation_at >= kProofLifetime) {
    this->answered_before = std::exchange(this->answered, {});
    this->generation_at = now;
  }
  this->answered.insert(fingerprint);
}

void SegmentQuarantine::RecordAnswer(const RequestSignature& request,
                                     TimePoint now) {
  for (const std::uint64_t segment : request.segments)
    this->RecordProof(segment, now, now);
  this->RecordAnsweredRequest(request.fingerprint, now);
  const bool has_suspects = !this->crashes.empty() || !this->entries.empty();
  if (has_suspects && this->ForgetSegment(request.fingerprint, now)) {
    this->proofs[request.fingerprint] = now;
    this->Announce(request.fingerprint, now);
  }
  if (this->proofs.size() > kMaxProofs)
    this->DiscardProofs(now);
}

void SegmentQuarantine::RecordCrash(const RequestSignature& request,
                                    const EndpointId& endpoint,
                                    TimePoint now) {
  this->AddCrash({endpoint, now, this->UnprovenSegments(request, now), now},
                 now);
}

bool SegmentQuarantine::IsExplained(const Crash& crash) const {
  return std::any_of(this->explained.begin(), this->explained.end(),
                     [&](const ExplainedCrash& known) {
                       return known.endpoint == crash.endpoint &&
                              std::chrono::abs(known.time - crash.time) <
                                  kSameCrashTime;
                     });
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
    this->Explain({crash});
    return;
  }
  // Another gateway's report of a crash whose cause is known by now.
  if (this->IsExplained(crash))
    return;
  if (this->crashes.size() >= kMaxCrashes)
    this->crashes.erase(this->crashes.begin());
  this->crashes.push_back(crash);
  this->has_news = true;
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
}

void SegmentQuarantine::Explain(const std::vector<Crash>& evidence) {
  std::erase_if(this->crashes, [&](const Crash& crash) {
    return std::any_of(
        evidence.begin(), evidence.end(),
        [&](const Crash& known) { return IsSameCrash(known, crash); });
  });
  for (const Crash& crash : evidence)
    this->explained.push_back({crash.endpoint, crash.time});
  if (this->explained.size() > kMaxExplained) {
    this->explained.erase(
        this->explained.begin(),
        this->explained.end() - static_cast<std::ptrdiff_t>(kMaxExplained));
  }
}

void SegmentQuarantine::Quarantine(SegmentSet segments,
                                   milliseconds time,
                                   int convictions,
                                   TimePoint now) {
  this->changes.push_back({QuarantineChange::Kind::kQuarantined, segments, {}});
  this->has_news = true;
  // What else ran on the endpoints that the segments crashed is not to blame.
  std::vector<Crash> evidence;
  std::copy_if(
      this->crashes.begin(), this->crashes.end(), std::back_inserter(evidence),
      [&](const Crash& crash) { return Includes(crash.segments, segments); });
  this->Explain(evidence);
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

bool SegmentQuarantine::Lift(std::uint64_t segment, TimePoint now) {
  SegmentSet lifted;
  for (const Entry& entry : this->entries) {
    if (this->IsActive(entry, now) && Contains(entry.segments, segment)) {
      lifted.insert(lifted.end(), entry.segments.begin(), entry.segments.end());
    }
  }
  for (const std::uint64_t id : lifted)
    this->RecordProof(id, now, now);
  return !lifted.empty();
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
  for (const auto& [segment, announced_at] : this->announced) {
    const auto proof = this->proofs.find(segment);
    if (now - announced_at < kReportTime && proof != this->proofs.end() &&
        report.proofs.size() < kMaxReportedProofs)
      report.proofs.push_back({segment, Since(proof->second, now)});
  }
  return report;
}

SegmentSet SegmentQuarantine::RemoveProven(SegmentSet segments, TimePoint now) {
  std::sort(segments.begin(), segments.end());
  std::erase_if(segments, [&](std::uint64_t segment) {
    if (!this->IsProven(segment, now))
      return false;
    // The answer is news to the sender, which suspects the segment.
    this->proofs.try_emplace(segment, now);
    this->Announce(segment, now);
    return true;
  });
  return segments;
}

void SegmentQuarantine::Merge(const QuarantineReport& report, TimePoint now) {
  for (const ProvenSegment& proven : report.proofs) {
    const bool is_news = !this->IsProven(proven.segment, now);
    this->RecordProof(proven.segment, TimeOf(proven.age, now), now);
    if (is_news)
      this->Announce(proven.segment, now);
  }
  for (const QuarantinedRequest& quarantined : report.quarantined) {
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
  for (const CrashedRequest& crash : report.crashes) {
    this->AddCrash({crash.endpoint, TimeOf(crash.age, now),
                    this->RemoveProven(crash.segments, now), now},
                   now);
  }
  if (this->proofs.size() > kMaxProofs)
    this->DiscardProofs(now);
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
  std::erase_if(this->announced, [&](const auto& entry) {
    return now - entry.second >= kReportTime;
  });
  if (now - this->generation_at >= kProofLifetime) {
    this->answered_before = std::exchange(this->answered, {});
    this->generation_at = now;
  }
  if (now - this->proofs_checked_at >= kProofCheckInterval)
    this->DiscardProofs(now);
}

void SegmentQuarantine::DiscardProofs(TimePoint now) {
  this->proofs_checked_at = now;
  std::erase_if(this->proofs, [&](const auto& proof) {
    return now - proof.second >= kProofLifetime;
  });
  if (this->proofs.size() > kMaxProofs)
    this->proofs.clear();
}

std::vector<QuarantineChange> SegmentQuarantine::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::vector<QuarantinedRequest> SegmentQuarantine::All(TimePoint now) const {
  std::vector<QuarantinedRequest> all;
  for (const Entry& entry : this->entries) {
    if (this->IsActive(entry, now))
      all.push_back(
          {entry.segments, TimeLeft(entry.until, now), entry.convictions});
  }
  return all;
}

}  // namespace buckthornpath
