/** @file load_exchange.h Exchanges load reports between endpoint processes. */

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
 * Gossip of load reports. At each interval, sends a UDP datagram with the own
 * load and the most recent reports of others to a random endpoint process of
 * the service; the peer replies with its own. The UDP port has the number of
 * the TCP port in `dialogue_address`. Lost datagrams are not sent again: the
 * next one carries newer reports.
 */
class LoadExchange {
 public:
  /**
   * Binds the UDP port.
   * @param own_load Returns the number of calls queued and running; called
   *     from any thread.
   */
  LoadExchange(const RoleContext& context,
               const MemberList& members,
               std::function<std::int64_t()> own_load);

  void Start();

  /** Leaves the own load out from now on, as this process takes no new
   * calls. */
  void StopReporting() { this->is_reporting = false; }

  /** Adds reports, from a peer or from a call; those of endpoints that are not
   * peers are ignored. */
  void AddReports(const std::vector<LoadReport>& reports);

  /** @param load Load of this process.
   * @return The mean load of the service. */
  LoadMean MeanLoad(std::int64_t load) const;

  /** @return Up to `count` reports of peers, least load first. */
  std::vector<LoadReport> LeastLoaded(std::size_t count) const;

 private:
  asio::awaitable<void> SendPeriodically();
  asio::awaitable<void> ReceiveDatagrams();

  /** Sends one datagram; a failure is counted in the metrics. */
  asio::awaitable<void> Send(asio::ip::udp::endpoint peer, bool is_reply);

  /** @return A datagram with the own load and the most recent reports. */
  std::string EncodeNextDatagram(bool is_reply);

  /**
   * Handles a datagram; a malformed one is counted in the metrics and dropped.
   * @return True if the sender expects a reply.
   */
  bool HandleDatagram(const char* data, std::size_t size);

  /** @return The other live endpoint processes of the service. */
  std::vector<Member> Peers() const;

  /** Sets the endpoints whose reports are accepted and drops other reports. */
  void SetPeers(const std::vector<Member>& peers);

  /** @return Time since the start, suspended time included. */
  std::chrono::milliseconds TimeSinceStart() const;

  RoleContext context;
  const MemberList& members;
  std::function<std::int64_t()> own_load;
  EndpointId self;
  BootClock::time_point started = BootClock::now();
  std::mt19937_64 random;  ///< Used on the strand only.
  Strand strand;
  asio::ip::udp::socket socket;  ///< Used on the strand only.
  mutable OrderedMutex mutex{LockRank::kLoadView};
  LoadView view;
  std::set<EndpointId> active_peers;  ///< Endpoints whose reports are accepted.
  std::atomic<bool> is_reporting = true;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_LOAD_EXCHANGE_H_
