/** @file local_fleet.cc A fleet of real processes on loopback. */

#include "harness/local_fleet.h"

#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <stdexcept>

#include "fakes/generation.h"
#include "fleet/published_type.h"
#include "harness/caller.h"
#include "kernel/url_text.h"
#include "wire/ticket.h"

namespace buckthornpath {

namespace {

constexpr int kBasePort = 7000;
constexpr int kPlatformHost = 1;
constexpr int kFirstRouterHost = 10;
constexpr int kFirstEndpointHost = 100;

/** Offsets from kBasePort of the ports of one host. */
enum PortOffset {
  kOperatorPort,
  kCallerPort,
  kMessagePort,
  kEnginePort,
  kProxyPort,
  kGossipPort
};

constexpr int kReservationPort = kBasePort - 1;
constexpr int kNetworkCount = 60000;

}  // namespace

NetworkClaim::NetworkClaim() {
  static int count = 0;
  while (this->socket < 0 && count < kNetworkCount) {
    const int number = (getpid() * 8 + count++) % kNetworkCount;
    this->network = "127." + std::to_string(1 + number / 250) + "." +
                    std::to_string(number % 250) + ".";
    const SocketAddress address = ParseSocketAddress(
        this->network + "1:" + std::to_string(kReservationPort));
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(this->socket, address.data(),
             static_cast<socklen_t>(address.size())) == 0) {
      return;
    }
    close(this->socket);
    this->socket = -1;
  }
  if (this->socket < 0)
    throw std::runtime_error("all loopback networks are in use by tests");
}

NetworkClaim::~NetworkClaim() {
  close(this->socket);
}

namespace {

nlohmann::json OrganisationDocument(const std::string& name,
                                    const std::string& credential) {
  return {{"name", name}, {"credential_sha256", Sha256Hex(credential)}};
}

nlohmann::json ProfileDocument(const std::string& name,
                               const std::string& service,
                               const std::string& rank,
                               bool repeatable) {
  return {{"name", name},
          {"service", service},
          {"rank", rank},
          {"repeatable", repeatable}};
}

/** @return True if a process at the address answers HTTP within 1 s. */
bool IsResponding(const SocketAddress& address) {
  try {
    HttpRequest request;
    request.target = "/control";
    CallHttp(address, request, std::chrono::milliseconds(1000));
    return true;
  } catch (const HttpError&) {
    return false;
  }
}

HttpRequest MakeCallerRequest(const std::string& credential,
                              const std::string& profile) {
  HttpRequest request;
  request.method = "POST";
  request.headers.Append("Authorization", "Bearer " + credential);
  request.headers.Append("X-Profile", profile);
  request.headers.Append("Content-Type", "application/json");
  return request;
}

}  // namespace

std::map<std::string, nlohmann::json> StandardDocuments() {
  return {
      {"services/drafting",
       {{"name", "drafting"}, {"kind", "model"}, {"model", "draft-1"}}},
      {"services/ledger", {{"name", "ledger"}, {"kind", "plain"}}},
      {"profiles/counter",
       ProfileDocument("counter", "drafting", "urgent", true)},
      {"profiles/chat", ProfileDocument("chat", "drafting", "standard", true)},
      {"profiles/statement",
       ProfileDocument("statement", "drafting", "bulk", false)},
      {"profiles/receipt",
       ProfileDocument("receipt", "ledger", "standard", false)},
      {"organisations/parish",
       OrganisationDocument("parish", kParishCredential)},
      {"organisations/hospital",
       OrganisationDocument("hospital", kHospitalCredential)},
  };
}

LocalFleet::LocalFleet(FleetPlan plan)
    : plan(std::move(plan)), published(StandardDocuments()) {
  std::string name =
      (std::filesystem::temp_directory_path() / "buckthornpath-XXXXXX")
          .string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  this->directory = name;
  this->platform = std::make_unique<ChildProcess>(
      "fake_platform",
      std::vector<std::string>{
          "--configuration=" + this->Address(kPlatformHost, 0),
          "--vm-list=" + this->Address(kPlatformHost, 1)},
      (this->directory / "platform.log").string());
  const bool is_platform_up = WaitUntil([&] {
    try {
      this->PublishVms();
      this->Publish(this->plan.documents);
      return true;
    } catch (const HttpError&) {
      return false;
    }
  });
  if (!is_platform_up)
    throw std::runtime_error(
        "the fake platform did not accept documents in time");
  if (this->plan.proxied)
    this->StartProxies();
  this->engines.resize(this->plan.endpoints.size());
  this->endpoints.resize(this->plan.endpoints.size());
  this->routers.resize(this->plan.routers);
  for (std::size_t i = 0; i < this->plan.endpoints.size(); ++i) {
    this->StartEngine(i);
    this->StartEndpoint(i);
  }
  for (std::size_t i = 0; i < this->plan.routers; ++i)
    this->StartRouter(i);
  const auto is_ready = [&](const SocketAddress& address) {
    return WaitUntil([&] {
      const nlohmann::json status = StatusOf(address);
      return status.is_object() && status.value("ready", false) &&
             status.value("configuration_revision", 0U) >= this->revision &&
             status.value("members", 0U) >= this->plan.endpoints.size();
    });
  };
  for (std::size_t i = 0; i < this->plan.endpoints.size(); ++i) {
    if (!WaitUntil([&] { return IsResponding(this->Engine(i)); }))
      throw std::runtime_error("an engine did not answer HTTP in time");
    if (!is_ready(this->EndpointOperator(i))) {
      throw std::runtime_error(
          "an endpoint process did not become ready in time; logs in " +
          this->directory.string());
    }
  }
  for (std::size_t i = 0; i < this->plan.routers; ++i) {
    if (!is_ready(this->RouterOperator(i))) {
      throw std::runtime_error(
          "a router did not become ready in time; logs in " +
          this->directory.string());
    }
  }
}

