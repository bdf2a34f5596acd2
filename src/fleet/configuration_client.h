/** @file configuration_client.h Follows the published configuration. */

#ifndef SRC_FLEET_CONFIGURATION_CLIENT_H_
#define SRC_FLEET_CONFIGURATION_CLIENT_H_

#include <chrono>
#include <functional>
#include <random>

#include "fleet/configuration_store.h"
#include "fleet/gossip.h"
#include "fleet/member_list.h"

namespace buckthornpath {

/**
 * Follows the published index at the service and at peers, reads the documents
 * that changed and puts each accepted configuration in force. A few processes
 * of each failure domain watch the service; the others ask it now and then and
 * learn of changes by gossip. Runs on the strand of the gossip.
 */
class ConfigurationClient {
 public:
  ConfigurationClient(const Settings& settings,
                      ConfigurationStore& store,
                      const MemberList& members,
                      Gossip& gossip)
      : settings(settings), store(store), members(members), gossip(gossip) {}

  /** Follows the service for ever; faults are logged and retried. */
  asio::awaitable<void> Follow();

  /** Fetches a greater index and its documents from a peer. */
  asio::awaitable<void> AdoptFromPeer(GossipAddress peer, IndexStamp stamp);

  /** @return Uptime at which the service last answered or failed to. */
  std::chrono::milliseconds AskedServiceAt() const { return this->asked_at; }

  /** @return True while something is being fetched. */
  bool IsFetching() const { return this->fetching > 0; }

 private:
  using ReadDocument =
      std::function<asio::awaitable<std::string>(const std::string& name,
                                                 const std::string& digest)>;

  /** Waits until no other index is being applied. */
  asio::awaitable<void> WaitForTurn();

  /** Fetches one index from a peer and puts it in force. */
  asio::awaitable<void> FetchFromPeer(GossipAddress peer, IndexStamp stamp);

  /** Asks the service for an index other than the one read last. */
  asio::awaitable<void> AskService(std::chrono::milliseconds wait);

  /** Puts an index that the service gave in force, if it is wanted. */
  asio::awaitable<void> TakeFromService(const std::string& text);

  /** Reads what changed and puts the index in force or refuses it. */
  asio::awaitable<void> Apply(const Index& index,
                              const char* source,
                              const ReadDocument& read);

  asio::awaitable<HttpResponse> Read(std::string target,
                                     std::chrono::milliseconds timeout);

  /** Reads a document at the service, or at a peer if it is another there. */
  asio::awaitable<std::string> ReadAtService(std::string name,
                                             std::string digest);

  void Refuse(const IndexStamp& stamp, const DocumentRefused& refused);
  std::chrono::milliseconds Jitter(std::chrono::milliseconds time);
  bool IsWatcher() const;

  const Settings& settings;
  ConfigurationStore& store;
  const MemberList& members;
  Gossip& gossip;
  std::string known_version;  ///< The service's version of the last index.
  std::string malformed;      ///< The last index that could not be read.
  IndexStamp stale;           ///< The last index below the one in force.
  std::chrono::milliseconds asked_at{};
  int fetching = 0;
  bool is_adopting = false;  ///< A peer's announcements are being handled.
  bool is_applying = false;  ///< Documents of an index are being read.
  /** The greatest index announced while another is fetched. */
  std::optional<std::pair<GossipAddress, IndexStamp>> announced;
  std::minstd_rand random{std::random_device{}()};
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_CONFIGURATION_CLIENT_H_
