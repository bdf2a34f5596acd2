/** @file gateway_role.cc Role that forwards callers' requests to endpoints. */

#include <algorithm>
#include <charconv>
#include <list>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

#include "buckthornpath/crowd_eviction.h"
#include "gateway/caller_connection.h"
#include "gateway/forward_session.h"
#include "gateway/gateway_state.h"
#include "gateway/load_metrics.h"
#include "gateway/peer_exchange.h"
#include "gateway/publication_check.h"
#include "gateway/publication_follower.h"
#include "kernel/bodiless_port.h"
#include "kernel/http_server.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/pending_accept.h"
#include "kernel/role.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** Interval of the checks for connections to close. */
constexpr milliseconds kSweepInterval{500};

/** Time from the start of a drain until the platform has taken the process
 * out of rotation: two readiness checks a second apart, and one in progress. */
constexpr milliseconds kRotationExitTime{2600};

/** Time reserved at the end of a drain for sending the last responses. */
constexpr milliseconds kDrainMargin{500};

/** Limit and poll interval of the wait for the first configuration before
 * connections are accepted; the store responds within milliseconds. */
constexpr milliseconds kInitialReadTimeout{500};
constexpr milliseconds kInitialReadPollInterval{5};

/** Descriptors for files, listeners, the store and other gateways; and the part
 * of the remainder that callers may use, as endpoints need some as well. */
constexpr std::int64_t kOwnDescriptors = 200;
constexpr std::int64_t kCallerDescriptorParts = 3;
constexpr std::int64_t kDescriptorDivisor = 4;

std::size_t MaxCallerConnections(const Settings& settings) {
  const std::int64_t descriptors =
      (settings.descriptor_limit - kOwnDescriptors) * kCallerDescriptorParts /
      kDescriptorDivisor;
  return static_cast<std::size_t>(
      std::min(settings.max_connections, descriptors));
}

/** Length of the queue of connections not yet accepted. */
constexpr int kBacklog = 1024;

class GatewayRole final : public Role, public CallerServerContext {
 public:
  explicit GatewayRole(const RoleContext& context)
      : state(context.settings, context.pool.context().get_executor()),
        follower(this->state),
        check(this->state, this->follower),
        peers(this->state, this->follower, context.pool),
        acceptor(this->state.executor),
        ready_server(context.pool,
                     ParseSocketAddress(context.settings.ready_address),
                     BodilessPortLimits(),
                     [this](HttpExchange& exchange) {
                       return this->ServeReadiness(exchange);
                     }),
        max_connections(MaxCallerConnections(context.settings)) {
    if (context.settings.worker_count != 1)
      throw std::invalid_argument("worker_count must be 1 for a gateway");
    const SocketAddress address =
        ParseSocketAddress(context.settings.caller_address);
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen(kBacklog);
  }

  void Start() override {
    this->follower.Start();
    this->check.Start();
    this->peers.Start();
    this->ready_server.Start();
    WorkerPool::SpawnService(this->state.executor,
                             [this] { return this->AcceptConnections(); });
    WorkerPool::SpawnService(this->state.executor,
                             [this] { return this->SweepConnections(); });
  }

  void BeginDrain() override {
    this->state.is_draining = true;
    this->drain_begun = Clock::now();
    WorkerPool::SpawnOn(this->state.executor, this->LeaveRotation());
  }

  std::vector<std::string> InFlight() const override {
    std::vector<std::string> names;
    if (this->state.is_draining && !this->IsOutOfRotation())
      names.emplace_back("in rotation");
    for (const auto& connection : this->connections) {
      if (connection->IsBusy())
        names.emplace_back(connection->Request().target());
    }
    return names;
  }

  nlohmann::json DescribeInFlight() const override {
    // A bound on the size of a log line.
    constexpr std::size_t kMaxDescribed = 20;
    nlohmann::json requests = nlohmann::json::array();
    for (const ForwardSession* session : this->state.sessions) {
      if (requests.size() == kMaxDescribed)
        break;
      requests.push_back(session->Describe(Clock::now()));
    }
    return requests;
  }

  void StopAccepting() override {
    // There is no time left for a request that arrives on one of these.
    this->CloseIdleConnections();
    AcceptPendingAndClose(
        this->acceptor, [this] { return this->state.executor; },
        [this](asio::ip::tcp::socket socket) {
          this->StartConnection(std::move(socket));
        });
  }

  void CutOffCalls() override {
    asio::post(this->state.executor, [this] {
      // A copy, as a connection that ends removes itself from the list.
      const auto open = this->connections;
      for (const auto& connection : open)
        connection->CutOff();
    });
  }

