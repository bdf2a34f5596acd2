/** @file endpoint_board.h What a gateway believes of the endpoints it uses. */

#ifndef BUCKTHORNPATH_ENDPOINT_BOARD_H_
#define BUCKTHORNPATH_ENDPOINT_BOARD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "buckthornpath/routing_table.h"
#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** One endpoint as it is published. */
struct EndpointEntry {
  EndpointId id;
  ServiceName service;
  std::string address;  ///< IP number and port.
  FailureDomainId failure_domain;
  std::size_t slots = 0;  ///< Requests at once; 0 if not stated.
  bool leaving = false;   ///< Takes no new work.
  /** How much longer it stays slow after its start; renewed while it is. */
  std::chrono::milliseconds cold_remaining{};

  bool operator==(const EndpointEntry&) const = default;
};

/** A part of a prompt that requests may share. */
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/** A part of prompts and an endpoint that has read it. */
struct PartPlace {
  EndpointId endpoint;
  std::uint64_t part = 0;
};

/** Load that an endpoint stated itself. */
struct StatedLoad {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
};

/** What befell a request at an endpoint, as far as its health is concerned. */
enum class EndpointVerdict {
  kServed,       ///< A whole answer came.
  kFailed,       ///< It answered with a failure of its own.
  kFull,         ///< It refused for lack of room.
  kBroken,       ///< The connection broke or the answer was spoiled.
  kUnreachable,  ///< No connection could be opened.
};

/** What is known of a request when its endpoint is chosen. */
struct EndpointQuery {
  ServiceName service;
  std::span<const PromptPart> parts;  ///< In the order of the prompt.
  int priority = 0;                   ///< 0 is the most urgent.
  /** Endpoints that have failed this request. */
  std::span<const EndpointId> excluded;
};

/** One endpoint and all that is believed of it. */
class EndpointBelief {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit EndpointBelief(EndpointEntry entry) : entry(std::move(entry)) {}

  const EndpointEntry& Entry() const { return this->entry; }

  /** @return Requests believed to run or wait there. */
  std::int64_t Running() const;

  /** @return Requests of this process there. */
  std::int64_t Own() const { return this->own; }

  /** @return Prompt tokens believed to wait for being read. */
  std::int64_t UnreadTokens() const {
    return this->own_unread + this->peer_unread;
  }
  std::int64_t OwnUnread() const { return this->own_unread; }

 private:
  friend class EndpointBoard;

  EndpointEntry entry;
  std::int64_t own = 0;         ///< Requests of this process there.
  std::int64_t own_unread = 0;  ///< Their prompt tokens not yet read.
  std::int64_t peers = 0;       ///< Requests of other gateways there.
  std::int64_t peer_unread = 0;
  std::int64_t stated = 0;  ///< Load stated last.
  std::int64_t own_at_stated = 0;
  TimePoint stated_at{};
  TimePoint heard_at{};  ///< Last sign of life to a request.
  TimePoint sent_at{};   ///< Last request sent.
  TimePoint asked_at{};  ///< First request sent since the last sign of life.
  TimePoint shunned_until{};
  std::chrono::milliseconds shun_time{};
  double failure_share = 0;  ///< Moving mean of failed requests.
  bool gone = false;         ///< No longer published; requests still run.
  std::unordered_map<std::uint64_t, TimePoint> parts_read;
};

using EndpointHandle = std::shared_ptr<EndpointBelief>;

/** Bounds and weights of the choice. */
struct EndpointBoardLimits {
  /** Most load relative to the service's mean; the platform's page allows 2. */
  double mean_multiple = 1.8;
  /** Load above the multiple that is always allowed. */
  double mean_slack = 2.5;
  /** Requests beyond an endpoint's slots that only the most urgent may use. */
  double urgent_reserve = 0.15;
};

/**
 * Endpoints of all services. Answers three load patterns: a flood that fills
 * every endpoint (no endpoint is chosen beyond its slots, the last of them are
 * kept for urgent work), a shared prompt that many requests bring (it stays
 * with one endpoint until that one is loaded beyond a multiple of the mean),
 * and endpoints that fail, fall silent or have just started (they are avoided,
 * and never all at once). Not thread-safe.
 */
class EndpointBoard {
 public:
  using TimePoint = EndpointBelief::TimePoint;

