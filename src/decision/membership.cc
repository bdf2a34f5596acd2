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
bool Prevails(const MemberNews& news, const MemberNews& believed) {
  if (news.epoch != believed.epoch)
    return news.epoch > believed.epoch;
  if (news.incarnation != believed.incarnation)
    return news.incarnation > believed.incarnation;
  return news.status > believed.status;
}

}  // namespace

Membership::Membership(MemberNews self, MembershipLimits limits)
    : limits(limits), self(std::move(self)) {
  this->self_sends_left = kSendsPerDoubling;
}

int Membership::SendsOfNews() const {
  const auto members = static_cast<double>(this->records.size() + 2);
  return kSendsPerDoubling * static_cast<int>(std::ceil(std::log2(members)));
}

double Membership::PenaltyAt(const Record& record, MembershipTime now) const {
  const auto age = std::chrono::duration<double>(now - record.penalty_at);
  const auto half_life =
      std::chrono::duration<double>(this->limits.flap_half_life);
  return record.penalty * std::exp2(-age / half_life);
}

void Membership::Punish(Record& record, MembershipTime now) {
  record.penalty = this->PenaltyAt(record, now) + 1.0;
  record.penalty_at = now;
  if (record.penalty >= this->limits.flap_limit)
    record.damped = true;
}

void Membership::Accept(Record& record,
                        const MemberNews& news,
                        MembershipTime now) {
  const bool restarted =
      record.news.epoch > 0 && news.incarnation != record.news.incarnation;
  const bool went_down = news.status == MemberStatus::kDown &&
                         record.news.status != MemberStatus::kDown;
  record.news = news;
  record.sends_left = this->SendsOfNews();
  record.suspected_at = now;
  if (restarted || went_down)
    this->Punish(record, now);
  if (record.list_leaving && record.news.status < MemberStatus::kLeaving)
    record.news.status = MemberStatus::kLeaving;
}

bool Membership::HearOfSelf(const MemberNews& news, MembershipTime now) {
  if (!Prevails(news, this->self))
    return false;
  this->self_sends_left = this->SendsOfNews();
  if (news.status == MemberStatus::kLeaving &&
      news.incarnation == this->self.incarnation) {
    this->self.epoch = news.epoch;
    this->self.status = MemberStatus::kLeaving;
    this->told_leaving_at = now;
    return true;
  }
  this->self.epoch = news.epoch + 1;
  return true;
}

bool Membership::Hear(const MemberNews& news, MembershipTime now) {
  if (news.vm == this->self.vm)
    return this->HearOfSelf(news, now);
  Record& record = this->records[news.vm];
  if (!Prevails(news, record.news))
    return false;
  this->Accept(record, news, now);
  return true;
}

void Membership::ProbeFailed(const VmId& vm, MembershipTime now) {
  const auto found = this->records.find(vm);
  if (found == this->records.end() || found->second.news.epoch == 0)
    return;
  if (found->second.news.status != MemberStatus::kLive)
    return;
  MemberNews news = found->second.news;
  news.status = MemberStatus::kSuspect;
  this->Accept(found->second, news, now);
}

void Membership::ShowSelfOnList(bool leaving, MembershipTime now) {
  const bool was_leaving = this->self.status == MemberStatus::kLeaving;
  if (leaving) {
    this->told_leaving_at = now;
    if (!was_leaving)
      this->self_sends_left = this->SendsOfNews();
    this->self.status = MemberStatus::kLeaving;
    return;
  }
  if (!was_leaving || this->leaves_for_good)
    return;
  if (now - this->told_leaving_at < this->limits.leaving_holds)
    return;
  ++this->self.epoch;
  this->self.status = MemberStatus::kLive;
  this->self_sends_left = this->SendsOfNews();
}

