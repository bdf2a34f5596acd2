/** @file configuration_client.h Reads and watches the configuration service. */

#ifndef SRC_FLEET_CONFIGURATION_CLIENT_H_
#define SRC_FLEET_CONFIGURATION_CLIENT_H_

#include <chrono>

#include "fleet/configuration_store.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** Follows the published index and puts each accepted one in force. */
class ConfigurationClient {
 public:
  ConfigurationClient(ConfigurationStore& store,
                      SocketAddress service,
                      std::chrono::milliseconds watch_wait)
      : store(store), service(std::move(service)), watch_wait(watch_wait) {}

  /** Follows the service for ever; faults are logged and retried. */
  asio::awaitable<void> Follow();

 private:
  /** Waits for an index other than the one read last. @throws HttpError */
  asio::awaitable<std::string> WatchIndex();

  /** Reads the documents that changed and puts all in force. */
  asio::awaitable<void> Apply(const Index& index);

  ConfigurationStore& store;
  SocketAddress service;
  std::chrono::milliseconds watch_wait;
  std::string known_version;  ///< The service's version of the last index.
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_CONFIGURATION_CLIENT_H_