  EndpointBoard(FailureDomainId own_domain, EndpointBoardLimits limits)
      : own_domain(std::move(own_domain)), limits(limits) {}

  /** Adds an endpoint or changes what is published of it. */
  void Publish(const EndpointEntry& entry);

  /** Forgets an endpoint; requests that run there may go on. */
  void Withdraw(const EndpointId& id);

  /** @return The endpoint of an id, or null. */
  EndpointHandle Find(const EndpointId& id) const;

  const std::map<EndpointId, EndpointHandle>& All() const {
    return this->endpoints;
  }

  /** @return True if any endpoint of the service takes new work. */
  bool HasUsable(const ServiceName& service) const;

  /**
   * @param query What the request is.
   * @param room Says whether an endpoint may get a connection or request more.
   * @return The endpoint to use, or null if none has room.
   */
  template <class HasRoom>
  EndpointHandle Choose(const EndpointQuery& query,
                        TimePoint now,
                        HasRoom room) const {
    return this->ChooseFrom(this->Usable(query, now, room), query, now);
  }

  /**
   * Notes that a request goes to an endpoint.
   * @return Prompt tokens that it is expected to read there.
   */
  std::int64_t NoteStart(EndpointBelief& endpoint,
                         std::span<const PromptPart> parts,
                         TimePoint now);

  /** Notes that a peer has sent a part to an endpoint. */
  void NotePart(const PartPlace& place, TimePoint now);

  /** @return Shared parts that this process sent to endpoints that were not
   * known to hold them, since the last call. */
  std::vector<PartPlace> TakeNewParts();

  /** Notes that so many tokens of NoteStart() no longer wait to be read. */
  void NoteUnreadEnd(EndpointBelief& endpoint, std::int64_t tokens);

  /** Notes a sign of life. */
  void NoteHeard(EndpointBelief& endpoint, TimePoint now);

  /** Notes that another process has the endpoint's address. */
  void NoteMisdirected(EndpointBelief& endpoint, TimePoint now);

  /** Notes that a request has left an endpoint. */
  void NoteEnd(EndpointBelief& endpoint);

  void NoteVerdict(EndpointBelief& endpoint,
                   EndpointVerdict verdict,
                   TimePoint now);

  /** Notes the load that an endpoint stated in an answer. */
  void NoteStated(EndpointBelief& endpoint, StatedLoad load, TimePoint now);

  /** Sets what all other gateways together have at an endpoint. */
  void NotePeers(const EndpointId& id,
                 std::int64_t requests,
                 std::int64_t unread_tokens);

  /** @return Share of a service's slots that are believed taken, from 0. */
  double TakenShare(const ServiceName& service) const;

 private:
  template <class HasRoom>
  std::vector<EndpointHandle> Usable(const EndpointQuery& query,
                                     TimePoint now,
                                     HasRoom room) const {
    std::vector<EndpointHandle> usable;
    std::vector<EndpointHandle> doubtful;
    for (const EndpointHandle& endpoint : this->InService(query.service)) {
      if (!this->MayUse(*endpoint, query) || !room(*endpoint))
        continue;
      (this->IsDoubtful(*endpoint, now) ? doubtful : usable)
          .push_back(endpoint);
    }
    // An endpoint in doubt is better than none: doubt may be wrong of all.
    return usable.empty() ? doubtful : usable;
  }

  const std::vector<EndpointHandle>& InService(const ServiceName& name) const;
  void Unlist(const EndpointHandle& endpoint);
  bool MayUse(const EndpointBelief& endpoint, const EndpointQuery& query) const;
  bool IsDoubtful(const EndpointBelief& endpoint, TimePoint now) const;
  EndpointHandle ChooseFrom(const std::vector<EndpointHandle>& usable,
                            const EndpointQuery& query,
                            TimePoint now) const;
  double Cost(const EndpointBelief& endpoint,
              const EndpointQuery& query,
              bool is_home,
              TimePoint now) const;
  double MeanRunning(const ServiceName& service) const;

  FailureDomainId own_domain;
  EndpointBoardLimits limits;
  std::map<EndpointId, EndpointHandle> endpoints;
  std::unordered_map<ServiceName, std::vector<EndpointHandle>> services;
  std::vector<PartPlace> new_parts;  ///< Not yet told to peers.
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ENDPOINT_BOARD_H_
