/** @file endpoint_connection_pool.cc Pool of connections to endpoints. */

#include "gateway/endpoint_connection_pool.h"

#include <algorithm>
#include <utility>

namespace buckthornpath {

namespace {

/** Connections are closed this long before the endpoint's idle timeout. */
constexpr std::chrono::milliseconds kIdleMargin{500};

/** Idle timeout that is assumed if the endpoint states none. */
constexpr std::chrono::milliseconds kDefaultIdleTimeout{4000};

/** Limits of the idle time that is considered safe. A failed reuse halves the
 * idle time; a successful reuse near the limit raises it by a tenth. */
constexpr std::chrono::milliseconds kMinSafeIdleTime{250};
constexpr std::chrono::milliseconds kMaxSafeIdleTime{4000};
constexpr int kSafeIdleTimeGrowthDivisor = 10;

bool IsExpired(const EndpointConnection& connection,
               EndpointConnection::Clock::time_point now) {
  const auto limit =
      connection.idle_timeout.value_or(kDefaultIdleTimeout) - kIdleMargin;
  return now - connection.idle_since >= limit;
}

}  // namespace

std::unique_ptr<EndpointConnection> EndpointConnectionPool::TakeIdle(
    const EndpointId& endpoint,
    const SocketAddress& address,
    std::chrono::milliseconds max_idle_time,
    Clock::time_point now) {
  const auto found = this->entries.find(endpoint);
  if (found == this->entries.end())
    return nullptr;
  Entry& entry = found->second;
  while (!entry.idle.empty()) {
    if (now - entry.idle.back()->idle_since > max_idle_time)
      return nullptr;
    std::unique_ptr<EndpointConnection> connection =
        std::move(entry.idle.back());
    entry.idle.pop_back();
    // Input on an idle connection belongs to no request of this gateway.
    if (connection->Address() == address && !IsExpired(*connection, now) &&
        connection->IsIdle())
      return connection;
    --entry.open;
  }
  return nullptr;
}

std::unique_ptr<EndpointConnection> EndpointConnectionPool::CreateConnection(
    const EndpointId& endpoint) {
  ++this->entries[endpoint].open;
  return std::make_unique<EndpointConnection>(this->executor);
}

void EndpointConnectionPool::RecordReuse(std::chrono::milliseconds idle,
                                         bool failed) {
  if (failed) {
    this->safe_idle_time = std::clamp(std::min(idle, this->safe_idle_time) / 2,
                                      kMinSafeIdleTime, kMaxSafeIdleTime);
  } else if (idle > this->safe_idle_time / 2) {
    this->safe_idle_time =
        std::min(kMaxSafeIdleTime,
                 this->safe_idle_time +
                     this->safe_idle_time / kSafeIdleTimeGrowthDivisor);
  }
}

void EndpointConnectionPool::Release(
    const EndpointId& endpoint,
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

std::size_t EndpointConnectionPool::OpenCount(
    const EndpointId& endpoint) const {
  const auto found = this->entries.find(endpoint);
  return found == this->entries.end() ? 0 : found->second.open;
}

bool EndpointConnectionPool::HasIdle(const EndpointId& endpoint) const {
  const auto found = this->entries.find(endpoint);
  return found != this->entries.end() && !found->second.idle.empty();
}

void EndpointConnectionPool::CloseExpired(Clock::time_point now) {
  for (auto& [id, entry] : this->entries) {
    entry.open -= std::erase_if(entry.idle, [&](const auto& connection) {
      return IsExpired(*connection, now);
    });
  }
}

void EndpointConnectionPool::CloseIdle(const EndpointId& endpoint) {
  const auto found = this->entries.find(endpoint);
  if (found == this->entries.end())
    return;
  found->second.open -= found->second.idle.size();
  found->second.idle.clear();
  if (found->second.open == 0)
    this->entries.erase(found);
}

}  // namespace buckthornpath
