/** @file platform_adapter.h Interface between the gateway and a platform. */

#ifndef SRC_GATEWAY_PLATFORM_ADAPTER_H_
#define SRC_GATEWAY_PLATFORM_ADAPTER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "buckthornpath/endpoint_selector.h"
#include "buckthornpath/entry_order.h"
#include "buckthornpath/routing_table.h"
#include "buckthornpath/store_revision.h"
#include "kernel/settings.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

using HeaderFields = boost::beast::http::fields;

/** A header field of a caller's request is missing or ambiguous. */
class MalformedRequest : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** Properties of a request that its header states. */
struct CallerMetadata {
  std::string request_id;
  std::string api_key;  ///< Empty if there is none.
  std::optional<std::chrono::milliseconds> deadline;  ///< Set by the caller.
  std::vector<PromptSegment> segments;                ///< In prompt order.
  std::uint32_t output_tokens = 0;  ///< Most that it may generate; 0: unknown.
  /** The caller has events of the stream already. */
  bool is_taken_up = false;
  /** Id of the request that brought the first of them; empty if not stated. */
  std::string resumes;
};

/** Values that the gateway sets in the header of a forwarded request. */
struct ForwardMetadata {
  OrganisationId organisation;  ///< Not sent if empty.
  std::chrono::milliseconds time_left{};
  EndpointId endpoint;  ///< Another process at the address must refuse.
  int urgency = 0;      ///< 0 is the most urgent.
  bool is_model_request = false;
  std::optional<std::uint64_t> resume_after;  ///< Id of the last event relayed.
};

/** Properties of a response that its header states. */
struct ResponseMetadata {
  std::string request_id;
  bool is_from_endpoint = false;  ///< Carries the endpoint's response seal.
  bool not_executed = false;      ///< The endpoint did not run the request.
  bool leaving = false;           ///< The endpoint is about to stop.
  /** Time for which the endpoint wants no requests, if it refuses this one. */
  std::optional<std::chrono::milliseconds> retry_after;
  /** Time for which the endpoint says that it stays cold after its start. */
  std::chrono::milliseconds cold_remaining{};
  std::optional<SelfReportedLoad> load;
  /** Idle timeout of the connection at the endpoint, if stated. */
  std::optional<std::chrono::milliseconds> idle_timeout;
};

/** One item in the platform's store, not decoded. */
struct PublishedItem {
  std::string key;
  std::string value;
  StoreRevision revision;  ///< Position of the last change.
  bool removed = false;    ///< True: the value is empty.
};

/** Items at a revision of the platform's store. */
struct PublishedItems {
  StoreRevision revision;
  std::vector<PublishedItem> items;
  std::size_t unreadable = 0;  ///< Items left out, as they cannot be read.
  bool is_complete = true;     ///< False: a list that could not be read on.
};

/** The platform's store could not be read. */
class StoreUnavailable : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** The store does not hold the changes since the requested revision, or has
 * begun a new era. */
class StoreHistoryCompacted : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** Reads published items from the platform's store. */
class PublicationSource {
 public:
  virtual ~PublicationSource() = default;

  /**
   * Reads all items of one era, or those up to the point where the list cannot
   * be read on.
   * @param timeout Limit of the wait for each part of them.
   * @throws StoreUnavailable If the store does not answer.
   */
  virtual boost::asio::awaitable<PublishedItems> ReadAll(
      std::chrono::milliseconds timeout) = 0;

  /**
   * Waits for changes after a revision.
   * @param wait Limit of the wait; without changes no items are returned.
   * @param timeout Limit of the time to connect, and of the time until the
   * answer is complete in addition to the wait.
   * @throws StoreUnavailable If the store does not answer.
   * @throws StoreHistoryCompacted If it does not hold the changes, or has begun
   *     a new era.
   */
  virtual boost::asio::awaitable<PublishedItems> ReadChanges(
      StoreRevision after,
      std::chrono::milliseconds wait,
      std::chrono::milliseconds timeout) = 0;
};

/** An item that is not for the gateway or cannot be decoded. */
struct IgnoredItem {
  std::string reason;  ///< Empty if the item is not for the gateway.
};

/** No new requests go to the endpoints of a failure domain, until the item is
 * removed. */
struct DomainEvacuation {
  FailureDomainId domain;
};

/** A decoded item. */
using DecodedItem = std::variant<IgnoredItem,
                                 std::shared_ptr<const RoutingTable>,
                                 EndpointEntry,
                                 DomainEvacuation>;

/** Translates between the gateway and the formats of one platform. Stateless.
 */
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  /** @throws MalformedRequest If a field is missing or ambiguous. */
  virtual CallerMetadata ParseCallerHeader(
      const HeaderFields& header) const = 0;

  /** Fills the header of a request to an endpoint. */
  virtual void WriteForwardHeader(const HeaderFields& caller,
                                  const ForwardMetadata& metadata,
                                  HeaderFields& out) const = 0;

  virtual ResponseMetadata ParseResponseHeader(
      const HeaderFields& header) const = 0;

  /** @return True if a response field must not be passed to the caller. */
  virtual bool IsInternalField(const std::string& field_name) const = 0;

  /** Decodes an item that is not removed; yields to other work meanwhile. */
  virtual boost::asio::awaitable<DecodedItem> Decode(
      const PublishedItem& item) const = 0;

  /** @return What an item states of its place among those of its writer;
   * nothing if it does not, or cannot be read. */
  virtual std::optional<EntryOrder> OrderOf(
      const PublishedItem& item) const = 0;

  /** @return The endpoint that a key names; empty for other keys, and for names
   * that no endpoint can have. */
  virtual std::optional<EndpointId> EndpointIdFromKey(
      const std::string& key) const = 0;

  /** @return The failure domain whose evacuation a key names; empty for other
   * keys. */
  virtual std::optional<FailureDomainId> EvacuatedDomainFromKey(
      const std::string& key) const = 0;

  virtual std::unique_ptr<PublicationSource> MakeSource(
      const Settings& settings) const = 0;

  /** @return The adapter that is linked into the program.
   * @throws std::logic_error If there is none. */
  static const PlatformAdapter& Linked();

 protected:
  /** Makes Linked() return this adapter. */
  void Register();
};

/** @return True for a hop-by-hop header field (RFC 9110, 7.6.1), and for
 * Content-Length and Expect, which are set anew for each hop. */
bool IsHopByHopField(const HeaderFields& header,
                     const HeaderFields::value_type& field);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PLATFORM_ADAPTER_H_
