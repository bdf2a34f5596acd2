/** @file metadata_store.h Stand-in of the platform's metadata store. */

#ifndef REVIEW_COMMON_METADATA_STORE_H_
#define REVIEW_COMMON_METADATA_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "record.h"

namespace review {

/** What happens to an answer of the store. */
enum class AnswerFate {
  kSent,
  kLost,  ///< It is not sent; the connection stays open and silent.
};

/** Store with range reads and watches over HTTP. */
class MetadataStore {
 public:
  /** Decides on an answer with these keys, just before it is sent. */
  using FateOf =
      std::function<AnswerFate(const std::vector<std::string>& keys)>;

  MetadataStore(const Address& address, Record& record);
  ~MetadataStore();

  /** Writes an item. @return Time of the acknowledgement. */
  TimePoint Put(const std::string& key, const std::string& value);

  /** Removes an item. @return Time of the acknowledgement. */
  TimePoint Remove(const std::string& key);

  /** Sets what happens to the answers of watches; all are sent by default. */
  void SetFate(FateOf fate_of);

  /** Waiting watches are cut after this time; zero: never. */
  void SetWatchLimit(milliseconds limit);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key;
    std::string body;
  };

  void AcceptConnections();
  void Serve(const Socket& socket);
  std::string Range() const;
  /** @return False if the watch is to end without an answer. */
  bool Watch(const std::string& target,
             std::string& answer,
             std::vector<std::string>& keys);
  static std::string ItemBody(const std::string& key, const Item& item);

  Record& record;
  Socket listener;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::uint64_t revision = 1;
  FateOf fate_of;
  milliseconds watch_limit{0};
  bool is_stopping = false;
  std::list<Socket> connections;
  std::list<std::thread> threads;
  std::thread acceptor;
};

}  // namespace review

#endif  // REVIEW_COMMON_METADATA_STORE_H_
