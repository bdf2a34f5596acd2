/** @file member_list.h Endpoints and processes of the fleet. */

#ifndef SRC_FLEET_MEMBER_LIST_H_
#define SRC_FLEET_MEMBER_LIST_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "buckthornpath/membership.h"
#include "buckthornpath/strong_id_type.h"
#include "kernel/lock_order.h"
#include "kernel/settings.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

enum class MemberState { kLive, kLeaving };

/** One endpoint as the VM list shows it. */
struct Member {
  EndpointId id;
  VmId vm;
  ServiceName service;
  FailureDomainId failure_domain;
  SocketAddress address;
  MemberState state = MemberState::kLive;
};

/** A process to gossip with. */
struct Peer {
  VmId vm;  ///< Empty for a seed.
  FailureDomainId failure_domain;
  SocketAddress address;
};

/** The VM list as it was read. */
struct VmList {
  std::vector<Member> members;
  std::vector<Peer> peers;
  std::set<VmId> known;
  std::set<VmId> leaving;
};

/**
 * Thread-safe table of the endpoints known. The VM list says which exist;
 * gossip and refusals say which of them take no new work.
 */
class MemberList {
 public:
  MemberList() : MemberList(MemberNews{VmId(), 1, {}, {}}) {}

  /** @param self The process itself. */
  explicit MemberList(MemberNews self) : membership(std::move(self)) {}

  /** Replaces all members. */
  void Replace(std::vector<Member> next);

  /** Takes in a VM list that was just read. */
  void Replace(VmList next);

  /** The VM list was read and is still the same. */
  void Reaffirm();

  /** Adds peers that are asked besides those of the VM list. */
  void AddSeeds(const std::vector<Peer>& seeds);

  /**
   * Members of a service that new work may go to. If none is left, those that
   * are believed down or flap are given rather than none; a leaving one never.
   */
  std::vector<Member> LiveMembers(const ServiceName& service) const;

  /** @return All members. */
  std::vector<Member> All() const;

  /** @return The processes to gossip with, without this one. */
  std::vector<Peer> Peers() const;

  /** An endpoint process refused new work because it leaves. */
  void ReportLeaving(const EndpointId& endpoint);

  /** @return Whether this process is one of those that watch the service. */
  bool IsWatcher(const FailureDomainId& domain) const;

  /** @return Time since the VM list was read; nothing if it never was. */
  std::optional<std::chrono::milliseconds> ListAge() const;

  /** @return Endpoints on the list that take no new work. */
  std::size_t LeavingCount() const;

  /** Forwards to Membership at the present time. */
  MemberNews Self() const;
  std::optional<MemberNews> About(const VmId& vm) const;
  bool Hear(const MemberNews& news);
  void ProbeFailed(const VmId& vm);
  bool Tick();
  void Leave();
  bool HasUrgentNews() const;
  std::vector<MemberNews> TakeNews(std::size_t most);

 private:
  bool IsRefusing(const Member& member) const;

  mutable OrderedMutex mutex{LockRank::kMembers};
  Membership membership;
  VmList list;
  std::vector<Peer> seeds;
  std::optional<std::chrono::milliseconds> list_read_at;
  /** Until when an endpoint that refused gets no new work. */
  std::unordered_map<EndpointId, std::chrono::milliseconds> refused_until;
};

/**
 * Reads a VM list.
 * @throws DocumentRefused If it is malformed.
 */
VmList ParseVmList(const std::string& text);

/**
 * Reads the VM list again and again, asking only for one that differs; faults
 * keep the last list.
 */
asio::awaitable<void> FollowVmList(MemberList& list, const Settings& settings);

}  // namespace buckthornpath

#endif  // SRC_FLEET_MEMBER_LIST_H_
