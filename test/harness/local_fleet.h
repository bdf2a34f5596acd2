/** @file local_fleet.h A small fleet of real processes on loopback. */

#ifndef TEST_HARNESS_LOCAL_FLEET_H_
#define TEST_HARNESS_LOCAL_FLEET_H_

#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness/child_process.h"
#include "harness/fault_proxy.h"
#include "kernel/http_type.h"
#include "kernel/socket_address.h"

namespace buckthornpath {

/** One endpoint VM of the fleet. */
struct LocalEndpoint {
  std::string vm;
  std::string service;
  bool is_model = true;
};

/** What a fleet is made of. */
struct FleetPlan {
  std::size_t routers = 1;
  std::vector<LocalEndpoint> endpoints;
  bool proxied = false;  ///< Routers reach endpoints through a FaultProxy.
  /** Settings of every daemon that differ from the defaults. */
  nlohmann::json settings = nlohmann::json::object();
  /** Further arguments of every fake model engine. */
  std::vector<std::string> engine_arguments;
  /** Documents by name, besides those of StandardDocuments(). */
  std::map<std::string, nlohmann::json> documents;
};

/** Credential of the organisation "parish" in StandardDocuments(). */
inline constexpr const char* kParishCredential = "parish-credential";

/** Credential of the organisation "hospital" in StandardDocuments(). */
inline constexpr const char* kHospitalCredential = "hospital-credential";

/**
 * Two services (drafting, a model; ledger, plain), profiles of each rank and
 * two organisations.
 */
std::map<std::string, nlohmann::json> StandardDocuments();

/** A network of loopback that no other running test has. */
class NetworkClaim {
 public:
  NetworkClaim();
  ~NetworkClaim();
  NetworkClaim(const NetworkClaim&) = delete;
  NetworkClaim& operator=(const NetworkClaim&) = delete;

  /** @return The first three numbers of its IP numbers, with a dot. */
  const std::string& Network() const { return this->network; }

 private:
  std::string network;
  int socket = -1;  ///< Bound for as long as the network is in use.
};

/** Platform, engines, endpoint processes and routers of one test. */
class LocalFleet {
 public:
  /** Starts all processes and waits until the routers see the endpoints. */
  explicit LocalFleet(FleetPlan plan);
  ~LocalFleet();

  /** @return Address for callers of a router. */
  SocketAddress Router(std::size_t index) const;

  /** @return Address for operators of a router. */
  SocketAddress RouterOperator(std::size_t index) const;

  /** @return Address for operators of an endpoint process. */
  SocketAddress EndpointOperator(std::size_t index) const;

  /** @return Address of an engine or plain service. */
  SocketAddress Engine(std::size_t index) const;

  /** @return Address of the configuration service. */
  SocketAddress ConfigurationService() const;

  /** @return Address of the VM list. */
  SocketAddress VmListService() const;

  ChildProcess& RouterProcess(std::size_t index);
  ChildProcess& EndpointProcess(std::size_t index);
  ChildProcess& EngineProcess(std::size_t index);

  /** @return The proxy before an endpoint. @pre The plan asks for proxies. */
  FaultProxy& Proxy(std::size_t index) { return *this->proxies.at(index); }

  /** Starts a process again after it has ended. */
  void RestartRouter(std::size_t index);
  void RestartEndpoint(std::size_t index);

  /** Publishes documents under a new revision of the index. */
  void Publish(const std::map<std::string, nlohmann::json>& changed);

  /** Publishes the VM list; endpoints that are not named are live. */
  void PublishVms(const std::map<std::string, std::string>& states = {});

  /** @return The lines of the history that engines and services wrote. */
  std::vector<nlohmann::json> EngineHistory() const;

  /** @return How often the engines ran a request. */
  std::size_t RunsOf(const std::string& request_id) const;

  /** @return What an operator's port shows; null if it does not answer. */
  static nlohmann::json StatusOf(const SocketAddress& address);

  /** @return The directory with settings, logs and history. */
  const std::filesystem::path& Directory() const { return this->directory; }

 private:
  std::string Address(int host, int port) const;
  std::string WriteSettings(const std::string& name,
                            const nlohmann::json& specific);
  ChildProcess StartDaemon(const std::string& role, const std::string& name);
  void StartEngine(std::size_t index);
  void StartEndpoint(std::size_t index);
  void StartProxies();
  void StartRouter(std::size_t index);

  FleetPlan plan;
  std::filesystem::path directory;
  NetworkClaim claim;
  std::map<std::string, nlohmann::json> published;
  std::uint64_t revision = 0;
  std::unique_ptr<ChildProcess> platform;
  std::vector<std::unique_ptr<ChildProcess>> engines;
  std::vector<std::unique_ptr<ChildProcess>> endpoints;
  std::vector<std::unique_ptr<ChildProcess>> routers;
  std::vector<std::unique_ptr<FaultProxy>> proxies;
};

/** @return A chat completion request. */
HttpRequest ChatRequest(const std::string& credential,
                        const std::string& profile,
                        const std::string& chat,
                        const std::string& prompt,
                        int max_tokens = 16);

/** @return A call of a plain service. */
HttpRequest ServiceRequest(const std::string& credential,
                           const std::string& profile,
                           const std::string& target,
                           const std::string& body);

/** @return The chunks that the fake engine generates for a request. */
std::vector<std::string> ExpectedChunks(const HttpRequest& request);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_LOCAL_FLEET_H_
