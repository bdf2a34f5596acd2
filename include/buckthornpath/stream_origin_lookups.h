/** @file stream_origin_lookups.h Questions to other gateways on what has begun
 * streams. */

#ifndef BUCKTHORNPATH_STREAM_ORIGIN_LOOKUPS_H_
#define BUCKTHORNPATH_STREAM_ORIGIN_LOOKUPS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "buckthornpath/stream_origins.h"

namespace buckthornpath {

/** What a gateway answers on a stream. */
struct StreamAnswer {
  std::optional<StreamOrigin> origin;  ///< Empty: nothing is known for certain.
  bool is_contradictory = false;       ///< Its records contradict each other.
};

/** How a lookup has ended. */
enum class LookupEnd {
  kFound,
  kUnknown,        ///< All gateways that were asked know nothing.
  kContradictory,  ///< Records contradict each other: nothing is proven.
  kTimedOut        ///< Some were silent, the others know nothing.
};

/** A lookup that has ended. */
struct EndedLookup {
  StreamKey stream;
  LookupEnd end = LookupEnd::kUnknown;
  std::optional<StreamOrigin> origin;  ///< Set if it was found.
};

/**
 * Decides which gateways are asked what has begun a stream, when those that are
 * silent are asked again, and when a lookup ends. A record that is found is
 * held for a short time until the others have answered, as one that contradicts
 * it may follow. Handles the streams of many gateways that are killed at once:
 * lookups in progress and questions in a round are bounded. Does no I/O. Not
 * thread-safe.
 */
class StreamOriginLookups {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Limit of the lookups in progress. */
  static constexpr std::size_t kMaxLookups = 512;

  /** Limit of the streams of a round of questions. */
  static constexpr std::size_t kMaxPerRound = 128;

  /** Time between rounds of questions. */
  static constexpr std::chrono::milliseconds kRoundInterval{10};

  /** Time after which silent gateways are asked once more. */
  static constexpr std::chrono::milliseconds kRepeatDelay{60};

  /** Time after a record is found in which others may contradict it. */
  static constexpr std::chrono::milliseconds kSettleTime{40};

  /** Limit of the time of a lookup. */
  static constexpr std::chrono::milliseconds kTimeout{250};

  /** Questions to one gateway. */
  using Questions = std::map<std::string, std::vector<StreamKey>>;

  /**
   * Begins a lookup, or joins the one in progress.
   * @param gateways Addresses of those to ask.
   * @return False if there are too many lookups, or nobody to ask.
   */
  bool Begin(const StreamKey& stream,
             const std::vector<std::string>& gateways,
             TimePoint now);

  /** @return Streams to ask for now, by gateway. */
  Questions TakeQuestions(TimePoint now);

  /** Records an answer. @return False if no lookup of the stream is in
   * progress. */
  bool RecordAnswer(const std::string& gateway,
                    const StreamKey& stream,
                    const StreamAnswer& answer,
                    TimePoint now);

  /** @return Lookups that have ended since the last call. */
  std::vector<EndedLookup> TakeEnded(TimePoint now);

  /** @return Time at which questions are due or a lookup ends; nothing if no
   * lookup is in progress. */
  std::optional<TimePoint> NextAt() const;

  std::size_t Count() const { return this->lookups.size(); }

 private:
  struct Lookup {
    std::set<std::string> silent;  ///< Gateways that have not answered.
    TimePoint ends_at{};
    std::optional<StreamOrigin> origin;
    bool is_contradictory = false;
  };

  /** A question that is due at a time. */
  struct DueQuestion {
    TimePoint due_at{};
    StreamKey stream;
    bool is_repeat = false;
  };

  static std::optional<LookupEnd> EndOf(const Lookup& lookup, TimePoint now);

  std::map<StreamKey, Lookup> lookups;
  std::deque<DueQuestion> first_questions;
  std::deque<DueQuestion> repeats;  ///< In the order of their times.
  TimePoint round_at{};
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_STREAM_ORIGIN_LOOKUPS_H_
