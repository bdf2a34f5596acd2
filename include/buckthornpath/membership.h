/** @file membership.h What a process believes of the others. */

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

/** State of a process; of two at one epoch the later one here prevails. */
enum class MemberStatus : std::uint8_t {
  kLive,
  kSuspect,  ///< Gave no answer; removed unless it refutes that.
  kLeaving,  ///< Takes no new work.
  kDown,     ///< Suspected for longer than the suspicion timeout.
};

/** What one process tells another about a third, or about itself. */
struct MemberNews {
  VmId vm;
  std::uint64_t epoch = 0;  ///< Raised by the process itself to refute.
  Incarnation incarnation{};
  MemberStatus status = MemberStatus::kLive;
};

/** Time since any fixed origin; must count the time of a suspension. */
using MembershipTime = std::chrono::milliseconds;

struct MembershipLimits {
  std::chrono::milliseconds suspicion_timeout{5000};
  std::chrono::milliseconds pause_limit{3000};     ///< Between two Tick().
  std::chrono::milliseconds leaving_holds{10000};  ///< Against an old list.
  std::chrono::milliseconds flap_half_life{30000};
  double flap_limit = 3.5;  ///< Penalty from which a member is held out.
  double flap_reuse = 1.5;  ///< Penalty below which it is taken back.
};

/**
 * Membership by gossip with suspicion (Das, Gupta and Motivala 2002) and flap
 * damping (RFC 2439). Pure: time is passed in. Not thread-safe.
 */
class Membership {
 public:
  /** @param self The process itself, with an epoch above zero. */
  explicit Membership(MemberNews self, MembershipLimits limits = {});

  /** @return True if it was new. */
  bool Hear(const MemberNews& news, MembershipTime now);

  /** Suspects a member that gave no answer. */
  void ProbeFailed(const VmId& vm, MembershipTime now);

  /**
   * Takes in what the VM list shows.
   * @param known All VMs on the list; others are forgotten.
   * @param leaving Those that the list shows as leaving.
   */
  void HearList(const std::set<VmId>& known,
                const std::set<VmId>& leaving,
                MembershipTime now);

  /** The process itself leaves; it never takes this back. */
  void Leave();

  /**
   * Removes members whose suspicion timed out and ends damping. After a pause
   * of the process, drops every suspicion and removal instead.
   * @return True if the process had been paused.
   */
  bool Tick(MembershipTime now);

  /** @return The process itself. */
  const MemberNews& Self() const { return this->self; }

  /** @return What is believed of a member, if it was ever heard of. */
  std::optional<MemberNews> About(const VmId& vm) const;

  /** @return True if new work may go to a member. */
  bool IsUsable(const VmId& vm) const;

  /** @return True if a member is known to be leaving. */
  bool IsLeaving(const VmId& vm) const;

  /** @return True if a member flaps and is held out for that. */
  bool IsDamped(const VmId& vm) const;

  /** @return News to pass on: the least spread first, then one by turns. */
  std::vector<MemberNews> TakeNews(std::size_t most);

  /** @return True if some news has not been passed on yet. */
  bool HasUrgentNews() const;

 private:
  struct Record {
    MemberNews news;
    MembershipTime suspected_at{};
    int sends_left = 0;
    bool list_leaving = false;
    double penalty = 0;
    MembershipTime penalty_at{};
    bool damped = false;
  };

  bool HearOfSelf(const MemberNews& news, MembershipTime now);
  void Accept(Record& record, const MemberNews& news, MembershipTime now);
  void Punish(Record& record, MembershipTime now);
  double PenaltyAt(const Record& record, MembershipTime now) const;
  void ShowSelfOnList(bool leaving, MembershipTime now);
  void ForgetBeliefs(MembershipTime now);

  /** @return How often one piece of news is passed on. */
  int SendsOfNews() const;

  MembershipLimits limits;
  MemberNews self;
  int self_sends_left = 0;
  bool leaves_for_good = false;
  MembershipTime told_leaving_at{};
  std::optional<MembershipTime> last_tick;
  std::map<VmId, Record> records;
  VmId next_by_turn;
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_MEMBERSHIP_H_
