/** @file gateway_fleet.cc Gateways with a fake platform. */

#include "harness/gateway_fleet.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <sstream>
#include <stdexcept>

#include "harness/caller.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

constexpr int kStoreHost = 1;
constexpr int kFirstGatewayHost = 10;
constexpr int kFirstEngineHost = 100;
constexpr int kFirstLedgerHost = 150;
constexpr int kStorePort = 7100;
constexpr int kCallerPort = 7101;
constexpr int kReadyPort = 7102;
constexpr int kGossipPort = 7103;
constexpr int kOperatorPort = 7104;
constexpr int kEndpointPort = 7105;
constexpr int kProxyPort = 7106;
constexpr int kStoreProxyPort = 7107;

json MakeRoute(const std::string& prefix,
               const std::string& kind,
               const std::string& service) {
  return {{"name", "route-" + prefix.substr(1, prefix.size() - 2)},
          {"host", "h.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"timeoutMs", 4000},
          {"targetLatencyMs", 300},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", 2},
          {"authExempt", false},
          {"streamResume", false},
          {"gapTargetMs", 200}};
}

void RespondServed(ScriptedCall& call) {
  call.Answer(200, "served");
}

}  // namespace

json StandardConfiguration(std::uint64_t version) {
  json talk = MakeRoute("/talk/", "streaming", "llm");
  talk["streamResume"] = true;
  json issue = MakeRoute("/issue/", "non_idempotent", "ledger");
  return {{"version", version},
          {"routes",
           {talk, MakeRoute("/draft/", "streaming", "llm"), issue,
            MakeRoute("/lookup/", "idempotent", "ledger")}},
          {"services",
           {{{"name", "llm"}, {"maxConns", 100}, {"engine", {{"slots", 8}}}},
            {{"name", "ledger"}, {"maxConns", 100}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 65536},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants",
           {{{"name", "parish"}, {"apiKeys", {kParishKey}}, {"priority", 1}},
            {{"name", "hospital"}, {"apiKeys", {"hospital-key"}}}}}};
}

std::string TextOf(const CallerText& text) {
  std::string bytes = text.method + " " + text.path +
                      " HTTP/1.1\r\nHost: h.example\r\n"
                      "Buckthornpath-Request-Id: " +
                      text.id + "\r\n";
  if (!text.key.empty())
    bytes += "X-Api-Key: " + text.key + "\r\n";
  bytes += text.more_fields;
  if (!text.keeps_open)
    bytes += "Connection: close\r\n";
  return bytes + "Content-Length: " + std::to_string(text.body.size()) +
         "\r\n\r\n" + text.body;
}

GatewayFleet::GatewayFleet(const GatewayPlan& plan) : plan(plan) {
  this->store = std::make_unique<PlatformStore>(
      ParseSocketAddress(this->Address(kStoreHost, kStorePort)));
  if (plan.publishes_configuration)
    this->PublishConfiguration();
  for (std::size_t i = 0; i < plan.engines; ++i)
    this->StartEndpoint("engine", i);
  for (std::size_t i = 0; i < plan.ledgers; ++i)
    this->StartEndpoint("ledger", i);
  for (std::size_t i = 0; plan.stalls_logs && i < plan.gateways; ++i) {
    mkfifo(this->LogPath(i).c_str(), S_IRUSR | S_IWUSR);
    this->unread_log_pipes.push_back(open(this->LogPath(i).c_str(), O_RDWR));
  }
  for (std::size_t i = 0; plan.store_proxied && i < plan.gateways; ++i) {
    const int host = kFirstGatewayHost + static_cast<int>(i);
    this->store_proxies.push_back(std::make_unique<FaultProxy>(
        ParseSocketAddress(this->Address(host, kStoreProxyPort)),
        ParseSocketAddress(this->Address(kStoreHost, kStorePort)),
        ProxyUnit::kBytes));
  }
  this->gateways.resize(plan.gateways);
  for (std::size_t i = 0; i < plan.gateways; ++i)
    this->Restart(i);
  if (!plan.publishes_configuration)
    return;
  for (std::size_t i = 0; i < plan.gateways; ++i) {
    const bool is_up = WaitUntil([&] {
      const json status = LocalFleet::StatusOf(this->Operator(i));
      return status.is_object() && this->IsReady(i) &&
             status.value("endpoints", 0U) == plan.engines + plan.ledgers &&
             status.value("peers", 0U) == plan.gateways - 1;
    });
    if (!is_up)
      throw std::runtime_error("gateway " + std::to_string(i) +
                               " did not become ready in time; " +
                               this->DescribeGateways());
  }
}

std::string GatewayFleet::DescribeGateways() {
  std::string text;
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    text += "gateway " + std::to_string(i) +
            (this->gateways[i]->IsRunning() ? " runs" : " has ended") +
            ", status " + LocalFleet::StatusOf(this->Operator(i)).dump() +
            ", log:\n" + this->Log(i) + "\n";
  }
  return text;
}

void GatewayFleet::PublishConfiguration() {
  json configuration = StandardConfiguration(1);
  for (json& service : configuration["services"])
    service["maxConns"] = this->plan.max_connections;
  this->store->Put("op/config", configuration);
}

GatewayFleet::~GatewayFleet() {
  this->gateways.clear();
  for (const int pipe : this->unread_log_pipes)
    close(pipe);
}

std::string GatewayFleet::LogPath(std::size_t index) const {
  return (this->scratch.Path() / ("gateway-" + std::to_string(index) + ".log"))
      .string();
}

