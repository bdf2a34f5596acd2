/** @file member_list.h Endpoints and gossip peers of the fleet. */

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

/** An endpoint on the VM list. */
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
  VmId vm;  ///< Empty for a seed from the settings.
  FailureDomainId failure_domain;
  SocketAddress address;
};

/** An item of the VM list that cannot be used. */
struct UnusableVm {
  std::string vm;  ///< Empty if it has no name.
  std::string reason;
};

/** Contents of the platform's VM list. */
struct VmList {
  std::vector<Member> members;
  std::vector<Peer> peers;
  std::set<VmId> known;              ///< All VMs on the list.
  std::set<VmId> leaving;            ///< Those of them that take no new work.
  std::vector<UnusableVm> unusable;  ///< Left out of all the others.
};

/**
 * Thread-safe table of the known endpoints. The VM list determines which exist;
 * the list, gossip and refusals determine which of them accept new work.
 */
class MemberList {
 public:
  MemberList() : MemberList(MemberUpdate{VmId(), 1, {}, {}}) {}

  /** @param self The process itself. */
  explicit MemberList(MemberUpdate self) : membership(std::move(self)) {}

  /** Replaces all endpoints; the list has no peers then. */
  void Replace(std::vector<Member> next);

  /** Replaces the VM list by one that was just read. */
  void Replace(VmList next);

  /** Records that the VM list was read again and has not changed. */
  void ConfirmUnchanged();

  /** Adds gossip peers to those of the VM list. */
  void AddSeeds(const std::vector<Peer>& seeds);

  /**
   * @return Endpoints of a service that accept new work. If all of them are
   *     down or damped for flapping, these are returned rather than none; a
   *     leaving endpoint is never returned.
   */
  std::vector<Member> UsableMembers(const ServiceName& service) const;

  /** @return All endpoints on the VM list. */
  std::vector<Member> AllMembers() const;

  /** @return The processes to gossip with, seeds included, this one excluded.
   */
  std::vector<Peer> Peers() const;

  /** Records that an endpoint refused new work because it is leaving. */
  void RecordRefusal(const EndpointId& endpoint);

  /**
   * @return True if this process is one of those of its failure domain that
   *     long-poll the configuration service, selected by rendezvous hashing.
   */
  bool IsWatcher(const FailureDomainId& domain) const;

  /** @return Time since the VM list was read; nothing if it never was. */
  std::optional<std::chrono::milliseconds> ListAge() const;

  /** @return Number of endpoints on the list that accept no new work. */
  std::size_t LeavingCount() const;

  /** These forward to Membership, with Uptime() as the time. */
  MemberUpdate Self() const;
  std::optional<MemberUpdate> FindMember(const VmId& vm) const;
  bool ApplyUpdate(const MemberUpdate& update);
  void RecordProbeFailure(const VmId& vm);
  bool Tick();
  void AnnounceLeave();
  bool HasUnsentUpdates() const;
  std::vector<MemberUpdate> TakeUpdates(std::size_t max_count);

 private:
  /** @return True if a member is leaving or refused new work recently. */
  bool RefusesWork(const Member& member) const;

  mutable OrderedMutex mutex{LockRank::kMembers};
  Membership membership;
  VmList list;
  std::vector<Peer> seeds;
  std::optional<std::chrono::milliseconds> list_read_at;
  /** Uptime() until which an endpoint that refused work gets none. */
  std::unordered_map<EndpointId, std::chrono::milliseconds> refused_until;
};

/**
 * Parses a VM list. An item that cannot be used leaves the others in use.
 * @throws InvalidDocument If it is not a list of VMs.
 */
VmList ParseVmList(const std::string& text);

/**
 * Polls the VM list forever, with conditional requests. If reading fails, the
 * last list stays in use.
 */
asio::awaitable<void> FollowVmList(MemberList& list, const Settings& settings);

}  // namespace buckthornpath

#endif  // SRC_FLEET_MEMBER_LIST_H_
