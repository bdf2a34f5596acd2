/** @file configuration_client.h Keeps the configuration up to date. */

#ifndef SRC_FLEET_CONFIGURATION_CLIENT_H_
#define SRC_FLEET_CONFIGURATION_CLIENT_H_

#include <chrono>
#include <functional>
#include <random>

#include "fleet/configuration_store.h"
#include "fleet/gossip.h"
#include "fleet/member_list.h"
#include "kernel/http_client.h"

namespace buckthornpath {

/**
 * Follows the index that the configuration service publishes, fetches the
 * documents that changed and activates each valid configuration. A few
 * processes of each failure domain, the watchers, long-poll the service. The
 * others poll it at intervals and learn of changes by gossip. Runs on the
 * strand of the gossip.
 */
class ConfigurationClient {
 public:
  ConfigurationClient(const Settings& settings,
                      ConfigurationStore& store,
                      const MemberList& members,
                      Gossip& gossip)
      : settings(settings), store(store), members(members), gossip(gossip) {}

  /** Polls the service forever; failures are logged and retried. */
  asio::awaitable<void> Follow();

  /** Fetches a newer index and its documents from a peer that announced it. */
  asio::awaitable<void> AdoptFromPeer(GossipAddress peer, IndexVersion version);

  /** @return Uptime() at which the last request to the service ended. */
  std::chrono::milliseconds LastPollAt() const { return this->last_poll_at; }

  /** @return True while an index or its documents are being fetched. */
  bool IsFetching() const { return this->fetch_count > 0; }

 private:
  using ReadDocument =
      std::function<asio::awaitable<std::string>(const std::string& name,
                                                 const std::string& digest)>;

  /** Waits until no other index is being applied, so that one is at a time. */
  asio::awaitable<void> WaitWhileApplying();

  /**
   * Fetches an index from a peer and applies it.
   * @throws PeerFailed, HttpError, InvalidDocument If it cannot be read.
   */
  asio::awaitable<void> FetchFromPeer(GossipAddress peer, IndexVersion version);

  /**
   * Reads the index from the service if it differs from the one read last.
   * @param wait Time for which the service may hold the request open until the
   *     index changes.
   * @throws HttpError, PeerFailed If the index or a document cannot be read.
   */
  asio::awaitable<void> PollService(std::chrono::milliseconds wait);

  /** Applies an index read from the service if it is newer. */
  asio::awaitable<void> ApplyFromService(const std::string& text);

  /**
   * Reads the documents that changed, then activates the configuration or
   * records why it is invalid.
   * @param source "service" or "peer", for the log.
   * @throws HttpError, PeerFailed If a document cannot be read or does not
   * match its digest in the index.
   */
  asio::awaitable<void> Apply(const Index& index,
                              const char* source,
                              const ReadDocument& read);

  /** @throws HttpError If there is no answer, or none with 200 or 304. */
  asio::awaitable<HttpResponse> Read(std::string target, HttpTimeouts timeouts);

  /**
   * Reads a document from the service, or from a peer if the service already
   * holds another revision of it.
   * @throws HttpError, PeerFailed
   */
  asio::awaitable<std::string> ReadAtService(std::string name,
                                             std::string digest);

  void Refuse(const IndexVersion& version, const InvalidDocument& refused);
  std::chrono::milliseconds Jitter(std::chrono::milliseconds time);
  bool IsWatcher() const;

  const Settings& settings;
  ConfigurationStore& store;
  const MemberList& members;
  Gossip& gossip;
  std::string known_version;   ///< X-Version of the index read last.
  std::string last_malformed;  ///< Last index text that failed to parse.
  IndexVersion last_stale;     ///< Last older index that was reported.
  std::chrono::milliseconds last_poll_at{};
  int fetch_count = 0;
  bool is_adopting = false;  ///< AdoptFromPeer() is running.
  bool is_applying = false;  ///< An index is being applied.
  /** The newest index announced while another is being fetched. */
  std::optional<std::pair<GossipAddress, IndexVersion>> announced;
  std::minstd_rand random{std::random_device{}()};
};

}  // namespace buckthornpath

#endif  // SRC_FLEET_CONFIGURATION_CLIENT_H_