  std::size_t OpenExchanges() const override {
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(),
                      [](const auto& entry) { return entry->IsBusy(); }));
  }

  nlohmann::json Status() const override {
    nlohmann::json quarantine = nlohmann::json::array();
    for (const QuarantinedRequest& entry :
         this->state.quarantine.All(Clock::now())) {
      quarantine.push_back({{"segments", FormatSegmentIds(entry.segments)},
                            {"remaining_ms", entry.remaining.count()},
                            {"convictions", entry.convictions}});
    }
    return {
        {"role", "gateway"},
        {"draining", this->state.is_draining},
        {"configuration", this->state.table ? this->state.table->Version() : 0},
        {"endpoints", this->state.selector.All().size()},
        {"peers", this->peers.PeerCount()},
        {"store_reached", this->follower.IsStoreReachable()},
        {"store_era", this->follower.Published().Revision().era},
        {"gossip", this->peers.Status()},
        {"connections", this->connections.size()},
        {"unusable", this->UnusableEndpoints()},
        {"cold", this->state.cold_starts.Status(this->state.selector.All(),
                                                Clock::now())},
        {"evacuated", this->EvacuatedDomains()},
        {"quarantine", std::move(quarantine)},
        {"suspects", this->state.quarantine.SuspectCount()}};
  }

  bool LiftQuarantine(const std::string& segment) override {
    std::uint64_t id = 0;
    constexpr int kHexadecimal = 16;
    const char* end = segment.data() + segment.size();
    const auto parsed = std::from_chars(segment.data(), end, id, kHexadecimal);
    if (parsed.ec != std::errc() || parsed.ptr != end ||
        !this->state.quarantine.Lift(id, Clock::now()))
      return false;
    LogLine(LogLevel::kNotice, "quarantine_lifted", {{"segment", segment}});
    this->state.ApplyQuarantineChanges();
    return true;
  }

  CallerLimits Limits() const override {
    return this->state.table ? this->state.table->Limits() : CallerLimits{};
  }

  bool IsDraining() const override { return this->state.is_draining; }

  ByteBudget& BufferedBytes() override { return this->state.buffered_bytes; }

  bool MakeRoom(const CallerConnection& asking) override {
    const UnreadConnections unread = this->FindUnread();
    const auto selected = SelectForRoom(unread.requests, Clock::now());
    if (!selected)
      return false;
    CallerConnection& connection = *unread.connections[*selected];
    ProcessMetrics().Add("requests_refused_for_room_total");
    ++this->refused_for_room;
    if (&connection == &asking)
      return false;
    connection.RefuseUnread();
    return true;
  }

  asio::awaitable<void> Serve(CallerExchange& exchange) override {
    ForwardSession session(this->state, exchange);
    co_await session.Run();
  }

 private:
  /** Connections without a request in progress, and their requests. */
  struct UnreadConnections {
    std::vector<CallerConnection*> connections;
    std::vector<UnreadRequest> requests;
  };

  UnreadConnections FindUnread() const {
    UnreadConnections unread;
    for (const auto& connection : this->connections) {
      if (connection->IsBusy() || connection->IsDisconnected())
        continue;
      unread.connections.push_back(connection.get());
      unread.requests.push_back(connection->Unread());
    }
    return unread;
  }

  /** Closes a connection if the limit is reached.
   * @return False if none can be closed. */
  bool MakeConnectionRoom() {
    if (this->connections.size() < this->max_connections)
      return true;
    const UnreadConnections unread = this->FindUnread();
    const auto selected = SelectForConnection(unread.requests);
    if (selected)
      unread.connections[*selected]->Abort();
    ProcessMetrics().Add("connections_closed_for_room_total");
    ++this->closed_for_room;
    return selected.has_value();
  }

  /** Logs what has been refused for lack of room since the last call. */
  void ReportCrowd() {
    const std::size_t refused = std::exchange(this->refused_for_room, 0);
    const std::size_t closed = std::exchange(this->closed_for_room, 0);
    if (refused + closed == 0)
      return;
    LogLine(LogLevel::kWarning, "no_room_for_callers",
            {{"refused", refused},
             {"closed", closed},
             {"available_bytes", this->state.buffered_bytes.Available()},
             {"connections", this->connections.size()},
             {"max_connections", this->max_connections}});
  }

  /** @return State of each endpoint that is not in normal use, by its id. */
  nlohmann::json UnusableEndpoints() const {
    const auto now = Clock::now();
    nlohmann::json states = nlohmann::json::object();
    for (const auto& [id, endpoint] : this->state.selector.All()) {
      const EndpointAvailability::State& state =
          endpoint->Availability().StateAt(now);
      if (state.use != EndpointUse::kNormal)
        states[id.str()] = state.name;
    }
    return states;
  }

  /** @return For each evacuated failure domain, how long ago this process
   * learnt of it. */
  nlohmann::json EvacuatedDomains() const {
    nlohmann::json domains = nlohmann::json::object();
    for (const auto& [domain, since] : this->state.selector.Evacuations().All())
      domains[domain.str()] = {
          {"known_for_ms",
           std::chrono::duration_cast<milliseconds>(Clock::now() - since)
               .count()}};
    return domains;
  }

  bool IsOutOfRotation() const {
    return Clock::now() - this->drain_begun >= kRotationExitTime;
  }

  /** Waits until the process is out of rotation; then refuses requests that may
   * outlast the drain. */
  asio::awaitable<void> LeaveRotation() {
    co_await SleepFor(kRotationExitTime);
    LogLine(LogLevel::kNotice, "out_of_rotation",
            {{"connections", this->connections.size()}});
    // Callers that still connect reach no other gateway, so requests that end
    // in time are still served.
    this->state.latest_deadline =
        this->drain_begun + this->state.settings.drain_timeout - kDrainMargin;
    this->state.RecheckAllWaiting();
    this->CloseIdleConnections();
  }

  void CloseIdleConnections() {
    for (const auto& connection : this->connections)
      connection->CloseIfIdle();
  }

  asio::awaitable<void> ServeReadiness(HttpExchange& exchange) {
    HttpResponse response;
    const bool is_ready = !this->state.is_draining && this->state.is_loaded;
    response.status = is_ready ? 200 : 503;
    co_await exchange.Send(std::move(response));
  }

  void StartConnection(asio::ip::tcp::socket socket) {
    WorkerPool::SpawnOn(this->state.executor,
                        this->ServeConnection(std::move(socket)));
  }

  asio::awaitable<void> AcceptConnections() {
    // Callers that connect while the process starts wait in the accept queue
    // for the configuration; they would be refused without it.
    const auto started_at = Clock::now();
    while (!this->state.is_loaded &&
           Clock::now() - started_at < kInitialReadTimeout)
      co_await SleepFor(kInitialReadPollInterval);
    while (true) {
      auto [error, socket] = co_await this->acceptor.async_accept(kAwaitResult);
      if (error == asio::error::operation_aborted)
        co_return;
      if (error) {
        LogLine(LogLevel::kWarning, "accept_failed",
                {{"reason", error.message()}});
        co_await SleepFor(kSweepInterval);
        continue;
      }
      this->StartConnection(std::move(socket));
    }
  }

  asio::awaitable<void> ServeConnection(asio::ip::tcp::socket socket) {
    if (!this->MakeConnectionRoom())
      co_return;
    const auto connection =
        std::make_shared<CallerConnection>(std::move(socket), *this);
    const auto position =
        this->connections.insert(this->connections.end(), connection);
    std::string fault;
    try {
      co_await connection->Run();
    } catch (const std::exception& error) {
      fault = error.what();
    }
    this->connections.erase(position);
    if (!fault.empty()) {
      LogLine(LogLevel::kError, "connection_failed", {{"reason", fault}});
      connection->Abort();
    }
  }

  asio::awaitable<void> SweepConnections() {
    while (true) {
      co_await SleepFor(kSweepInterval);
      const auto now = Clock::now();
      this->ReportCrowd();
      this->state.connection_pool.CloseExpired(now);
      for (const auto& connection : this->connections)
        connection->CloseIfTimedOut(now);
      ReportLoad(this->state);
      ProcessMetrics().Set(
          "buffered_bytes_available", "",
          static_cast<double>(this->state.buffered_bytes.Available()));
      ProcessMetrics().Set("caller_connections", "",
                           static_cast<double>(this->connections.size()));
      ProcessMetrics().Set(
          "published_age_seconds", "",
          std::chrono::duration<double>(this->follower.Age()).count());
    }
  }

  GatewayState state;
  PublicationFollower follower;
  PublicationCheck check;
  PeerExchange peers;
  asio::ip::tcp::acceptor acceptor;
  HttpServer ready_server;
  std::list<std::shared_ptr<CallerConnection>> connections;
  std::size_t max_connections;
  std::size_t refused_for_room = 0;  ///< Since the last ReportCrowd().
  std::size_t closed_for_room = 0;   ///< Likewise, connections.
  Clock::time_point drain_begun{};
};

const RoleFactory kGatewayRole(
    "gateway",
    "Forwards callers' requests to published endpoints",
    [](const RoleContext& context) {
      return std::make_unique<GatewayRole>(context);
    });

}  // namespace

}  // namespace buckthornpath
