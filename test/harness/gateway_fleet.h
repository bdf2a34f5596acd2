/** @file gateway_fleet.h Gateways before a stand-in of the platform. */

#ifndef TEST_HARNESS_GATEWAY_FLEET_H_
#define TEST_HARNESS_GATEWAY_FLEET_H_

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

/** What a fleet of gateways is made of. */
struct GatewayPlan {
  std::size_t gateways = 1;
  /** Endpoints of the service "llm", then of "ledger". */
  std::size_t engines = 1;
  std::size_t ledgers = 1;
  /** Settings that differ from the defaults. */
  nlohmann::json settings = nlohmann::json::object();
  bool publishes_configuration = true;
  bool proxied = false;      ///< Gateways reach endpoints through a FaultProxy.
  bool stalls_logs = false;  ///< Nobody reads what the gateways log.
};

/** Key of the organisation "parish" in the configuration of the fleet. */
inline constexpr const char* kParishKey = "parish-key";

/**
 * @return Configuration with the routes /talk/ (resumable stream), /draft/
 * (stream), /issue/ (once) and /lookup/ (idempotent) of host "h.example".
 */
nlohmann::json StandardConfiguration(std::uint64_t version);

/** The store, scripted endpoints and gateways of one test. */
class GatewayFleet {
 public:
  /** Starts all and waits until the gateways are ready. */
  explicit GatewayFleet(const GatewayPlan& plan);
  ~GatewayFleet();

  PlatformStore& Store() { return *this->store; }
  ScriptedEndpoint& Engine(std::size_t index) {
    return *this->engines.at(index);
  }
  ScriptedEndpoint& Ledger(std::size_t index) {
    return *this->ledgers.at(index);
  }
  /** @return Proxies before the engines, then before the ledgers. */
  FaultProxy& Proxy(std::size_t index) { return *this->proxies.at(index); }
  std::size_t ProxyCount() const { return this->proxies.size(); }
  ChildProcess& Gateway(std::size_t index) { return *this->gateways.at(index); }
  SocketAddress Caller(std::size_t index) const;
  SocketAddress Operator(std::size_t index) const;

  /** Starts a gateway again. */
  void Restart(std::size_t index);

  bool IsReady(std::size_t index) const;

  /** Publishes an endpoint. @param kind "engine" or "ledger". */
  void PublishEndpoint(const std::string& kind,
                       std::size_t index,
                       const std::string& state);

  /** Sends a request and reads what comes until the other side closes. */
  RawAnswer Call(std::size_t gateway, const std::string& bytes) const;

  /** @return Path of the log of a gateway. */
  std::string LogPath(std::size_t index) const;

  /** @return The log of a gateway. */
  std::string Log(std::size_t index) const;

  /** @return A line of a gateway's log that names the request. */
  nlohmann::json LogOf(std::size_t index, const std::string& request_id) const;

 private:
  std::string Address(int host, int port) const;
  std::string Seeds() const;
  void StartEndpoint(const std::string& kind, std::size_t index);

  GatewayPlan plan;
  NetworkClaim claim;
  ScratchDirectory scratch;
  std::vector<int> stalled;  ///< Pipes that take logs and are never read.
  std::unique_ptr<PlatformStore> store;
  std::vector<std::unique_ptr<ScriptedEndpoint>> engines;
  std::vector<std::unique_ptr<ScriptedEndpoint>> ledgers;
  std::vector<std::unique_ptr<FaultProxy>> proxies;
  std::vector<std::unique_ptr<ChildProcess>> gateways;
};

/** Parts of a caller's request. */
struct CallerText {
  std::string path = "/lookup/x";
  std::string id = "id-1";
  std::string key = kParishKey;
  std::string method = "POST";
  std::string body = "body";
  std::string more_fields;  ///< Whole lines.
  bool keeps_open = false;
};

/** @return The bytes of a request. */
std::string TextOf(const CallerText& text);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_GATEWAY_FLEET_H_
