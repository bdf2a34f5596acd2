/** @file gateway_fleet.h Gateways with a fake platform. */

#ifndef TEST_HARNESS_GATEWAY_FLEET_H_
#define TEST_HARNESS_GATEWAY_FLEET_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/platform_store.h"
#include "fakes/scripted_endpoint.h"
#include "harness/byte_connection.h"
#include "harness/child_process.h"
#include "harness/fault_proxy.h"
#include "harness/local_fleet.h"
#include "harness/tool.h"

namespace buckthornpath {

/** Configuration of a GatewayFleet. */
struct GatewayPlan {
  std::size_t gateways = 1;
  /** Failure domains; gateways and endpoints are spread over them in turn. */
  std::vector<std::string> failure_domains = {"a"};
  /** Number of endpoints of the service "llm". */
  std::size_t engines = 1;
  /** Number of endpoints of the service "ledger". */
  std::size_t ledgers = 1;
  std::size_t slots = 8;              ///< Of each endpoint.
  std::size_t max_connections = 100;  ///< Of each endpoint.
  /** Settings that differ from the defaults. */
  nlohmann::json settings = nlohmann::json::object();
  /** Settings of single gateways that differ from these. */
  std::map<std::size_t, nlohmann::json> gateway_settings;
  bool publishes_configuration = true;
  bool proxied = false;  ///< Gateways reach endpoints through a FaultProxy.
  bool store_proxied = false;  ///< Each reaches the store through a FaultProxy.
  bool stalls_logs = false;    ///< Gateways log to pipes that are never read.
};

/** API key of the organisation "parish" in StandardConfiguration(). */
inline constexpr const char* kParishKey = "parish-key";

/**
 * @return Configuration with the routes /talk/ (resumable stream), /draft/
 * (stream), /issue/ (not idempotent) and /lookup/ (idempotent) of host
 * "h.example".
 */
nlohmann::json StandardConfiguration(std::uint64_t version);

/** The fake store, scripted endpoints and gateway processes of one test. */
class GatewayFleet {
 public:
  /**
   * Starts all and waits until the gateways are ready, if a configuration is
   * published.
   * @throws std::runtime_error if a gateway is not ready in time.
   */
  explicit GatewayFleet(const GatewayPlan& plan);
  ~GatewayFleet();

  PlatformStore& Store() { return *this->store; }
  ScriptedEndpoint& Engine(std::size_t index) {
    return *this->engines.at(index);
  }
  ScriptedEndpoint& Ledger(std::size_t index) {
    return *this->ledgers.at(index);
  }
  /** @return A proxy; those of the engines come before those of the ledgers. */
  FaultProxy& Proxy(std::size_t index) { return *this->proxies.at(index); }
  /** @return The proxy between a gateway and the store. */
  FaultProxy& StoreProxy(std::size_t gateway) {
    return *this->store_proxies.at(gateway);
  }
  std::size_t ProxyCount() const { return this->proxies.size(); }
  ChildProcess& Gateway(std::size_t index) { return *this->gateways.at(index); }
  SocketAddress Caller(std::size_t index) const;
  SocketAddress Operator(std::size_t index) const;
  SocketAddress Peer(std::size_t index) const;

  /** Starts a gateway again. @pre It has ended. */
  void Restart(std::size_t index);

  bool IsReady(std::size_t index) const;

  /** Publishes the standard configuration as version 2, with a timeout of 30 s
   * for all routes, and waits until it is in force.
   * @throws std::runtime_error if it is not in time. */
  void PublishLongTimeouts();

  /** @return The entry of an endpoint, for a test that changes it. */
  nlohmann::json EntryOf(const std::string& kind,
                         std::size_t index,
                         const std::string& state) const;

  /** Publishes an endpoint's state. @param kind "engine" or "ledger". */
  void PublishEndpoint(const std::string& kind,
                       std::size_t index,
                       const std::string& state);

  /** Sends bytes and reads the response until the gateway closes. */
  RawAnswer Call(std::size_t gateway, const std::string& bytes) const;

  std::string LogPath(std::size_t index) const;

  /** @return The text of a gateway's log. */
  std::string Log(std::size_t index) const;

  /** @return The line of a gateway's log on the end of a request; or null. */
  nlohmann::json LogOf(std::size_t index, const std::string& request_id) const;

 private:
  std::string Address(int host, int port) const;
  std::string Seeds() const;
  const std::string& FailureDomainOf(std::size_t index) const {
    return this->plan.failure_domains.at(index %
                                         this->plan.failure_domains.size());
  }
  void StartEndpoint(const std::string& kind, std::size_t index);
  void PublishConfiguration();

  /** @return State and log of each gateway, for an error message. */
  std::string DescribeGateways();

  GatewayPlan plan;
  NetworkClaim claim;
  ScratchDirectory scratch;
  std::vector<int> unread_log_pipes;  ///< Log pipes that are never read.
  std::unique_ptr<PlatformStore> store;
  std::vector<std::unique_ptr<ScriptedEndpoint>> engines;
  std::vector<std::unique_ptr<ScriptedEndpoint>> ledgers;
  std::vector<std::unique_ptr<FaultProxy>> proxies;
  std::vector<std::unique_ptr<FaultProxy>> store_proxies;
  std::vector<std::unique_ptr<ChildProcess>> gateways;
};

/** Parts of a raw request of a caller. */
struct CallerText {
  std::string path = "/lookup/x";
  std::string id = "id-1";
  std::string key = kParishKey;
  std::string method = "POST";
  std::string body = "body";
  std::string more_fields;  ///< Lines with their CRLF.
  bool keeps_open = false;
};

/** @return The bytes of the HTTP/1.1 request. */
std::string TextOf(const CallerText& text);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_GATEWAY_FLEET_H_
