/** @file hostile_crowd.h Many callers that send more than they should. */

#ifndef TEST_HARNESS_HOSTILE_CROWD_H_
#define TEST_HARNESS_HOSTILE_CROWD_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "kernel/socket_address.h"

namespace buckthornpath {

/** What one hostile caller sends before it stays open without a word. */
struct HostileScript {
  std::string head;         ///< Sent first.
  std::string piece;        ///< Sent again and again.
  std::size_t repeats = 0;  ///< Times that `piece` is sent.
  std::string tail;         ///< Sent last.
};

/**
 * Callers on a thread of their own. Each sends its script as fast as it is
 * read, then stays open and reads until it is closed by the other side or by
 * the destructor.
 */
class HostileCrowd {
 public:
  explicit HostileCrowd(SocketAddress address);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  /** Starts this many callers. */
  void Add(std::size_t count, const HostileScript& script);

  /** @return True once each caller was closed, or has sent all and the other
   * side has read it. */
  bool IsSettled() const;

 private:
  struct Caller;

  void SendNext(const std::shared_ptr<Caller>& caller);
  void Settle(Caller& caller);
  void ReadOn(const std::shared_ptr<Caller>& caller);

  SocketAddress address;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::shared_ptr<Caller>> callers;
  std::atomic<std::size_t> settled = 0;
  std::thread thread;
};

}  // namespace buckthornpath

#endif  // TEST_HARNESS_HOSTILE_CROWD_H_
