/** @file platform_store.h Fake of the platform's metadata store. */

#ifndef TEST_FAKES_PLATFORM_STORE_H_
#define TEST_FAKES_PLATFORM_STORE_H_

#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
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

/** Items with revisions; served by range and watch, written by the test. */
class PlatformStore {
 public:
  explicit PlatformStore(const SocketAddress& address);
  ~PlatformStore();

  /** Writes an item. @param value Not encoded; served as base64. */
  void Put(const std::string& key, const std::string& value);
  void Put(const std::string& key, const nlohmann::json& value) {
    this->Put(key, value.dump());
  }

  void Remove(const std::string& key);

  /** Removes an item without an event for the watches. */
  void RemoveUnseen(const std::string& key);

  /** Removes all events, so that watches from older revisions get 410. */
  void Compact();

  void SetMode(StoreMode mode);

 private:
  struct Event {
    std::uint64_t revision;
    nlohmann::json body;
  };

  asio::awaitable<void> Serve(HttpExchange& exchange);
  asio::awaitable<HttpResponse> Watch(std::uint64_t after,
                                      std::chrono::milliseconds wait);
  HttpResponse Range();
  nlohmann::json ItemBody(const std::string& key) const;

  std::mutex mutex;
  StoreMode mode = StoreMode::kServing;
  std::uint64_t revision = 100;
  std::uint64_t oldest_revision = 0;
  std::map<std::string, std::pair<std::string, std::uint64_t>> items;
  std::deque<Event> events;
  WorkerPool pool{1};
  HttpServer server;
  std::thread thread;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_PLATFORM_STORE_H_
