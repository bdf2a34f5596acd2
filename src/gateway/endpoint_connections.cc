/** @file endpoint_connections.cc Pool of connections to endpoints. */

#include "gateway/endpoint_connections.h"

#include <algorithm>
#include <utility>

namespace buckthornpath {

namespace {

/** Connections are closed this long before the endpoint's idle timeout. */
constexpr std::chrono::milliseconds kIdleMargin{500};

/** Idle timeout that is assumed if the endpoint states none. */
constexpr std::chrono::milliseconds kDefaultIdleTime{4000};

/** Limits of the idle time that is considered safe. A failed reuse halves the
 * idle time; a successful reuse near the limit raises it by a tenth. */
constexpr std::chrono::milliseconds kLeastTrusted{250};
constexpr std::chrono::milliseconds kMostTrusted{4000};
constexpr int kTrustGrowthPart = 10;

bool IsStale(const EndpointConnection& connection,
             EndpointConnection::Clock::time_point now) {
  const auto limit =
      connection.idle_time.value_or(kDefaultIdleTime) - kIdleMargin;
  return now - connection.idle_since >= limit;
}

}  // namespace

std::unique_ptr<EndpointConnection> EndpointConnections::TakeIdle(
    const EndpointId& endpoint,
    std::chrono::milliseconds most_idle,
    Clock::time_point now) {
  const auto found = this->entries.find(endpoint);
  if (found == this->entries.end())
    return nullptr;
  Entry& entry = found->second;
  while (!entry.idle.empty()) {
    if (now - entry.idle.back()->idle_since > most_idle)
      return nullptr;
    std::unique_ptr<EndpointConnection> connection =
        std::move(entry.idle.back());
    entry.idle.pop_back();
    // Input on an idle connection belongs to no request of this gateway.
    if (!IsStale(*connection, now) && connection->IsQuiet())
      return connection;
    --entry.open;
  }
  return nullptr;
}

std::unique_ptr<EndpointConnection> EndpointConnections::MakeNew(
    const EndpointId& endpoint) {
  ++this->entries[endpoint].open;
  return std::make_unique<EndpointConnection>(this->executor);
}

void EndpointConnections::NoteReuse(std::chrono::milliseconds idle,
                                    bool broke) {
  if (broke) {
    this->trusted = std::clamp(std::min(idle, this->trusted) / 2, kLeastTrusted,
                               kMostTrusted);
  } else if (idle > this->trusted / 2) {
    this->trusted = std::min(kMostTrusted,
                             this->trusted + this->trusted / kTrustGrowthPart);
  }
}

void EndpointConnections::Return(const EndpointId& endpoint,
                                 std::unique_ptr<EndpointConnection> connection,
                                 bool reusable,
                                 Clock::time_point now) {
  Entry& entry = this->entries[endpoint];
  if (reusable && connection->IsReusable()) {
    connection->idle_since = now;
    entry.idle.push_back(std::move(connection));
    return;
  }
  connection->Close();
  if (entry.open > 0)
    --entry.open;
}

std::size_t EndpointConnections::Open(const EndpointId& endpoint) const {
  const auto found = this->entries.find(endpoint);
  return found == this->entries.end() ? 0 : found->second.open;
}

bool EndpointConnections::HasIdle(const EndpointId& endpoint) const {
  const auto found = this->entries.find(endpoint);
  return found != this->entries.end() && !found->second.idle.empty();
}

void EndpointConnections::Sweep(Clock::time_point now) {
  for (auto& [id, entry] : this->entries) {
    entry.open -= std::erase_if(entry.idle, [&](const auto& connection) {
      return IsStale(*connection, now);
    });
  }
}

void EndpointConnections::Forget(const EndpointId& endpoint) {
  const auto found = this->entries.find(endpoint);
  if (found == this->entries.end())
    return;
  found->second.open -= found->second.idle.size();
  found->second.idle.clear();
  if (found->second.open == 0)
    this->entries.erase(found);
}

}  // namespace buckthornpath
