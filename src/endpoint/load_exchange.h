/** @file load_exchange.h Load reports between the endpoint processes. */

#ifndef SRC_ENDPOINT_LOAD_EXCHANGE_H_
#define SRC_ENDPOINT_LOAD_EXCHANGE_H_

#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <random>
#include <set>
#include <vector>

#include "buckthornpath/load_view.h"
#include "fleet/member_list.h"
#include "kernel/boot_clock.h"
#include "kernel/lock_order.h"
#include "kernel/role.h"

namespace buckthornpath {

/**
 * At each interval, sends a datagram with the own load and the youngest others
 * to a random endpoint process of the service, to the UDP port whose number is
 * that of its dialogue address; the peer answers with its own. A lost datagram
 * is replaced by the next.
 */
class LoadExchange {
 public:
  /**
   * Binds the UDP port.
   * @param own_load Counts the calls held here; called from any thread.
   */
  LoadExchange(const RoleContext& context,
               const MemberList& members,
               std::function<std::int64_t()> own_load);

  void Start();

  /** Tells no own load from now on, as this process takes no new work. */
  void StopReporting() { this->is_reporting = false; }

  /** Takes reports that came with a call. */
  void Note(const std::vector<LoadReport>& reports);

  /** @return The mean of the service if this process holds a number of calls.
   */
  LoadMean MeanWith(std::int64_t own) const;

  /** @return The least loaded other endpoints of the service. */
  std::vector<LoadReport> LeastLoaded(std::size_t count) const;

 private:
  asio::awaitable<void> SendAll();
  asio::awaitable<void> ReceiveAll();

  /** Sends the own load and the youngest others. */
  asio::awaitable<void> Send(asio::ip::udp::endpoint peer, bool is_answer);

  /** @return A datagram with the own load and the youngest others. */
  std::string NextDatagram(bool is_answer);

  /**
   * Reads a datagram; a malformed one is counted and dropped.
   * @return True if the sender is to be answered.
   */
  bool Read(const char* data, std::size_t size);

  /** @return The other endpoint processes of the service that take work. */
  std::vector<Member> Peers() const;

  /** Keeps reports of these endpoints only, now and later. */
  void KeepOnly(const std::vector<Member>& peers);

  /** @return Time since the start, suspended time included. */
  std::chrono::milliseconds Age() const;

  RoleContext context;
  const MemberList& members;
  std::function<std::int64_t()> own_load;
  EndpointId own;
  BootClock::time_point started = BootClock::now();
  std::mt19937_64 random;  ///< Used on the strand alone.
  Strand strand;
  asio::ip::udp::socket socket;  ///< Used on the strand alone.
  mutable OrderedMutex mutex{LockRank::kLoadView};
  LoadView view;
  std::set<EndpointId> taking_work;  ///< Others of the service.
  std::atomic<bool> is_reporting = true;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_LOAD_EXCHANGE_H_
