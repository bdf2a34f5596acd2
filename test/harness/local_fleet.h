/** @file local_fleet.h A fleet of real processes on loopback. */

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

/** Configuration of a LocalFleet. */
struct FleetPlan {
  std::size_t routers = 1;
  std::vector<LocalEndpoint> endpoints;
  bool proxied = false;  ///< Routers reach endpoints through a FaultProxy.
  /** Settings of all daemons that differ from the defaults. */
  nlohmann::json settings = nlohmann::json::object();
  /** Additional arguments of all fake model engines. */
  std::vector<std::string> engine_arguments;
  /** Documents by name, in addition to StandardDocuments(). */
  std::map<std::string, nlohmann::json> documents;
};

/** Credential of the organisation "parish" in StandardDocuments(). */
inline constexpr const char* kParishCredential = "parish-credential";

/** Credential of the organisation "hospital" in StandardDocuments(). */
inline constexpr const char* kHospitalCredential = "hospital-credential";

/**
 * @return Documents of two services (drafting, a model; ledger, plain),
 * profiles of each priority class and two organisations.
 */
std::map<std::string, nlohmann::json> StandardDocuments();

/**
 * Reserves a /24 network of 127.0.0.0/8 for one test, so that tests in other
 * processes do not use the same addresses.
 */
class NetworkClaim {
 public:
  /** @throws std::runtime_error if all networks are in use. */
  NetworkClaim();
  ~NetworkClaim();
  NetworkClaim(const NetworkClaim&) = delete;
  NetworkClaim& operator=(const NetworkClaim&) = delete;

  /** @return The first three octets of its IP addresses, with a last dot. */
  const std::string& Network() const { return this->network; }

 private:
  std::string network;
  int socket = -1;  ///< Bound while the network is reserved.
};

/** Platform, engine, endpoint and router processes of one test. */
class LocalFleet {
 public:
  /**
   * Starts all processes and waits until all are ready and know all endpoints.
   * @throws std::runtime_error if one is not ready in time.
   */
  explicit LocalFleet(FleetPlan plan);
  ~LocalFleet();

  /** @return Address of a router for callers. */
  SocketAddress Router(std::size_t index) const;

  /** @return Address of a router's operator server. */
  SocketAddress RouterOperator(std::size_t index) const;

  /** @return Address of an endpoint process for routers. */
  SocketAddress EndpointDialogue(std::size_t index) const;

  /** @return Address of an endpoint process's operator server. */
  SocketAddress EndpointOperator(std::size_t index) const;

  /** @return Address of an engine or plain service. */
  SocketAddress Engine(std::size_t index) const;

  /** @return Address of the configuration service. */
  SocketAddress ConfigurationService() const;

  /** @return Address of the VM list service. */
  SocketAddress VmListService() const;

  ChildProcess& RouterProcess(std::size_t index);
  ChildProcess& EndpointProcess(std::size_t index);
  ChildProcess& EngineProcess(std::size_t index);

  /** @return The proxy of an endpoint. @pre `FleetPlan::proxied` is set. */
  FaultProxy& Proxy(std::size_t index) { return *this->proxies.at(index); }

  /** Starts a process again. @pre It has ended. */
  void RestartRouter(std::size_t index);
  void RestartEndpoint(std::size_t index);

  /** Publishes documents under a new revision of the index. */
  void Publish(const std::map<std::string, nlohmann::json>& changed);

  /** Publishes the VM list. @param states By VM; others are live. */
  void PublishVms(const std::map<std::string, std::string>& states = {});

  /** @return The lines of the history file of all engines and services. */
  std::vector<nlohmann::json> EngineHistory() const;

  /** @return How many times engines and services ran a request. */
  std::size_t RunsOf(const std::string& request_id) const;

  /** @return The /status of an operator server; null if it does not respond. */
  static nlohmann::json StatusOf(const SocketAddress& address);

  /** @return Directory of the settings, logs and history. */
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

/** @return A request to a plain service. */
HttpRequest ServiceRequest(const std::string& credential,
                           const std::string& profile,
                           const std::string& target,
                           const std::string& body);

/** @return The chunks that the fake engine generates for this request. */
std::vector<std::string> ExpectedChunks(const HttpRequest& request);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_LOCAL_FLEET_H_
