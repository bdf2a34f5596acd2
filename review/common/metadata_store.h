/** @file metadata_store.h Stand-in of the platform's metadata store. */

#ifndef REVIEW_COMMON_METADATA_STORE_H_
#define REVIEW_COMMON_METADATA_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "record.h"

namespace review {

/** Store with range reads and watches over HTTP. */
class MetadataStore {
 public:
  MetadataStore(const Address& address, Record& record);
  ~MetadataStore();

  /** Writes an item. @return Time of the acknowledgement. */
  TimePoint Put(const std::string& key, const std::string& value);

  /** Removes an item. @return Time of the acknowledgement. */
  TimePoint Remove(const std::string& key);

  /** While it is silent, calls are accepted and never answered. */
  void SetSilent(bool silent);

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
  std::string Watch(const std::string& target);
  static std::string ItemBody(const std::string& key, const Item& item);

  Record& record;
  Socket listener;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::uint64_t revision = 1;
  bool is_silent = false;
  bool is_stopping = false;
  std::list<Socket> connections;
  std::list<std::thread> threads;
  std::thread acceptor;
};

}  // namespace review

#endif  // REVIEW_COMMON_METADATA_STORE_H_