LocalFleet::~LocalFleet() {
  this->proxies.clear();
  this->routers.clear();
  this->endpoints.clear();
  this->engines.clear();
  this->platform.reset();
  if (std::getenv("BUCKTHORNPATH_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
  }
}

std::string LocalFleet::Address(int host, int port) const {
  return this->claim.Network() + std::to_string(host) + ":" +
         std::to_string(kBasePort + port);
}

SocketAddress LocalFleet::Router(std::size_t index) const {
  return ParseSocketAddress(
      this->Address(kFirstRouterHost + static_cast<int>(index), kCallerPort));
}

SocketAddress LocalFleet::RouterOperator(std::size_t index) const {
  return ParseSocketAddress(
      this->Address(kFirstRouterHost + static_cast<int>(index), kOperatorPort));
}

SocketAddress LocalFleet::EndpointDialogue(std::size_t index) const {
  return ParseSocketAddress(this->Address(
      kFirstEndpointHost + static_cast<int>(index), kMessagePort));
}

SocketAddress LocalFleet::EndpointOperator(std::size_t index) const {
  return ParseSocketAddress(this->Address(
      kFirstEndpointHost + static_cast<int>(index), kOperatorPort));
}

SocketAddress LocalFleet::Engine(std::size_t index) const {
  return ParseSocketAddress(
      this->Address(kFirstEndpointHost + static_cast<int>(index), kEnginePort));
}

SocketAddress LocalFleet::ConfigurationService() const {
  return ParseSocketAddress(this->Address(kPlatformHost, 0));
}

SocketAddress LocalFleet::VmListService() const {
  return ParseSocketAddress(this->Address(kPlatformHost, 1));
}

ChildProcess& LocalFleet::RouterProcess(std::size_t index) {
  return *this->routers.at(index);
}

ChildProcess& LocalFleet::EndpointProcess(std::size_t index) {
  return *this->endpoints.at(index);
}

ChildProcess& LocalFleet::EngineProcess(std::size_t index) {
  return *this->engines.at(index);
}

void LocalFleet::RestartRouter(std::size_t index) {
  this->StartRouter(index);
}

void LocalFleet::RestartEndpoint(std::size_t index) {
  this->StartEndpoint(index);
}

std::string LocalFleet::WriteSettings(const std::string& name,
                                      const nlohmann::json& specific) {
  nlohmann::json settings = {
      {"vm", name},
      {"failure_domain", "a"},
      {"configuration_address", this->Address(kPlatformHost, 0)},
      {"vm_list_address", this->Address(kPlatformHost, 1)},
      {"ticket_secret", "a-secret-for-tests-only"},
      {"vm_list_interval", 100},
      {"gossip_interval", 100}};
  settings.update(this->plan.settings);
  settings.update(specific);
  const auto path = this->directory / (name + ".json");
  std::ofstream(path) << settings.dump(2);
  return path.string();
}

ChildProcess LocalFleet::StartDaemon(const std::string& role,
                                     const std::string& name) {
  return {"buckthornpathd",
          {"--role=" + role,
           "--settings=" + (this->directory / (name + ".json")).string()},
          (this->directory / (name + ".log")).string()};
}

void LocalFleet::StartEngine(std::size_t index) {
  const LocalEndpoint& endpoint = this->plan.endpoints.at(index);
  std::vector<std::string> arguments = {
      "--address=" + FormatSocketAddress(this->Engine(index)),
      "--history=" + (this->directory / "engines.history").string()};
  if (endpoint.is_model) {
    arguments.insert(arguments.end(), this->plan.engine_arguments.begin(),
                     this->plan.engine_arguments.end());
  }
  this->engines[index] = std::make_unique<ChildProcess>(
      endpoint.is_model ? "fake_engine" : "fake_service", arguments,
      (this->directory / (endpoint.vm + "-engine.log")).string());
}

void LocalFleet::StartEndpoint(std::size_t index) {
  const LocalEndpoint& endpoint = this->plan.endpoints.at(index);
  const int host = kFirstEndpointHost + static_cast<int>(index);
  this->WriteSettings(endpoint.vm,
                      {{"operator_address", this->Address(host, kOperatorPort)},
                       {"dialogue_address", this->Address(host, kMessagePort)},
                       {"engine_address", this->Address(host, kEnginePort)},
                       {"gossip_address", this->Address(host, kGossipPort)},
                       {"service", endpoint.service}});
  this->endpoints[index] = std::make_unique<ChildProcess>(
      this->StartDaemon("endpoint", endpoint.vm));
}

void LocalFleet::StartProxies() {
  for (std::size_t i = 0; i < this->plan.endpoints.size(); ++i) {
    const int host = kFirstEndpointHost + static_cast<int>(i);
    this->proxies.push_back(std::make_unique<FaultProxy>(
        ParseSocketAddress(this->Address(host, kProxyPort)),
        ParseSocketAddress(this->Address(host, kMessagePort))));
  }
}

void LocalFleet::StartRouter(std::size_t index) {
  const std::string name = "router-" + std::to_string(index);
  const int host = kFirstRouterHost + static_cast<int>(index);
  this->WriteSettings(name,
                      {{"operator_address", this->Address(host, kOperatorPort)},
                       {"caller_address", this->Address(host, kCallerPort)},
                       {"gossip_address", this->Address(host, kGossipPort)}});
  this->routers[index] =
      std::make_unique<ChildProcess>(this->StartDaemon("router", name));
}

void LocalFleet::Publish(const std::map<std::string, nlohmann::json>& changed) {
  const SocketAddress service = this->ConfigurationService();
  for (const auto& [name, document] : changed) {
    this->published[name] = document;
  }
  ++this->revision;
  nlohmann::json documents = nlohmann::json::array();
  for (const auto& [name, document] : this->published) {
    const std::string text = document.dump();
    SendHttp(service, "PUT", "/v1/values/" + EncodePath(name), text);
    documents.push_back({{"name", name},
                         {"revision", this->revision},
                         {"digest", DocumentDigest(text)}});
  }
  const nlohmann::json index = {{"revision", this->revision},
                                {"documents", documents}};
  SendHttp(service, "PUT", "/v1/values/index", index.dump());
}

void LocalFleet::PublishVms(const std::map<std::string, std::string>& states) {
  nlohmann::json vms = nlohmann::json::array();
  for (std::size_t i = 0; i < this->plan.endpoints.size(); ++i) {
    const LocalEndpoint& endpoint = this->plan.endpoints[i];
    const auto state = states.find(endpoint.vm);
    vms.push_back(
        {{"vm", endpoint.vm},
         {"service", endpoint.service},
         {"failure_domain", "a"},
         {"address",
          this->Address(kFirstEndpointHost + static_cast<int>(i),
                        this->plan.proxied ? kProxyPort : kMessagePort)},
         {"gossip_address",
          this->Address(kFirstEndpointHost + static_cast<int>(i), kGossipPort)},
         {"state", state == states.end() ? "live" : state->second}});
  }
  for (std::size_t i = 0; i < this->plan.routers; ++i) {
    vms.push_back(
        {{"vm", "router-" + std::to_string(i)},
         {"role", "router"},
         {"failure_domain", "a"},
         {"gossip_address",
          this->Address(kFirstRouterHost + static_cast<int>(i), kGossipPort)},
         {"state", "live"}});
  }
  SendHttp(this->VmListService(), "PUT", "/v1/vms",
           nlohmann::json{{"vms", vms}}.dump());
}

std::vector<nlohmann::json> LocalFleet::EngineHistory() const {
  std::vector<nlohmann::json> lines;
  std::ifstream file(this->directory / "engines.history");
  for (std::string line; std::getline(file, line);) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

std::size_t LocalFleet::RunsOf(const std::string& request_id) const {
  std::size_t runs = 0;
  for (const nlohmann::json& line : this->EngineHistory()) {
    if (line.value("request", "") == request_id)
      ++runs;
  }
  return runs;
}

nlohmann::json LocalFleet::StatusOf(const SocketAddress& address) {
  try {
    HttpRequest request;
    request.target = "/status";
    return nlohmann::json::parse(
        CallHttp(address, request, std::chrono::milliseconds(1000)).body);
  } catch (const HttpError&) {
    return nullptr;
  }
}

HttpRequest ChatRequest(const std::string& credential,
                        const std::string& profile,
                        const std::string& chat,
                        const std::string& prompt,
                        int max_tokens) {
  HttpRequest request = MakeCallerRequest(credential, profile);
  request.target = "/v1/chat/completions";
  request.headers.Append("X-Chat", chat);
  request.body = nlohmann::json{
      {"messages", {{{"role", "user"}, {"content", prompt}}}},
      {"max_tokens", max_tokens},
      {"stream",
       true}}.dump();
  return request;
}

HttpRequest ServiceRequest(const std::string& credential,
                           const std::string& profile,
                           const std::string& target,
                           const std::string& body) {
  HttpRequest request = MakeCallerRequest(credential, profile);
  request.target = target;
  request.body = body;
  return request;
}

std::vector<std::string> ExpectedChunks(const HttpRequest& request) {
  const auto prompt = PromptTokens(request.body);
  std::vector<std::string> chunks;
  for (std::size_t i = 0; i < TokensWanted(request.body); ++i) {
    chunks.push_back(TokenEvent(GeneratedToken(prompt, i)));
  }
  return chunks;
}

}  // namespace buckthornpath
