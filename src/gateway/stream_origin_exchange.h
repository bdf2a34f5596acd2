/** @file stream_origin_exchange.h Tells gateways what has begun streams. */

#ifndef SRC_GATEWAY_STREAM_ORIGIN_EXCHANGE_H_
#define SRC_GATEWAY_STREAM_ORIGIN_EXCHANGE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "buckthornpath/stream_broadcast.h"
#include "buckthornpath/stream_origin_lookups.h"
#include "buckthornpath/stream_outbox.h"
#include "gateway/gateway_state.h"
#include "gateway/stream_news.h"
#include "gateway/wake_signal.h"

namespace buckthornpath {

/**
 * Tells other gateways which software versions have begun this gateway's
 * streams, so that a caller can take one up after this process has died, and
 * asks them about streams that callers take up here.
 */
class StreamOriginExchange {
 public:
  using Clock = std::chrono::steady_clock;

  /** Sends a datagram to gateways. */
  using Sender = std::function<void(const std::vector<std::string>& addresses,
                                    const StreamNews& news)>;

  StreamOriginExchange(GatewayState& state, Sender send);

  /** Starts sending. */
  void Start();

  /** Handles what another gateway tells or asks. */
  void Handle(const GatewayMember& sender, const StreamNews& news);

  /** Follows changes of the roster; a gateway that is new, or has started
   * again, is told the newest streams: a witness at once, the others one in a
   * call. */
  void UpdateWitnesses();

  /** @return Addresses of the gateways that are told of this one's streams. */
  const std::vector<std::string>& Witnesses() const { return this->witnesses; }

 private:
  asio::awaitable<void> Run();
  asio::awaitable<std::optional<StreamOrigin>> Ask(StreamKey stream);

  /** Asks gateways, and records what they answer. */
  asio::awaitable<void> AskGateways(StreamKey stream,
                                    std::vector<std::string> gateways);

  void SendAnnouncements(Clock::time_point now);
  void SendCopies(Clock::time_point now);
  void SendQuestions(Clock::time_point now);
  void EndLookups(Clock::time_point now);
  void Answer(const std::string& sender, const std::vector<StreamKey>& streams);

  /** Records what the gateway that began streams says, or one that hands it on.
   * @param is_copy False: this process is a witness. */
  void RecordNews(const GatewayMember& sender,
                  const std::vector<StreamRecord>& records,
                  bool is_copy);

  /** Notes which gateways have to be told the newest streams. */
  void FindNewReceivers(const std::vector<std::string>& addresses,
                        std::map<std::string, std::uint64_t>& known_runs,
                        std::vector<std::string>& added) const;

  /** Sends items in as many datagrams as they need. */
  template <class Item>
  void SendAll(const std::vector<std::string>& addresses,
               std::vector<Item> StreamNews::*part,
               const std::vector<Item>& items);

  GatewayState& state;
  Sender send;
  WakeSignal wake;  ///< Something is to be sent, or a lookup may have ended.
  StreamOutbox outbox;
  StreamOriginLookups lookups;
  std::vector<std::string> witnesses;
  std::map<std::string, std::uint64_t> witness_runs;  ///< By address.
  StreamBroadcast copies;  ///< Of this gateway's streams.
  std::vector<std::string> copy_receivers;
  std::map<std::string, std::uint64_t> copy_receiver_runs;  ///< By address.
  std::vector<std::string> new_copy_receivers;              ///< Not told yet.
  StreamBroadcast relayed;  ///< Copies from other failure domains.
  std::vector<std::string> relay_receivers;
  std::vector<std::string> gateways_to_ask;
  std::vector<std::string> gateways_to_ask_next;
  /** Requests that wait for a lookup. */
  std::multimap<StreamKey, std::shared_ptr<WakeSignal>> waiting;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_STREAM_ORIGIN_EXCHANGE_H_
