/** @file version_history.cc Software versions that have served each service. */

#include "buckthornpath/version_history.h"

#include <algorithm>
#include <set>
#include <utility>

namespace buckthornpath {

namespace {

/** Time after which nobody asks for versions that have gone. */
constexpr std::chrono::hours kMaxAge{1};

}  // namespace

void VersionHistory::RecordConfirmation(TimePoint now, TimePoint as_of) {
  if (!this->confirmed_at || now - *this->confirmed_at > kMaxUnconfirmed)
    this->RecordGap(now);
  this->confirmed_at = now;
  this->current_as_of = std::max(this->current_as_of.value_or(as_of), as_of);
}

void VersionHistory::RecordEnd(const Served& served, TimePoint now) {
  std::erase_if(this->ended_at, [now](const auto& entry) {
    return now - entry.second > kMaxAge;
  });
  this->ended_at[served] = now;
}

void VersionHistory::RecordPublished(const EndpointId& endpoint,
                                     const ServiceName& service,
                                     const std::string& version,
                                     TimePoint now) {
  Served served{service, version};
  const auto [known, is_new] = this->current.try_emplace(endpoint, served);
  if (is_new || known->second == served)
    return;
  this->RecordEnd(known->second, now);
  known->second = std::move(served);
}

void VersionHistory::RecordWithdrawn(const EndpointId& endpoint,
                                     TimePoint now) {
  const auto known = this->current.find(endpoint);
  if (known == this->current.end())
    return;
  this->RecordEnd(known->second, now);
  this->current.erase(known);
}

std::optional<std::string> VersionHistory::SoleVersion(
    const ServiceName& service,
    std::chrono::milliseconds time,
    TimePoint now) const {
  if (!this->known_since || !this->confirmed_at ||
      now - *this->known_since < time ||
      now - *this->confirmed_at > kMaxUnconfirmed)
    return std::nullopt;
  std::set<std::string> versions;
  for (const auto& [endpoint, served] : this->current) {
    if (served.service == service)
      versions.insert(served.version);
  }
  for (const auto& [served, end] : this->ended_at) {
    if (served.service == service && now - end < time)
      versions.insert(served.version);
  }
  if (versions.size() != 1 || versions.begin()->empty())
    return std::nullopt;
  return *versions.begin();
}

std::optional<VersionHistory::TimePoint> VersionHistory::ProofDue(
    const ServiceName& service,
    std::chrono::milliseconds time) const {
  std::set<std::string> versions;
  for (const auto& [endpoint, served] : this->current) {
    if (served.service == service)
      versions.insert(served.version);
  }
  if (!this->known_since || versions.size() != 1 || versions.begin()->empty())
    return std::nullopt;
  TimePoint since = *this->known_since;
  for (const auto& [served, end] : this->ended_at) {
    if (served.service == service && served.version != *versions.begin())
      since = std::max(since, end);
  }
  return since + time;
}

}  // namespace buckthornpath
