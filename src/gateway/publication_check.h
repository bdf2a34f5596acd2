/** @file publication_check.h Asks the store whether something is not known
 * here.
 */

#ifndef SRC_GATEWAY_PUBLICATION_CHECK_H_
#define SRC_GATEWAY_PUBLICATION_CHECK_H_

#include <chrono>
#include <memory>

#include "gateway/gateway_state.h"
#include "gateway/publication_follower.h"
#include "gateway/wake_signal.h"

namespace buckthornpath {

/**
 * Confirms, for requests that wait for it, that this process knows all software
 * versions that had been published at a time, and that the entries in force are
 * those of that time. Others are told late of what was published, and a word of
 * theirs, or an answer of the store, may be held back on its way; so the store
 * is asked anew, and its answer counts as of the time of the question. What it
 * tells is not applied here. Not thread-safe.
 */
class PublicationCheck {
 public:
  using Clock = std::chrono::steady_clock;

  PublicationCheck(GatewayState& state, const PublicationFollower& follower);

  void Start();

 private:
  /** Asks soon whether all that was published before a time is known. Requests
   * repeat this until it is. */
  void Request(Clock::time_point published_before);

  /** @return True if a request waits for word of the store. */
  bool IsWanted(Clock::time_point now) const;

  asio::awaitable<void> Run();

  /** @return Time between questions that are answered. */
  std::chrono::milliseconds Interval() const;

  /** Asks the store once.
   * @throws StoreUnavailable, StoreHistoryCompacted */
  asio::awaitable<void> Check();

  /** What changes mean that are not known yet. */
  enum class Finding {
    kNothingNew,
    kOtherVersion,  ///< An endpoint in use has another version now.
    kOtherTable     ///< Routes may use other services.
  };

  /** Records the versions of changes. */
  asio::awaitable<Finding> RecordVersions(PublishedItems changes);

  /** @return True if an entry gives a known endpoint another version. */
  bool IsOtherVersion(const EndpointEntry& entry) const;

  GatewayState& state;
  const PublicationFollower& follower;
  std::unique_ptr<PublicationSource> source;
  WakeSignal wake;
  Clock::time_point published_before{};  ///< The latest that is wanted.
  Clock::time_point requested_at{};
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PUBLICATION_CHECK_H_
