/** @file segment_quarantine.h Requests that crash endpoints. */

#ifndef BUCKTHORNPATH_SEGMENT_QUARANTINE_H_
#define BUCKTHORNPATH_SEGMENT_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "buckthornpath/endpoint_selector.h"

namespace buckthornpath {

/** Ids of prompt segments and fingerprints of requests, in ascending order. */
using SegmentSet = std::vector<std::uint64_t>;

/** What a request has in common with others that may crash an endpoint. */
struct RequestSignature {
  /** Prompt segments that other requests may share, in prompt order. */
  std::vector<std::uint64_t> segments;
  /** Hash of all that an endpoint computes on: the same for each repetition of
   * the request. Treated as one more segment. */
  std::uint64_t fingerprint = 0;
};

/** An endpoint crashed before it had answered a request. */
struct CrashedRequest {
  EndpointId endpoint;
  std::chrono::milliseconds age{};
  SegmentSet segments;  ///< Those that no endpoint is known to answer on.
};

/** Segments in quarantine: requests that have all of them are refused. */
struct QuarantinedRequest {
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
  std::vector<CrashedRequest> crashes;
  std::vector<QuarantinedRequest> quarantined;
  std::vector<ProvenSegment> proofs;

  bool IsEmpty() const {
    return this->crashes.empty() && this->quarantined.empty() &&
           this->proofs.empty();
  }
};

/** A change of the quarantine that is worth a log line. */
struct QuarantineChange {
  enum class Kind {
    kQuarantined,  ///< Requests with the segments are refused from now on.
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
 * them, and requests that do so as a whole, and keeps requests with such a
 * segment or fingerprint from all endpoints. Handles a load in which a small
 * share of the requests has a segment in common, or in which one request is
 * repeated by its callers, and each gateway sees only a few of them: gateways
 * exchange the signatures of the requests under which endpoints crashed. What
 * the signatures of several crashes have in common is put in quarantine by all
 * gateways. What any gateway has seen an endpoint answer on is not suspected,
 * which leaves the other segments of such requests and the requests that merely
 * ran on the same endpoint in service. Does no I/O. Not thread-safe.
 */
class SegmentQuarantine {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** @param spread Number from 0 to 1 that differs between gateways. Delays the
   * end of a quarantine, so that one gateway tries the segments first. */
  explicit SegmentQuarantine(double spread) : spread(spread) {}

  /** @return The quarantine that a request falls under, if any. */
  std::optional<QuarantinedRequest> Find(const RequestSignature& request,
                                         TimePoint now) const;

  /** @return True if an endpoint crashed under a request with one of the
   * segments, and that one is not proven to be harmless. Such a request must
   * not be repeated. */
  bool IsSuspect(const RequestSignature& request, TimePoint now) const;

  /** @return True if a request has a segment that is not proven to be harmless,
   * so that a crash has to be recorded for it. */
  bool HasUnproven(const RequestSignature& request, TimePoint now) const;

  /** Records that an endpoint has answered a request. */
  void RecordAnswer(const RequestSignature& request, TimePoint now);

  /** Records that an endpoint crashed before it had answered a request. */
  void RecordCrash(const RequestSignature& request,
                   const EndpointId& endpoint,
                   TimePoint now);

  /**
   * Ends all quarantines with a segment here and, by way of the reports, at the
   * other gateways: an operator's word counts as an answer on all their
   * segments.
   * @return False if the segment is not in quarantine.
   */
  bool Lift(std::uint64_t segment, TimePoint now);

  /** @return What other gateways must know: the quarantine, and recent changes.
   */
  QuarantineReport Report(TimePoint now) const;

  /** Applies the report of another gateway. */
  void Merge(const QuarantineReport& report, TimePoint now);

  /** Ends quarantines whose time is over, and forgets old records. */
  void Expire(TimePoint now);

  /** @return The changes since the last call. */
  std::vector<QuarantineChange> TakeChanges();

  /** @return True if there is something to tell other gateways at once that was
   * not there at the last call. */
  bool TakeNews() { return std::exchange(this->has_news, false); }

  /** @return All segments in quarantine. */
  std::vector<QuarantinedRequest> All(TimePoint now) const;

  /** @return Number of requests under which an endpoint crashed and that are
   * neither cleared nor explained. */
  std::size_t SuspectCount() const { return this->crashes.size(); }

  /** @return Number of records, which is limited. */
  std::size_t Size() const {
    return this->crashes.size() + this->explained.size() +
           this->entries.size() + this->proofs.size() + this->announced.size() +
           this->answered.size() + this->answered_before.size();
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

  /** The crash of an endpoint, whatever ran on it. */
  struct ExplainedCrash {
    EndpointId endpoint;
    TimePoint time;
  };

  bool IsProven(std::uint64_t segment, TimePoint now) const;
  bool IsActive(const Entry& entry, TimePoint now) const;
  static bool IsSameCrash(const Crash& left, const Crash& right);
  bool IsExplained(const Crash& crash) const;
  SegmentSet UnprovenSegments(const RequestSignature& request,
                              TimePoint now) const;
  SegmentSet RemoveProven(SegmentSet segments, TimePoint now);
  void AddCrash(Crash crash, TimePoint now);
  void Convict(const Crash& latest, TimePoint now);
  void Explain(const std::vector<Crash>& evidence);
  void Quarantine(SegmentSet segments,
                  std::chrono::milliseconds time,
                  int convictions,
                  TimePoint now);
  bool ForgetSegment(std::uint64_t segment, TimePoint now);
  void RecordProof(std::uint64_t segment, TimePoint time, TimePoint now);
  void RecordAnsweredRequest(std::uint64_t fingerprint, TimePoint now);
  void Announce(std::uint64_t segment, TimePoint now);
  void DiscardProofs(TimePoint now);

  double spread;
  /** Times at which endpoints answered on segments. */
  std::unordered_map<std::uint64_t, TimePoint> proofs;
  /** Proofs that other gateways have to be told, and since when. */
  std::unordered_map<std::uint64_t, TimePoint> announced;
  /** Fingerprints of requests that were answered lately: since the last change
   * of the generation, and in the generation before. */
  std::unordered_set<std::uint64_t> answered;
  std::unordered_set<std::uint64_t> answered_before;
  TimePoint generation_at{};
  TimePoint proofs_checked_at{};
  std::vector<Crash> crashes;  ///< Oldest first; those not yet explained.
  std::vector<ExplainedCrash> explained;  ///< Oldest first.
  std::vector<Entry> entries;
  std::vector<QuarantineChange> changes;
  bool has_news = false;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_SEGMENT_QUARANTINE_H_
