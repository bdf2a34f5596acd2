/** @file fault_proxy.h Faults on the connections to an endpoint process. */

#ifndef TEST_HARNESS_FAULT_PROXY_H_
#define TEST_HARNESS_FAULT_PROXY_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "kernel/socket_address.h"

namespace buckthornpath {

/** Which way messages go. */
enum class Direction { kToEndpoint, kToRouter };

/** What happens to whole messages that pass, in both directions. */
struct FrameFaults {
  std::chrono::milliseconds delay{};  ///< Before each message.
  unsigned double_every = 0;          ///< Sends each nth message twice.
  unsigned swap_every = 0;            ///< Sends each nth after its successor.
};

/** What passes as one piece. */
enum class ProxyUnit {
  kFrame,  ///< A message with its length in four bytes.
  kBytes,  ///< Whatever arrives together.
};

/**
 * Passes messages between routers and one endpoint process. Other
 * protocols pass as bytes.
 */
class FaultProxy {
 public:
  /** Listens on one address and connects to another for each connection. */
  FaultProxy(const SocketAddress& listen,
             SocketAddress target,
             ProxyUnit unit = ProxyUnit::kFrame);
  ~FaultProxy();

  /** Sets the faults of the messages from now on. */
  void SetFrameFaults(FrameFaults next);

  /** Cuts every open connection. */
  void CutAll();

  /** Ends one direction of every open connection; the other goes on. */
  void CutDirection(Direction direction);

  /** Passes nothing more on open connections and leaves them open. */
  void SilenceOpen();

  /** Passes nothing more in one direction of open connections. */
  void SilenceOpen(Direction direction);

  /** Refuses new connections, or accepts them again. */
  void RefuseNew(bool refuse) { this->refusing = refuse; }

  /** @return Number of connections accepted. */
  std::size_t Accepted() const { return this->accepted; }

 private:
  struct Link;

  void AcceptAll(const std::stop_token& stop);
  void Relay(const std::stop_token& stop,
             const std::shared_ptr<Link>& link,
             Direction direction);
  void PassFrame(Link& link, Direction direction, std::string frame);
  FrameFaults Faults();

  /** @return The connections that are open. */
  std::vector<std::shared_ptr<Link>> OpenLinks();

  SocketAddress target;
  ProxyUnit unit;
  int listener = -1;
  std::mutex mutex;
  FrameFaults faults;
  std::vector<std::weak_ptr<Link>> links;
  std::atomic<bool> refusing = false;
  std::atomic<std::size_t> accepted = 0;
  std::vector<std::jthread> relays;
  std::jthread acceptor;
};

}  // namespace buckthornpath

#endif  // TEST_HARNESS_FAULT_PROXY_H_
