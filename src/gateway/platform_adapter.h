/** @file platform_adapter.h What the gateway asks of a platform's adapter. */

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

#include "buckthornpath/endpoint_board.h"
#include "buckthornpath/routing_table.h"
#include "kernel/settings.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

using HeaderFields = boost::beast::http::fields;

/** A caller's request lacks a field or holds an ambiguous one. */
class RequestMalformed : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** What a caller's header says of its request. */
struct CallerFacts {
  std::string request_id;
  std::string api_key;  ///< Empty if there is none.
  std::optional<std::chrono::milliseconds> deadline;  ///< Caller's patience.
  std::vector<PromptPart> parts;  ///< Parts of the prompt, in order.
};

/** What the gateway sets in a request to an endpoint. */
struct ForwardFacts {
  OrganisationId organisation;  ///< Empty: none is set.
  std::chrono::milliseconds time_left{};
  EndpointId endpoint;  ///< Any other process there is to refuse.
  int urgency = 0;      ///< 0 is the most urgent.
  bool is_model_request = false;
  std::optional<std::uint64_t> resume_after;  ///< Last event passed on.
};

/** What an endpoint's header says of its answer. */
struct AnswerFacts {
  std::string request_id;
  bool is_genuine = false;    ///< Bears the endpoint's proof of origin.
  bool not_executed = false;  ///< The endpoint did not run the request.
  std::optional<StatedLoad> load;
  /** How long the endpoint keeps the connection when idle, if stated. */
  std::optional<std::chrono::milliseconds> idle_time;
};

/** One item that the platform publishes, as it lies there. */
struct PublishedItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< Of its last change.
  bool removed = false;        ///< True: the value is empty.
};

/** Items as of a revision of the platform's store. */
struct PublishedItems {
  std::uint64_t revision = 0;
  std::vector<PublishedItem> items;
};

/** The platform's store could not be read; nothing is known. */
class StoreUnavailable : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** Changes since the revision asked for are no longer held. */
class StoreHistoryLost : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

/** Reads what the platform publishes. */
class PublicationSource {
 public:
  virtual ~PublicationSource() = default;

  /**
   * Reads all items.
   * @throws StoreUnavailable If the store does not answer.
   */
  virtual boost::asio::awaitable<PublishedItems> ReadAll() = 0;

  /**
   * Waits for changes after a revision.
   * @param wait Longest wait; no items are returned if nothing changed.
   * @throws StoreUnavailable, StoreHistoryLost
   */
  virtual boost::asio::awaitable<PublishedItems> ReadChanges(
      std::uint64_t after,
      std::chrono::milliseconds wait) = 0;
};

/** An item says nothing to the gateway, or cannot be read. */
struct UnusableItem {
  std::string reason;  ///< Empty if the item is none of the gateway's.
};

/** What an item means. */
using PublishedMeaning = std::
    variant<UnusableItem, std::shared_ptr<const RoutingTable>, EndpointEntry>;

/** Translates between the gateway and one platform. Stateless. */
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  /** @throws RequestMalformed If the header cannot be passed on. */
  virtual CallerFacts ReadCaller(const HeaderFields& header) const = 0;

  /** Fills the header of a request to an endpoint. */
  virtual void WriteForward(const HeaderFields& caller,
                            const ForwardFacts& facts,
                            HeaderFields& out) const = 0;

  virtual AnswerFacts ReadAnswer(const HeaderFields& header) const = 0;

  /** @return True if the caller is not to see a field of an answer. */
  virtual bool IsInternal(const std::string& field_name) const = 0;

  /** Decodes an item that is not removed, in turns with other work. */
  virtual boost::asio::awaitable<PublishedMeaning> Decode(
      const PublishedItem& item) const = 0;

  /** @return The endpoint that an item's key names; nothing for other keys. */
  virtual std::optional<EndpointId> EndpointOfKey(
      const std::string& key) const = 0;

  virtual std::unique_ptr<PublicationSource> MakeSource(
      const Settings& settings) const = 0;

  /** @return The adapter that is linked in. @throws std::logic_error If none.
   */
  static const PlatformAdapter& Linked();

 protected:
  /** Registers this adapter as the one that is linked in. */
  void Register();
};

/** @return True for a header field that concerns one connection only. */
bool IsConnectionField(const HeaderFields& header,
                       const HeaderFields::value_type& field);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PLATFORM_ADAPTER_H_
