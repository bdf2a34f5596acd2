/** @file membership.h Membership and failure detection by gossip. */

#ifndef BUCKTHORNPATH_MEMBERSHIP_H_
#define BUCKTHORNPATH_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** State of a member; within one epoch and incarnation a higher value
 * overrides a lower one. */
enum class MemberStatus : std::uint8_t {
  kLive,
  kSuspect,  ///< Did not answer a probe; goes down unless it refutes this.
  kLeaving,  ///< Draining: accepts no new work.
  kDown,     ///< Suspected for longer than the suspicion timeout.
};

/** Gossip message about one member, which may be the sender itself. */
struct MemberUpdate {
  VmId vm;
  std::uint64_t epoch = 0;  ///< Raised by the member to refute suspicion.
  Incarnation incarnation{};
  MemberStatus status = MemberStatus::kLive;
};

/** Time since a fixed origin; must include time spent suspended. */
using MembershipTime = std::chrono::milliseconds;

struct MembershipLimits {
  std::chrono::milliseconds suspicion_timeout{5000};
  /** A longer gap between Tick() calls counts as a pause of the process. */
  std::chrono::milliseconds max_tick_gap{3000};
  /** Minimum time in the leaving state before the VM list, which may be stale,
   * can revert it. */
  std::chrono::milliseconds min_leaving_time{10000};
  std::chrono::milliseconds flap_half_life{30000};
  double flap_suppress_threshold = 3.5;  ///< Penalty that starts damping.
  double flap_reuse_threshold = 1.5;     ///< Damping ends below this penalty.
};

/**
 * Gossip membership with suspicion (SWIM: Das, Gupta and Motivala 2002) and
 * flap damping (RFC 2439). Does no I/O and reads no clock. Not thread-safe.
 */
class Membership {
 public:
  /** @param self The local member, with an epoch above zero. */
  explicit Membership(MemberUpdate self, MembershipLimits limits = {});

  /** Applies an update. @return True if it changed the stored state. */
  bool ApplyUpdate(const MemberUpdate& update, MembershipTime now);

  /** Marks a live member as suspect after a failed probe. */
  void RecordProbeFailure(const VmId& vm, MembershipTime now);

  /**
   * Applies the VM list.
   * @param known All VMs on the list; other members are removed.
   * @param leaving VMs marked as leaving on the list.
   */
  void ApplyVmList(const std::set<VmId>& known,
                   const std::set<VmId>& leaving,
                   MembershipTime now);

  /** Marks the local member as leaving, permanently. */
  void AnnounceLeave();

  /**
   * Marks members down whose suspicion has timed out, and ends damping of
   * members whose penalty has decayed. If this process was paused, resets all
   * suspicions, down states and penalties instead.
   * @return True if this process was paused.
   */
  bool Tick(MembershipTime now);

  /** @return The state of the local member. */
  const MemberUpdate& Self() const { return this->self; }

  /** @return The state of another member, if any update about it arrived. */
  std::optional<MemberUpdate> FindMember(const VmId& vm) const;

  /** @return True if new work may be sent to a member, or it is unknown. */
  bool IsUsable(const VmId& vm) const;

  /** @return True if a member is known to be leaving. */
  bool IsLeaving(const VmId& vm) const;

  /** @return True if a member is excluded because it flaps. */
  bool IsDamped(const VmId& vm) const;

  /** @return Up to `max_updates` updates to gossip: those sent the fewest times
   * first, then one member in round-robin order. */
  std::vector<MemberUpdate> TakeUpdates(std::size_t max_updates);

  /** @return True if an update has not been sent yet. */
  bool HasUnsentUpdates() const;

 private:
  struct Record {
    MemberUpdate state;
    MembershipTime suspected_at{};
    int sends_left = 0;
    bool leaving_on_list = false;
    double penalty = 0;
    MembershipTime penalty_at{};
    bool damped = false;
  };

  bool ApplySelfUpdate(const MemberUpdate& update, MembershipTime now);
  void StoreUpdate(Record& record,
                   const MemberUpdate& update,
                   MembershipTime now);
  void AddPenalty(Record& record, MembershipTime now);
  double PenaltyAt(const Record& record, MembershipTime now) const;
  void ApplyListToSelf(bool leaving, MembershipTime now);
  void ResetSuspicions(MembershipTime now);

  /** @return Number of times that each update is sent; grows with the logarithm
   * of the number of members. */
  int SendsPerUpdate() const;

  MembershipLimits limits;
  MemberUpdate self;
  int self_sends_left = 0;
  bool is_leaving_permanently = false;
  MembershipTime marked_leaving_at{};
  std::optional<MembershipTime> last_tick;
  std::map<VmId, Record> records;
  VmId round_robin_last;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_MEMBERSHIP_H_
