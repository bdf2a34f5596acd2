/** @file fleet_state.h Fleet configuration and membership of a process. */

#ifndef SRC_FLEET_FLEET_STATE_H_
#define SRC_FLEET_FLEET_STATE_H_

#include <atomic>

#include "fleet/configuration_client.h"
#include "fleet/configuration_store.h"
#include "fleet/gossip.h"
#include "fleet/member_list.h"
#include "kernel/role.h"

namespace buckthornpath {

/**
 * Keeps the active configuration and the member list up to date. Each role has
 * an instance of its own.
 */
class FleetState {
 public:
  explicit FleetState(const RoleContext& context);

  /** Starts to poll the VM list and the service and to gossip with peers. */
  void Start();

  const ConfigurationStore& Store() const { return this->store; }
  ConfigurationPtr Active() const { return this->store.Active(); }
  MemberList& Members() { return this->members; }
  const MemberList& Members() const { return this->members; }

  /** @return Random number that tells this run of the process from others. */
  Incarnation ThisIncarnation() const { return this->incarnation; }

  /**
   * @return True once a configuration is active and the service or a peer was
   *     asked for a newer one, or the time limit for that has passed. False
   *     after the process was paused, until they were asked again.
   */
  bool IsReady() const;

  /**
   * @return Problem type with which this process has to refuse new work, or
   *     null if it accepts work. It refuses while it is leaving, while it is
   *     isolated (it can neither read the VM list nor receives gossip, either
   *     of which might tell it that it is to leave), and while it is not ready.
   */
  const char* RefusalProblem() const;

  /** Marks this process as leaving and announces that to peers. */
  void AnnounceLeave();

  /** @return The part of the status report that concerns the fleet. */
  nlohmann::json Status() const;

 private:
  /** Refreshes the state at the start and after each pause of the process. */
  asio::awaitable<void> RefreshAfterPauses();

  /**
   * Waits, for a bounded time, until the VM list was read, peers were asked,
   * and the service or a peer has told its index. Polling of the service starts
   * after the peers were asked, so that when part of the fleet restarts, its
   * processes do not all read every document from the service.
   * @param start Uptime() at the start; older answers do not count.
   */
  asio::awaitable<void> Refresh(std::chrono::milliseconds start);

  /**
   * @return True if no fetch is running and, since a time, the service was
   *     asked or, with a configuration active, a peer was heard.
   */
  bool IsRefreshedSince(std::chrono::milliseconds start) const;

  /**
   * @return True if gossip has worked before, but neither an exchange nor the
   *     VM list was received within a time limit.
   */
  bool IsIsolated() const;

  RoleContext context;
  Incarnation incarnation;
  ConfigurationStore store;
  MemberList members;
  Gossip gossip;
  ConfigurationClient client;
  /** Uptime() in milliseconds; -1 at first. */
  std::atomic<std::int64_t> last_check_at = -1;
  bool is_first_refresh = true;  ///< The first Refresh() has not ended.
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_FLEET_STATE_H_