void Membership::HearList(const std::set<VmId>& known,
                          const std::set<VmId>& leaving,
                          MembershipTime now) {
  std::erase_if(this->records,
                [&](const auto& item) { return known.count(item.first) == 0; });
  for (const VmId& vm : known) {
    const bool leaves = leaving.count(vm) > 0;
    if (vm == this->self.vm) {
      this->ShowSelfOnList(leaves, now);
      continue;
    }
    Record& record = this->records[vm];
    record.list_leaving = leaves;
    if (!leaves || record.news.status >= MemberStatus::kLeaving)
      continue;
    MemberNews news = record.news;
    news.vm = vm;
    news.status = MemberStatus::kLeaving;
    this->Accept(record, news, now);
  }
}

void Membership::Leave() {
  this->leaves_for_good = true;
  this->self.status = MemberStatus::kLeaving;
  this->self_sends_left = this->SendsOfNews();
}

void Membership::ForgetBeliefs(MembershipTime now) {
  for (auto& [vm, record] : this->records) {
    record.suspected_at = now;
    record.damped = false;
    record.penalty = 0;
    if (record.news.status == MemberStatus::kSuspect ||
        record.news.status == MemberStatus::kDown) {
      record.news.status = MemberStatus::kLive;
      record.sends_left = 0;
    }
  }
}

bool Membership::Tick(MembershipTime now) {
  const bool paused =
      this->last_tick && now - *this->last_tick > this->limits.pause_limit;
  this->last_tick = now;
  if (paused) {
    this->ForgetBeliefs(now);
    return true;
  }
  for (auto& [vm, record] : this->records) {
    if (record.damped &&
        this->PenaltyAt(record, now) < this->limits.flap_reuse) {
      record.damped = false;
    }
    if (record.news.status != MemberStatus::kSuspect)
      continue;
    if (now - record.suspected_at < this->limits.suspicion_timeout)
      continue;
    MemberNews news = record.news;
    news.status = MemberStatus::kDown;
    this->Accept(record, news, now);
  }
  return false;
}

std::optional<MemberNews> Membership::About(const VmId& vm) const {
  const auto found = this->records.find(vm);
  if (found == this->records.end() || found->second.news.epoch == 0)
    return std::nullopt;
  return found->second.news;
}

bool Membership::IsUsable(const VmId& vm) const {
  const auto found = this->records.find(vm);
  if (found == this->records.end())
    return true;
  return found->second.news.status <= MemberStatus::kSuspect &&
         !found->second.damped;
}

bool Membership::IsLeaving(const VmId& vm) const {
  if (vm == this->self.vm)
    return this->self.status == MemberStatus::kLeaving;
  const auto found = this->records.find(vm);
  return found != this->records.end() &&
         found->second.news.status == MemberStatus::kLeaving;
}

bool Membership::IsDamped(const VmId& vm) const {
  const auto found = this->records.find(vm);
  return found != this->records.end() && found->second.damped;
}

bool Membership::HasUrgentNews() const {
  const int fresh = this->SendsOfNews();
  if (this->self_sends_left >= fresh)
    return true;
  return std::any_of(
      this->records.begin(), this->records.end(), [&](const auto& item) {
        return item.second.news.epoch > 0 && item.second.sends_left >= fresh;
      });
}

std::vector<MemberNews> Membership::TakeNews(std::size_t most) {
  std::vector<Record*> hot;
  for (auto& [vm, record] : this->records) {
    if (record.sends_left > 0 && record.news.epoch > 0)
      hot.push_back(&record);
  }
  std::stable_sort(hot.begin(), hot.end(),
                   [](const Record* a, const Record* b) {
                     return a->sends_left > b->sends_left;
                   });
  std::vector<MemberNews> news;
  if (this->self_sends_left > 0)
    --this->self_sends_left;
  for (Record* record : hot) {
    if (news.size() + 1 >= most)
      break;
    --record->sends_left;
    news.push_back(record->news);
  }
  auto turn = this->records.upper_bound(this->next_by_turn);
  if (turn == this->records.end())
    turn = this->records.begin();
  if (turn != this->records.end()) {
    this->next_by_turn = turn->first;
    if (turn->second.news.epoch > 0 && news.size() < most)
      news.push_back(turn->second.news);
  }
  return news;
}

}  // namespace buckthornpath
