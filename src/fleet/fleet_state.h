/** @file fleet_state.h What a process knows of the fleet. */

#ifndef SRC_FLEET_FLEET_STATE_H_
#define SRC_FLEET_FLEET_STATE_H_

#include <atomic>

#include "fleet/configuration_client.h"
#include "fleet/configuration_store.h"
#include "fleet/gossip.h"
#include "fleet/member_list.h"
#include "kernel/role.h"

namespace buckthornpath {

/** Configuration in force and members, kept up to date; one for each role. */
class FleetState {
 public:
  explicit FleetState(const RoleContext& context);

  /** Starts to follow the service, the VM list and the gossip. */
  void Start();

  const ConfigurationStore& Store() const { return this->store; }
  ConfigurationPtr InForce() const { return this->store.InForce(); }
  MemberList& Members() { return this->members; }
  const MemberList& Members() const { return this->members; }

  /** @return The life of this process. */
  Incarnation ThisIncarnation() const { return this->incarnation; }

  /**
   * @return True once a configuration is in force and the service and some
   *     peers were asked for a greater one, or time for that ran out. False
   *     again after a pause of the process until they were asked anew.
   */
  bool IsReady() const;

  /**
   * @return Problem type for which this process must take no new work, or
   *     null: it leaves, can neither read the VM list nor hear a peer that
   *     might tell it so, or has no configuration yet.
   */
  const char* WhyRefused() const;

  /** Announces that this process leaves. */
  void Leave();

  /** @return What operators see. */
  nlohmann::json Status() const;

 private:
  /** Asks service and peers at the start and after each pause. */
  asio::awaitable<void> KeepFresh();

  /**
   * Waits until list and peers were asked and one of peers and service told
   * its index, for a bounded time. Starts to follow the service after the
   * peers were asked, so that a restarted part of the fleet does not read
   * every document there.
   */
  asio::awaitable<void> AskAll(std::chrono::milliseconds begun);

  /** @return True if service or peers told their index since a time. */
  bool HasAskedSince(std::chrono::milliseconds begun) const;

  bool IsIsolated() const;

  RoleContext context;
  Incarnation incarnation;
  ConfigurationStore store;
  MemberList members;
  Gossip gossip;
  ConfigurationClient client;
  std::atomic<std::int64_t> fresh_at = -1;  ///< Uptime in milliseconds.
  bool is_first = true;  ///< No configuration was asked for yet.
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_FLEET_STATE_H_
