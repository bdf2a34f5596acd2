/** @file fault_proxy.h TCP proxy that injects faults. */

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

/** Direction of a message through the proxy. */
enum class Direction { kToEndpoint, kToRouter };

/** Faults of whole messages, in both directions. */
struct FrameFaults {
  std::chrono::milliseconds delay{};  ///< Added before each message.
  unsigned duplicate_every = 0;  ///< Sends every nth message twice; 0: none.
  unsigned reorder_every = 0;    ///< Sends every nth after the next; 0: none.
};

/** The unit in which the proxy reads and forwards data. */
enum class ProxyUnit {
  kFrame,  ///< A message after its length in four bytes.
  kBytes,  ///< The bytes of one read.
};

/**
 * Forwards messages between routers and one endpoint process and injects
 * faults. Use ProxyUnit::kBytes for other protocols.
 */
class FaultProxy {
 public:
  /**
   * Listens on one address and opens a connection to the target for each
   * connection accepted.
   * @throws std::runtime_error if the address cannot be bound.
   */
  FaultProxy(const SocketAddress& listen,
             SocketAddress target,
             ProxyUnit unit = ProxyUnit::kFrame);
  ~FaultProxy();

  /** Sets the faults of all later messages. */
  void SetFrameFaults(FrameFaults next);

  /** Shuts down every open connection. */
  void CutAll();

  /** Shuts down one direction of every open connection; the other goes on. */
  void CutDirection(Direction direction);

  /** Drops all later data of the open connections and leaves them open. */
  void SilenceOpen();

  /** Drops all later data of the open connections in one direction. */
  void SilenceOpen(Direction direction);

  /** Holds what comes from the endpoint back, of open and of new connections,
   * until it is released; nothing of it is lost. */
  void Hold();

  /** Forwards what was held back on the open connections; new ones are held
   * still. */
  void ReleaseOpen();

  /** Forwards all. */
  void Release() { this->is_holding = false; }

  /** Closes new connections at once, or serves them again. */
  void RefuseNew(bool refuse) { this->refusing = refuse; }

  /** Shuts down every open connection and refuses new ones, as the address of a
   * process that has crashed does, or accepts them again. */
  void SetDown(bool down);

  /** @return Number of connections forwarded so far. */
  std::size_t Accepted() const { return this->accepted; }

 private:
  struct ConnectionPair;

  /** @throws std::runtime_error if the address cannot be bound. */
  void Listen();
  void AcceptAll(const std::stop_token& stop);
  void Relay(const std::stop_token& stop,
             const std::shared_ptr<ConnectionPair>& connection,
             Direction direction);
  void ForwardFrame(ConnectionPair& connection,
                    Direction direction,
                    std::string frame);
  FrameFaults CurrentFaults();

  /** Waits while the data of a connection is held back. */
  void AwaitRelease(const std::stop_token& stop,
                    const ConnectionPair& connection,
                    Direction direction) const;

  std::vector<std::shared_ptr<ConnectionPair>> OpenConnections();

  SocketAddress address;
  SocketAddress target;
  ProxyUnit unit;
  std::atomic<int> listener = -1;  ///< Negative while the proxy is down.
  std::atomic<bool> is_down = false;
  std::mutex mutex;
  FrameFaults faults;
  std::vector<std::weak_ptr<ConnectionPair>> connections;
  std::atomic<bool> refusing = false;
  std::atomic<bool> is_holding = false;
  std::atomic<std::size_t> accepted = 0;
  std::vector<std::jthread> relays;
  std::jthread acceptor;
};

}  // namespace buckthornpath

#endif  // TEST_HARNESS_FAULT_PROXY_H_
