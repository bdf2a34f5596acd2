/** @file load_exchange.cc Exchanges load reports between endpoint processes. */

#include "endpoint/load_exchange.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/control_traffic.h"
#include "kernel/json_types.h"
#include "kernel/metrics.h"
#include "wire/load_report_json.h"

namespace buckthornpath {

namespace {

using asio::ip::udp;

/** Load reports of other endpoints in one datagram. */
constexpr std::size_t kMaxReportsPerDatagram = 11;

/** IPv4 and UDP headers, counted as control traffic. */
constexpr std::size_t kDatagramHeaderBytes = 28;

constexpr std::size_t kMaxDatagramBytes = 1500;

/** A report with a greater load counts as malformed. */
constexpr std::int64_t kMaxLoad = 1000000;

/** Content of a datagram. */
struct LoadDatagram {
  std::string service;
  bool is_reply = false;
  std::vector<LoadReport> reports;  ///< The sender's own first, unless it
                                    ///< drains.
};

std::string Encode(const LoadDatagram& datagram) {
  std::string bytes;
  nlohmann::json::to_cbor(
      nlohmann::json::array(
          {datagram.service, datagram.is_reply, datagram.reports}),
      nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

/** @throws nlohmann::json::exception If it is malformed. */
LoadDatagram Decode(const char* data, std::size_t size) {
  const auto fields = nlohmann::json::from_cbor(data, data + size);
  LoadDatagram datagram;
  datagram.service = fields.at(0).get<std::string>();
  datagram.is_reply = fields.at(1).get<bool>();
  datagram.reports = fields.at(2).get<std::vector<LoadReport>>();
  return datagram;
}

}  // namespace

LoadExchange::LoadExchange(const RoleContext& context,
                           const MemberList& members,
                           std::function<std::int64_t()> own_load)
    : context(context),
      members(members),
      own_load(std::move(own_load)),
      self(context.settings.vm),
      random(std::random_device()()),
      strand(context.pool.NewStrand()),
      socket(this->strand),
      view(context.settings.load_max_age) {
  const SocketAddress listen_address =
      ParseSocketAddress(context.settings.dialogue_address);
  const udp::endpoint local(listen_address.address(), listen_address.port());
  this->socket.open(local.protocol());
  this->socket.bind(local);
}

void LoadExchange::Start() {
  asio::co_spawn(this->strand, this->SendPeriodically(), asio::detached);
  asio::co_spawn(this->strand, this->ReceiveDatagrams(), asio::detached);
}

std::chrono::milliseconds LoadExchange::TimeSinceStart() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      BootClock::now() - this->started);
}

void LoadExchange::AddReports(const std::vector<LoadReport>& reports) {
  const OrderedLock lock(this->mutex);
  for (const LoadReport& report : reports) {
    if (report.load < 0 || report.load > kMaxLoad)
      ProcessMetrics().Add("malformed_load_reports_total");
    else if (this->active_peers.count(report.endpoint) > 0)
      this->view.Update(report, this->TimeSinceStart());
  }
}

LoadMean LoadExchange::MeanLoad(std::int64_t load) const {
  const OrderedLock lock(this->mutex);
  return this->view.MeanLoad(this->self, load, this->TimeSinceStart());
}

std::vector<LoadReport> LoadExchange::LeastLoaded(std::size_t count) const {
  const OrderedLock lock(this->mutex);
  return this->view.LeastLoaded(count, this->TimeSinceStart());
}

std::vector<Member> LoadExchange::Peers() const {
  std::vector<Member> peers =
      this->members.UsableMembers(ServiceName(this->context.settings.service));
  std::erase_if(peers,
                [this](const Member& peer) { return peer.id == this->self; });
  return peers;
}

void LoadExchange::SetPeers(const std::vector<Member>& peers) {
  const OrderedLock lock(this->mutex);
  std::set<EndpointId> next;
  for (const Member& peer : peers)
    next.insert(peer.id);
  for (const EndpointId& old : this->active_peers) {
    if (next.count(old) == 0)
      this->view.Forget(old);
  }
  this->active_peers = std::move(next);
}

std::string LoadExchange::EncodeNextDatagram(bool is_reply) {
  LoadDatagram datagram;
  datagram.service = this->context.settings.service;
  datagram.is_reply = is_reply;
  const std::int64_t load = this->own_load();
  const OrderedLock lock(this->mutex);
  this->view.RemoveExpired(this->TimeSinceStart());
  datagram.reports =
      this->view.Newest(kMaxReportsPerDatagram, this->TimeSinceStart());
  if (this->is_reporting) {
    datagram.reports.insert(
        datagram.reports.begin(),
        LoadReport{this->self, load, std::chrono::milliseconds(0)});
  }
  return Encode(datagram);
}

asio::awaitable<void> LoadExchange::Send(udp::endpoint peer, bool is_reply) {
  const std::string datagram = this->EncodeNextDatagram(is_reply);
  const auto buffer = asio::buffer(datagram);
  auto [error, sent] =
      co_await this->socket.async_send_to(buffer, peer, kAwaitResult);
  if (error)
    ProcessMetrics().Add("load_exchange_faults_total");
  else
    CountControlTraffic(ControlTrafficKind::kLoad, ControlDirection::kSent,
                        sent + kDatagramHeaderBytes);
}

asio::awaitable<void> LoadExchange::SendPeriodically() {
  while (true) {
    co_await SleepFor(this->context.settings.load_exchange_interval);
    const std::vector<Member> peers = this->Peers();
    this->SetPeers(peers);
    if (peers.empty())
      continue;
    std::uniform_int_distribution<std::size_t> choose(0, peers.size() - 1);
    const SocketAddress peer = peers[choose(this->random)].address;
    const udp::endpoint address(peer.address(), peer.port());
    co_await this->Send(address, false);
  }
}

asio::awaitable<void> LoadExchange::ReceiveDatagrams() {
  std::array<char, kMaxDatagramBytes> data{};
  udp::endpoint sender;
  while (true) {
    const auto buffer = asio::buffer(data);
    auto [error, size] =
        co_await this->socket.async_receive_from(buffer, sender, kAwaitResult);
    if (error) {
      ProcessMetrics().Add("load_exchange_faults_total");
      co_await SleepFor(std::chrono::milliseconds(10));
      continue;
    }
    CountControlTraffic(ControlTrafficKind::kLoad, ControlDirection::kReceived,
                        size + kDatagramHeaderBytes);
    if (this->HandleDatagram(data.data(), size))
      co_await this->Send(sender, true);
  }
}

bool LoadExchange::HandleDatagram(const char* data, std::size_t size) {
  try {
    const LoadDatagram datagram = Decode(data, size);
    if (datagram.service != this->context.settings.service)
      return false;
    this->AddReports(datagram.reports);
    return !datagram.is_reply;
  } catch (const nlohmann::json::exception&) {
    ProcessMetrics().Add("malformed_load_reports_total");
    return false;
  }
}

}  // namespace buckthornpath
