/** @file platform_store.h Fake of the platform's metadata store. */

#ifndef TEST_FAKES_PLATFORM_STORE_H_
#define TEST_FAKES_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "kernel/http_server.h"

namespace buckthornpath {

/** How the store responds to its readers. */
enum class StoreMode {
  kServing,
  kBusy,    ///< Responds with status 503.
  kSilent,  ///< Responds only after 30 s.
};

/** How the store divides the list of items into pages. */
enum class PageMode {
  kSound,
  kRepeated,     ///< Answers each read with the first page.
  kOnlyTheFirst  ///< Responds to reads of later pages with status 503.
};

/** What becomes of watches. */
enum class WatchMode {
  kSound,
  kCut,   ///< Ends within the response, unless the watch waits for a moment.
  kGone,  ///< Responds with status 410.
  kHasty  ///< Responds without changes at once, whatever the time to wait.
};

/** Calls that the store has received. */
struct StoreCalls {
  std::size_t range = 0;
  std::size_t watch = 0;
  std::size_t malformed = 0;  ///< Responded to with status 400.
};

/** A change of an item, as served. */
struct StoreEvent {
  std::uint64_t revision;
  std::string body;
};

/** What the store held at a moment. */
struct StoreCopy {
  std::uint64_t revision;
  std::uint64_t oldest_revision;
  std::map<std::string, std::string> items;  ///< As served, by key.
  std::deque<StoreEvent> events;
};

/** What becomes of the watches that wait when the store comes back. */
enum class OpenWatches {
  kEnd,   ///< Respond with status 410 if the copy lacks their revision.
  kGoOn,  ///< Respond with the next events whose revisions are greater.
};

/**
 * Items with revisions; served by range and watch, written by the test. The
 * query of a request is decoded as a form is, and a request that is not sound
 * is responded to with status 400.
 */
class PlatformStore {
 public:
  explicit PlatformStore(const SocketAddress& address);
  ~PlatformStore();

  /** Writes an item. @param value Not encoded; served as base64. */
  void Put(const std::string& key, const std::string& value);
  void Put(const std::string& key, const nlohmann::json& value) {
    this->Put(key, value.dump());
  }

  /** Writes an item that another writer or the store itself made odd.
   * @param text Served in the place of the key, and as an event. */
  void PutRaw(const std::string& key, const std::string& text);

  void Remove(const std::string& key);

  /** Removes an item without an event for the watches. */
  void RemoveUnseen(const std::string& key);

  /** Removes all events, so that watches from older revisions get 410. */
  void Compact();

  void SetMode(StoreMode mode);
  void SetPages(PageMode pages);
  void SetWatches(WatchMode watches);

  /** @param items Maximum number of items of a page. */
  void SetPageSize(std::size_t items);

  StoreCalls Calls();

  std::uint64_t Era();

  /** @return What the store holds now. */
  StoreCopy TakeCopy();

  /** Begins a new era with what a copy holds; all written since is lost. */
  void ComeBackFrom(const StoreCopy& copy,
                    OpenWatches open_watches = OpenWatches::kEnd);

  /** Comes back from a copy as soon as a page of a list has been served that
   * others follow. */
  void ComeBackWithinList(const StoreCopy& copy);

  /** Sets the era that is stated; what is held stays. */
  void SetEra(std::uint64_t next);

  /** @param sends False: like a store that states no era. */
  void SetSendsEra(bool sends);

 private:
  /** Parameters of a query, decoded. */
  using Parameters = std::map<std::string, std::string>;

  asio::awaitable<void> Serve(HttpExchange& exchange);

  /** @return True if a watch is to be cut; counts it then. */
  bool TakesToCut(const HttpRequest& request);
  asio::awaitable<HttpResponse> Respond(const HttpRequest& request);
  asio::awaitable<HttpResponse> Watch(Parameters parameters);
  HttpResponse Range(const Parameters& parameters);
  HttpResponse RefuseMalformed();

  /** Begins a new era. @pre The mutex is locked. */
  void Replace(const StoreCopy& copy);

  /** @return True if a watch from a revision gets status 410.
   * @param era Era in which the watch began. */
  bool LacksHistory(std::uint64_t after, std::uint64_t era) const;

  /** Adds the era to a response, unless it has one.
   * @pre The mutex is locked. */
  HttpResponse WithEra(HttpResponse response) const;
  void Write(const std::string& key, std::string body);

  std::mutex mutex;
  StoreMode mode = StoreMode::kServing;
  PageMode pages = PageMode::kSound;
  WatchMode watches = WatchMode::kSound;
  std::size_t page_size = std::numeric_limits<std::size_t>::max();
  StoreCalls calls;
  std::uint64_t revision = 100;
  std::uint64_t oldest_revision = 0;
  std::map<std::string, std::string> items;  ///< As served, by key.
  std::deque<StoreEvent> events;
  std::uint64_t era = 1;
  bool sends_era = true;
  std::optional<StoreCopy> copy_within_list;
  OpenWatches open_watches = OpenWatches::kEnd;
  WorkerPool pool{1};
  HttpServer server;
  std::thread thread;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_PLATFORM_STORE_H_
