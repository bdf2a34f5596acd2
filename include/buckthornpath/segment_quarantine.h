/** @file segment_quarantine.h Prompt segments that crash endpoints. */

#ifndef BUCKTHORNPATH_SEGMENT_QUARANTINE_H_
#define BUCKTHORNPATH_SEGMENT_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "buckthornpath/endpoint_selector.h"

namespace buckthornpath {

/** Ids of prompt segments, in ascending order. */
using SegmentSet = std::vector<std::uint64_t>;

/** An endpoint crashed before it had answered on a prompt. */
struct CrashedPrompt {
  EndpointId endpoint;
  std::chrono::milliseconds age{};
  SegmentSet segments;  ///< Those that no endpoint is known to answer on.
};

/** Segments in quarantine: prompts that have all of them are refused. */
struct QuarantinedPrompt {
  SegmentSet segments;
  std::chrono::milliseconds remaining{};
  int convictions = 0;  ///< Times that these segments were quarantined.
};

/** A segment that an endpoint has answered on. */
struct ProvenSegment {
  std::uint64_t segment = 0;
  std::chrono::milliseconds age{};
};

/** What a gateway tells others. Times are ages and durations, as the clocks of
 * machines differ. */
struct QuarantineReport {
  std::vector<CrashedPrompt> crashes;
  std::vector<QuarantinedPrompt> quarantined;
  std::vector<ProvenSegment> proofs;

  bool IsEmpty() const {
    return this->crashes.empty() && this->quarantined.empty() &&
           this->proofs.empty();
  }
};

/** A change of the quarantine that is worth a log line. */
struct QuarantineChange {
  enum class Kind {
    kQuarantined,  ///< Prompts with the segments are refused from now on.
    kCleared,      ///< An endpoint has answered on all of the segments.
    kExpired,      ///< The time of the quarantine is over.
  };
  Kind kind = Kind::kQuarantined;
  SegmentSet segments;
  /** Endpoints whose crash decided; empty if another gateway decided. */
  std::vector<EndpointId> endpoints;
};

/**
 * Finds prompt segments that crash every endpoint which begins to answer on
 * them, and keeps requests with such a segment from all endpoints. Handles a
 * load in which a small share of the requests has such a segment in common and
 * each gateway sees only a few of them: gateways exchange the prompts on which
 * endpoints crashed. What the prompts of several crashes have in common is put
 * in quarantine by all gateways. Segments that any gateway has seen an endpoint
 * answer on are not suspected, which leaves the other segments of such prompts
 * and the prompts that merely ran on the same endpoint in service. Does no I/O.
 * Not thread-safe.
 */
class SegmentQuarantine {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** @param spread Number from 0 to 1 that differs between gateways. Delays the
   * end of a quarantine, so that one gateway tries the segments first. */
  explicit SegmentQuarantine(double spread) : spread(spread) {}

  /** @return The quarantine that a prompt falls under, if any. */
  std::optional<QuarantinedPrompt> Find(std::span<const PromptSegment> prompt,
                                        TimePoint now) const;

  /** @return True if a segment was in the prompt of a crash and is not proven
   * to be harmless. A request with it must not be repeated. */
  bool IsSuspect(std::span<const PromptSegment> prompt, TimePoint now) const;

  /** @return True if a prompt has a segment that is not proven to be harmless,
   * so that a crash has to be recorded for it. */
  bool HasUnproven(std::span<const PromptSegment> prompt, TimePoint now) const;

  /** Records that an endpoint has answered on a prompt. */
  void RecordAnswer(std::span<const PromptSegment> prompt, TimePoint now);

  /** Records that an endpoint crashed before it had answered on a prompt. */
  void RecordCrash(std::span<const PromptSegment> prompt,
                   const EndpointId& endpoint,
                   TimePoint now);

  /** @return What other gateways must know: the quarantine, and recent changes.
   */
  QuarantineReport Report(TimePoint now) const;

  /** Applies the report of another gateway. */
  void Merge(const QuarantineReport& report, TimePoint now);

  /** Ends quarantines whose time is over, and forgets old records. */
  void Expire(TimePoint now);

  /** @return The changes since the last call. */
  std::vector<QuarantineChange> TakeChanges();

  /** @return All segments in quarantine. */
  std::vector<QuarantinedPrompt> All(TimePoint now) const;

  /** @return Number of records, which is limited. */
  std::size_t Size() const {
    return this->crashes.size() + this->entries.size() + this->proofs.size();
  }

 private:
  struct Crash {
    EndpointId endpoint;
    TimePoint time;
    SegmentSet segments;
    TimePoint changed_at;  ///< When this gateway learned of it.
  };

  /** A quarantine; it is remembered after its end. */
  struct Entry {
    SegmentSet segments;
    TimePoint until;
    int convictions = 1;
    bool has_expired = false;
  };

  /** A segment on which endpoints have answered. */
  struct Proof {
    TimePoint time;
    /** When other gateways had to be told; zero: never. */
    TimePoint announced_at{};
  };

  bool IsProven(std::uint64_t segment, TimePoint now) const;
  bool IsActive(const Entry& entry, TimePoint now) const;
  static bool IsSameCrash(const Crash& left, const Crash& right);
  SegmentSet UnprovenSegments(std::span<const PromptSegment> prompt,
                              TimePoint now) const;
  SegmentSet RemoveProven(SegmentSet segments, TimePoint now);
  void AddCrash(Crash crash, TimePoint now);
  void Convict(const Crash& latest, TimePoint now);
  void Quarantine(SegmentSet segments,
                  std::chrono::milliseconds time,
                  int convictions,
                  TimePoint now);
  bool ForgetSegment(std::uint64_t segment, TimePoint now);
  void RecordProof(std::uint64_t segment, TimePoint time, TimePoint now);
  void DiscardExcess(TimePoint now);

  double spread;
  std::unordered_map<std::uint64_t, Proof> proofs;
  std::vector<Crash> crashes;  ///< Oldest first; those not yet explained.
  std::vector<Entry> entries;
  std::vector<QuarantineChange> changes;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_SEGMENT_QUARANTINE_H_