void GatewayFleet::StartEndpoint(const std::string& kind, std::size_t index) {
  const bool is_engine = kind == "engine";
  const int host = (is_engine ? kFirstEngineHost : kFirstLedgerHost) +
                   static_cast<int>(index);
  const SocketAddress address =
      ParseSocketAddress(this->Address(host, kEndpointPort));
  (is_engine ? this->engines : this->ledgers)
      .push_back(std::make_unique<ScriptedEndpoint>(address, RespondServed));
  if (this->plan.proxied) {
    this->proxies.push_back(std::make_unique<FaultProxy>(
        ParseSocketAddress(this->Address(host, kProxyPort)), address,
        ProxyUnit::kBytes));
  }
  this->PublishEndpoint(kind, index, "ready");
}

std::string GatewayFleet::Address(int host, int port) const {
  return this->claim.Network() + std::to_string(host) + ":" +
         std::to_string(port);
}

std::string GatewayFleet::Seeds() const {
  return this->Address(kFirstGatewayHost, kGossipPort);
}

void GatewayFleet::Restart(std::size_t index) {
  const int host = kFirstGatewayHost + static_cast<int>(index);
  json settings = {
      {"vm", "gateway-" + std::to_string(index)},
      {"failure_domain", this->FailureDomainOf(index)},
      {"operator_address", this->Address(host, kOperatorPort)},
      {"configuration_address", this->plan.store_proxied
                                    ? this->Address(host, kStoreProxyPort)
                                    : this->Address(kStoreHost, kStorePort)},
      {"caller_address", this->Address(host, kCallerPort)},
      {"ready_address", this->Address(host, kReadyPort)},
      {"gossip_address", this->Address(host, kGossipPort)},
      {"gossip_seeds", this->Seeds()},
      {"configuration_wait", 500},
      {"drain_timeout", 8000},
      {"worker_count", 1}};
  settings.update(this->plan.settings);
  if (const auto own = this->plan.gateway_settings.find(index);
      own != this->plan.gateway_settings.end())
    settings.update(own->second);
  const std::string name = "gateway-" + std::to_string(index);
  const std::string path = this->scratch.Write(name + ".json", settings.dump());
  this->gateways[index] = std::make_unique<ChildProcess>(
      "buckthornpathd",
      std::vector<std::string>{"--role=gateway", "--settings=" + path},
      this->LogPath(index));
}

SocketAddress GatewayFleet::Caller(std::size_t index) const {
  return ParseSocketAddress(
      this->Address(kFirstGatewayHost + static_cast<int>(index), kCallerPort));
}

SocketAddress GatewayFleet::Operator(std::size_t index) const {
  return ParseSocketAddress(this->Address(
      kFirstGatewayHost + static_cast<int>(index), kOperatorPort));
}

SocketAddress GatewayFleet::Peer(std::size_t index) const {
  return ParseSocketAddress(
      this->Address(kFirstGatewayHost + static_cast<int>(index), kGossipPort));
}

bool GatewayFleet::IsReady(std::size_t index) const {
  try {
    const SocketAddress address = ParseSocketAddress(
        this->Address(kFirstGatewayHost + static_cast<int>(index), kReadyPort));
    HttpRequest request;
    request.target = "/ready";
    return CallHttp(address, request).status == 200;
  } catch (const HttpError&) {
    return false;  // Not started yet, or ended.
  }
}

void GatewayFleet::PublishLongTimeouts() {
  constexpr std::uint64_t kVersion = 2;
  json configuration = StandardConfiguration(kVersion);
  for (json& route : configuration["routes"])
    route["timeoutMs"] = 30000;
  this->store->Put("op/config", configuration);
  for (std::size_t i = 0; i < this->plan.gateways; ++i) {
    const bool is_in_force = WaitUntil([&] {
      return LocalFleet::StatusOf(this->Operator(i))
                 .value("configuration", std::uint64_t{0}) == kVersion;
    });
    if (!is_in_force)
      throw std::runtime_error("gateway " + std::to_string(i) +
                               " does not use version 2");
  }
}

json GatewayFleet::EntryOf(const std::string& kind,
                           std::size_t index,
                           const std::string& state) const {
  const bool is_engine = kind == "engine";
  const int host = (is_engine ? kFirstEngineHost : kFirstLedgerHost) +
                   static_cast<int>(index);
  const int port = this->plan.proxied ? kProxyPort : kEndpointPort;
  return {{"service", is_engine ? "llm" : "ledger"},
          {"address", this->Address(host, port)},
          {"zone", this->FailureDomainOf(index)},
          {"version", "v1"},
          {"slots", this->plan.slots},
          {"state", state},
          {"coldRemainingMs", 0},
          {"sequence", 1}};
}

void GatewayFleet::PublishEndpoint(const std::string& kind,
                                   std::size_t index,
                                   const std::string& state) {
  this->store->Put("servers/" + kind + "-" + std::to_string(index),
                   this->EntryOf(kind, index, state));
}

RawAnswer GatewayFleet::Call(std::size_t gateway,
                             const std::string& bytes) const {
  ByteConnection connection(this->Caller(gateway));
  connection.Send(bytes);
  return ParseRawAnswer(connection.ReadToEnd());
}

std::string GatewayFleet::Log(std::size_t index) const {
  return ReadWholeFile(this->LogPath(index));
}

json GatewayFleet::LogOf(std::size_t index,
                         const std::string& request_id) const {
  json found;
  WaitUntil([&] {
    std::istringstream lines(this->Log(index));
    std::string line;
    while (std::getline(lines, line)) {
      const json entry = json::parse(line, nullptr, false);
      if (entry.is_object() && entry.value("event", "") == "request" &&
          entry.value("request", "") == request_id)
        found = entry;
    }
    return !found.is_null();
  });
  return found;
}

}  // namespace buckthornpath
