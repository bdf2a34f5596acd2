/** @file membership.cc Membership and failure detection by gossip. */

#include "buckthornpath/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornpath {

namespace {

/** Number of times that an update is sent, per doubling of the members. */
constexpr int kSendsPerDoubling = 3;

/** @return True if an update overrides the stored state. */
bool Overrides(const MemberUpdate& update, const MemberUpdate& stored) {
  if (update.epoch != stored.epoch)
    return update.epoch > stored.epoch;
  if (update.incarnation != stored.incarnation)
    return update.incarnation > stored.incarnation;
  return update.status > stored.status;
}

}  // namespace

Membership::Membership(MemberUpdate self, MembershipLimits limits)
    : limits(limits), self(std::move(self)) {
  this->self_sends_left = kSendsPerDoubling;
}

int Membership::SendsPerUpdate() const {
  const auto members = static_cast<double>(this->records.size() + 2);
  return kSendsPerDoubling * static_cast<int>(std::ceil(std::log2(members)));
}

double Membership::PenaltyAt(const Record& record, MembershipTime now) const {
  const auto age = std::chrono::duration<double>(now - record.penalty_at);
  const auto half_life =
      std::chrono::duration<double>(this->limits.flap_half_life);
  return record.penalty * std::exp2(-age / half_life);
}

void Membership::AddPenalty(Record& record, MembershipTime now) {
  record.penalty = this->PenaltyAt(record, now) + 1.0;
  record.penalty_at = now;
  if (record.penalty >= this->limits.flap_suppress_threshold)
    record.damped = true;
}

void Membership::StoreUpdate(Record& record,
                             const MemberUpdate& update,
                             MembershipTime now) {
  const bool restarted =
      record.state.epoch > 0 && update.incarnation != record.state.incarnation;
  const bool went_down = update.status == MemberStatus::kDown &&
                         record.state.status != MemberStatus::kDown;
  record.state = update;
  record.sends_left = this->SendsPerUpdate();
  record.suspected_at = now;
  if (restarted || went_down)
    this->AddPenalty(record, now);
  if (record.leaving_on_list && record.state.status < MemberStatus::kLeaving)
    record.state.status = MemberStatus::kLeaving;
}

bool Membership::ApplySelfUpdate(const MemberUpdate& update,
                                 MembershipTime now) {
  if (!Overrides(update, this->self))
    return false;
  this->self_sends_left = this->SendsPerUpdate();
  if (update.status == MemberStatus::kLeaving &&
      update.incarnation == this->self.incarnation) {
    this->self.epoch = update.epoch;
    this->self.status = MemberStatus::kLeaving;
    this->marked_leaving_at = now;
    return true;
  }
  this->self.epoch = update.epoch + 1;
  return true;
}

bool Membership::ApplyUpdate(const MemberUpdate& update, MembershipTime now) {
  if (update.vm == this->self.vm)
    return this->ApplySelfUpdate(update, now);
  Record& record = this->records[update.vm];
  if (!Overrides(update, record.state))
    return false;
  this->StoreUpdate(record, update, now);
  return true;
}

void Membership::RecordProbeFailure(const VmId& vm, MembershipTime now) {
  const auto found = this->records.find(vm);
  if (found == this->records.end() || found->second.state.epoch == 0)
    return;
  if (found->second.state.status != MemberStatus::kLive)
    return;
  MemberUpdate update = found->second.state;
  update.status = MemberStatus::kSuspect;
  this->StoreUpdate(found->second, update, now);
}

void Membership::ApplyListToSelf(bool leaving, MembershipTime now) {
  const bool was_leaving = this->self.status == MemberStatus::kLeaving;
  if (leaving) {
    this->marked_leaving_at = now;
    if (!was_leaving)
      this->self_sends_left = this->SendsPerUpdate();
    this->self.status = MemberStatus::kLeaving;
    return;
  }
  if (!was_leaving || this->is_leaving_permanently)
    return;
  if (now - this->marked_leaving_at < this->limits.min_leaving_time)
    return;
  ++this->self.epoch;
  this->self.status = MemberStatus::kLive;
  this->self_sends_left = this->SendsPerUpdate();
}

