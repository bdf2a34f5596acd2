/** @file publication_state.cc Replica of the published items. */

#include "gateway/publication_state.h"

#include <algorithm>
#include <set>

namespace buckthornpath {

namespace {

/** Limit of remembered removals; they only guard against items from peers that
 * lag behind. */
constexpr std::size_t kMaxRemovals = 4096;

/** Limit of remembered writers that leave, apart from those that are listed. */
constexpr std::size_t kMaxLeaving = 4096;

}  // namespace

bool PublicationState::IsOutdated(const PublishedItem& item) const {
  if (!this->order_of || !this->is_renewed(item.key))
    return false;
  const auto left = this->leaving.find(item.key);
  const auto held = this->items.find(item.key);
  // Within an era, the order of the store tells one process from another.
  const bool is_listed_again = held != this->items.end() &&
                               held->second.revision.era < item.revision.era;
  if (left == this->leaving.end() && !is_listed_again)
    return false;
  const auto offered = this->order_of(item);
  if (!offered)
    return false;
  if (left != this->leaving.end() &&
      IsFromBeforeLeaving(*offered, left->second))
    return true;
  const auto known =
      is_listed_again ? this->order_of(held->second) : std::nullopt;
  return known && IsOfEarlierProcess(*offered, *known);
}

void PublicationState::RecordLeaving(const PublishedItem& item) {
  if (!this->order_of || !this->is_renewed(item.key))
    return;
  const auto version = this->order_of(item);
  if (!version || !version->leaving) {
    this->leaving.erase(item.key);
    return;
  }
  if (this->leaving.size() >= kMaxLeaving) {
    std::erase_if(this->leaving, [this](const auto& entry) {
      return !this->items.contains(entry.first);
    });
  }
  this->leaving[item.key] = *version;
}

std::vector<std::string> PublicationState::TakeOutdated() {
  return std::exchange(this->outdated, {});
}

bool PublicationState::MergeItem(const PublishedItem& item) {
  const auto removal = this->removals.find(item.key);
  if (removal != this->removals.end() && removal->second >= item.revision)
    return false;
  const auto known = this->items.find(item.key);
  if (known != this->items.end() && known->second.revision >= item.revision)
    return false;
  if (this->IsOutdated(item)) {
    this->outdated.push_back(item.key);
    if (known != this->items.end())
      known->second.revision = item.revision;
    return false;
  }
  PublishedItem& held = this->items[item.key];
  const auto deferred = this->deferred_removals.find(item.key);
  const bool stays = deferred != this->deferred_removals.end() &&
                     deferred->second.revision < item.revision;
  if (stays)
    this->deferred_removals.erase(deferred);
  const bool is_known = held.revision != StoreRevision{} &&
                        held.revision.era < item.revision.era &&
                        held.value == item.value;
  if (is_known) {
    held.revision = item.revision;
    // Readers may be about to remove it.
    if (stays)
      this->changed_at[item.key] = ++this->change_count;
    return false;
  }
  held = item;
  this->changed_at[item.key] = ++this->change_count;
  this->RecordLeaving(item);
  return true;
}

void PublicationState::RecordRemoval(const std::string& key,
                                     const StoreRevision& at_revision) {
  if (this->removals.size() >= kMaxRemovals) {
    this->removals.clear();
    this->oldest_known_change = this->change_count;
    std::erase_if(this->changed_at, [this](const auto& change) {
      return !this->items.contains(change.first);
    });
  }
  StoreRevision& newest = this->removals[key];
  newest = std::max(newest, at_revision);
}

void PublicationState::Remove(const std::string& key,
                              const StoreRevision& at_revision,
                              TimePoint now,
                              ItemSource source,
                              std::vector<PublishedItem>& changed) {
  const auto held = this->items.find(key);
  if (held == this->items.end()) {
    this->RecordRemoval(key, at_revision);
    return;
  }
  if (held->second.revision > at_revision)
    return;
  const bool is_near_outage = this->last_outage != TimePoint{} &&
                              now - this->last_outage < this->removal_grace;
  if (source == ItemSource::kStore && is_near_outage && this->is_renewed(key)) {
    this->Defer(key, at_revision, this->last_outage + this->removal_grace);
    return;
  }
  this->Erase(key, at_revision, changed);
}

void PublicationState::Defer(const std::string& key,
                             const StoreRevision& at_revision,
                             TimePoint until) {
  const auto [deferred, is_new] = this->deferred_removals.try_emplace(
      key, DeferredRemoval{at_revision, until});
  deferred->second.revision = std::max(deferred->second.revision, at_revision);
  if (is_new)
    this->newly_deferred.emplace_back(key, deferred->second.until);
}

void PublicationState::Erase(const std::string& key,
                             const StoreRevision& at_revision,
                             std::vector<PublishedItem>& changed) {
  this->items.erase(key);
  this->deferred_removals.erase(key);
  this->RecordRemoval(key, at_revision);
  this->changed_at[key] = ++this->change_count;
  changed.push_back({key, "", at_revision, true});
}

void PublicationState::RemoveUnlisted(const std::string& key,
                                      const StoreRevision& list,
                                      TimePoint now,
                                      ItemSource source,
                                      std::vector<PublishedItem>& changed) {
  // It may have been written after the copy was made that the store came back
  // from.
  const TimePoint end = this->era_known_at + this->removal_grace;
  if (this->RevisionOf(key).era < list.era && now < end) {
    this->Defer(key, list, end);
    return;
  }
  this->Remove(key, list, now, source, changed);
}

void PublicationState::MoveTo(const StoreRevision& position, TimePoint now) {
  if (this->revision == StoreRevision{} || position.era > this->revision.era)
    this->era_known_at = now;
  this->revision = std::max(this->revision, position);
}

std::vector<PublishedItem> PublicationState::MergeSnapshot(
    const PublishedItems& all,
    TimePoint now,
    ItemSource source) {
  std::vector<PublishedItem> changed;
  if (all.revision.era < this->revision.era)
    return changed;
  // What was published between the two may be neither here nor there.
  if (!all.is_complete && all.revision > this->revision)
    this->listed_era.reset();
  this->MoveTo(all.revision, now);
  std::set<std::string> listed;
  for (const PublishedItem& item : all.items) {
    // Another gateway may be about to remove it, which is no event of the era.
    if (item.revision.era == all.revision.era)
      listed.insert(item.key);
    if (this->MergeItem(item))
      changed.push_back(item);
  }
  if (all.is_complete && !this->IsComplete()) {
    this->listed_era = this->revision.era;
    // Readers of a part, or of an earlier era, need the whole list once.
    this->oldest_known_change = ++this->change_count;
  }
  std::vector<std::string> missing;
  for (const auto& [key, item] : this->items) {
    if (all.is_complete && !listed.contains(key))
      missing.push_back(key);
  }
  for (const std::string& key : missing)
    this->RemoveUnlisted(key, all.revision, now, source, changed);
  return changed;
}

std::vector<PublishedItem> PublicationState::MergeChanges(
    const PublishedItems& changes,
    TimePoint now,
    ItemSource source) {
  std::vector<PublishedItem> changed;
  if (changes.revision.era < this->revision.era)
    return changed;
  this->MoveTo(changes.revision, now);
  for (const PublishedItem& item : changes.items) {
    if (item.removed) {
      this->Remove(item.key, item.revision, now, source, changed);
    } else if (this->MergeItem(item)) {
      changed.push_back(item);
    }
  }
  return changed;
}

void PublicationState::RecordOutage(TimePoint now) {
  this->last_outage = now;
}

std::vector<PublishedItem> PublicationState::ApplyDeferredRemovals(
    TimePoint now) {
  std::vector<PublishedItem> changed;
  std::vector<std::pair<std::string, StoreRevision>> due;
  for (const auto& [key, deferred] : this->deferred_removals) {
    if (deferred.until <= now)
      due.emplace_back(key, deferred.revision);
  }
  for (const auto& [key, at_revision] : due)
    this->Erase(key, at_revision, changed);
  return changed;
}

std::vector<std::pair<std::string, PublicationState::TimePoint>>
PublicationState::TakeDeferred() {
  return std::exchange(this->newly_deferred, {});
}

std::optional<PublishedItems> PublicationState::ChangesSince(
    std::uint64_t count) const {
  if (count < this->oldest_known_change || count > this->change_count)
    return std::nullopt;
  PublishedItems changes;
  changes.revision = this->revision;
  for (const auto& [key, changed] : this->changed_at) {
    if (changed <= count)
      continue;
    const auto held = this->items.find(key);
    if (held != this->items.end()) {
      changes.items.push_back(held->second);
    } else if (const auto removal = this->removals.find(key);
               removal != this->removals.end()) {
      changes.items.push_back({key, "", removal->second, true});
    }
  }
  return changes;
}

PublishedItems PublicationState::All() const {
  PublishedItems all;
  all.revision = this->revision;
  for (const auto& [key, item] : this->items)
    all.items.push_back(item);
  return all;
}

}  // namespace buckthornpath
