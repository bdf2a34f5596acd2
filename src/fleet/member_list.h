/** @file member_list.h Endpoints known from the VM list. */

#ifndef SRC_FLEET_MEMBER_LIST_H_
#define SRC_FLEET_MEMBER_LIST_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "buckthornpath/strong_id_type.h"
#include "kernel/lock_order.h"
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

/** Thread-safe table of the endpoints known. */
class MemberList {
 public:
  /** Replaces all members. */
  void Replace(std::vector<Member> next);

  /** @return The live members of a service. */
  std::vector<Member> LiveMembers(const ServiceName& service) const;

  /** @return All members. */
  std::vector<Member> All() const;

 private:
  mutable OrderedMutex mutex{LockRank::kMembers};
  std::vector<Member> members;
};

/**
 * Reads a VM list.
 * @throws DocumentRefused If it is malformed.
 */
std::vector<Member> ParseVmList(const std::string& text);

/** Reads the VM list again and again; faults keep the last list. */
asio::awaitable<void> FollowVmList(MemberList& list,
                                   SocketAddress service,
                                   std::chrono::milliseconds interval);

}  // namespace buckthornpath

#endif  // SRC_FLEET_MEMBER_LIST_H_