void Membership::ApplyVmList(const std::set<VmId>& known,
                             const std::set<VmId>& leaving,
                             MembershipTime now) {
  std::erase_if(this->records,
                [&](const auto& item) { return known.count(item.first) == 0; });
  for (const VmId& vm : known) {
    const bool leaves = leaving.count(vm) > 0;
    if (vm == this->self.vm) {
      this->ApplyListToSelf(leaves, now);
      continue;
    }
    Record& record = this->records[vm];
    record.leaving_on_list = leaves;
    if (!leaves || record.state.status >= MemberStatus::kLeaving)
      continue;
    MemberUpdate update = record.state;
    update.vm = vm;
    update.status = MemberStatus::kLeaving;
    this->StoreUpdate(record, update, now);
  }
}

void Membership::AnnounceLeave() {
  this->is_leaving_permanently = true;
  this->self.status = MemberStatus::kLeaving;
  this->self_sends_left = this->SendsPerUpdate();
}

void Membership::ResetSuspicions(MembershipTime now) {
  for (auto& [vm, record] : this->records) {
    record.suspected_at = now;
    record.damped = false;
    record.penalty = 0;
    if (record.state.status == MemberStatus::kSuspect ||
        record.state.status == MemberStatus::kDown) {
      record.state.status = MemberStatus::kLive;
      record.sends_left = 0;
    }
  }
}

bool Membership::Tick(MembershipTime now) {
  const bool paused =
      this->last_tick && now - *this->last_tick > this->limits.max_tick_gap;
  this->last_tick = now;
  if (paused) {
    this->ResetSuspicions(now);
    return true;
  }
  for (auto& [vm, record] : this->records) {
    if (record.damped &&
        this->PenaltyAt(record, now) < this->limits.flap_reuse_threshold) {
      record.damped = false;
    }
    if (record.state.status != MemberStatus::kSuspect)
      continue;
    if (now - record.suspected_at < this->limits.suspicion_timeout)
      continue;
    MemberUpdate update = record.state;
    update.status = MemberStatus::kDown;
    this->StoreUpdate(record, update, now);
  }
  return false;
}

std::optional<MemberUpdate> Membership::FindMember(const VmId& vm) const {
  const auto found = this->records.find(vm);
  if (found == this->records.end() || found->second.state.epoch == 0)
    return std::nullopt;
  return found->second.state;
}

bool Membership::IsUsable(const VmId& vm) const {
  const auto found = this->records.find(vm);
  if (found == this->records.end())
    return true;
  return found->second.state.status <= MemberStatus::kSuspect &&
         !found->second.damped;
}

bool Membership::IsLeaving(const VmId& vm) const {
  if (vm == this->self.vm)
    return this->self.status == MemberStatus::kLeaving;
  const auto found = this->records.find(vm);
  return found != this->records.end() &&
         found->second.state.status == MemberStatus::kLeaving;
}

bool Membership::IsDamped(const VmId& vm) const {
  const auto found = this->records.find(vm);
  return found != this->records.end() && found->second.damped;
}

bool Membership::HasUnsentUpdates() const {
  const int initial_sends = this->SendsPerUpdate();
  if (this->self_sends_left >= initial_sends)
    return true;
  return std::any_of(this->records.begin(), this->records.end(),
                     [&](const auto& item) {
                       return item.second.state.epoch > 0 &&
                              item.second.sends_left >= initial_sends;
                     });
}

std::vector<MemberUpdate> Membership::TakeUpdates(std::size_t max_updates) {
  std::vector<Record*> pending;
  for (auto& [vm, record] : this->records) {
    if (record.sends_left > 0 && record.state.epoch > 0)
      pending.push_back(&record);
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const Record* a, const Record* b) {
                     return a->sends_left > b->sends_left;
                   });
  std::vector<MemberUpdate> updates;
  if (this->self_sends_left > 0)
    --this->self_sends_left;
  for (Record* record : pending) {
    if (updates.size() + 1 >= max_updates)
      break;
    --record->sends_left;
    updates.push_back(record->state);
  }
  auto next = this->records.upper_bound(this->round_robin_last);
  if (next == this->records.end())
    next = this->records.begin();
  if (next != this->records.end()) {
    this->round_robin_last = next->first;
    if (next->second.state.epoch > 0 && updates.size() < max_updates)
      updates.push_back(next->second.state);
  }
  return updates;
}

}  // namespace buckthornpath
