/** @file stand_ins.h Stand-ins of the third review: store, model replicas,
 * requesters and the gateway processes under test, on loopback addresses. */

#ifndef REVIEW_COMMON_3_STAND_INS_H_
#define REVIEW_COMMON_3_STAND_INS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** Interval at which a replica renews its entry, and the silence after which
 * the store removes it: DEPLOY.md, PROTOCOL.md. */
constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kLease = 3 * kHeartbeat;

inline void SleepMs(std::int64_t time) {
  std::this_thread::sleep_for(milliseconds(time));
}

/** Thrown if a case can't run: exit code 2. */
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** Lines of record.txt, with the milliseconds since the start. */
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {
    if (!this->file)
      throw CannotRun("cannot write " + path);
  }

  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    this->file << this->Now() << " ms  " << text << "\n" << std::flush;
  }

  std::int64_t Now() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->start)
        .count();
  }

 private:
  const Clock::time_point start = Clock::now();
  std::mutex mutex;
  std::ofstream file;
};

struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const {
    return this->ip + ":" + std::to_string(this->port);
  }

  sockaddr_in Raw() const {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<std::uint16_t>(this->port));
    inet_pton(AF_INET, this->ip.c_str(), &raw.sin_addr);
    return raw;
  }
};

inline bool CanBind(const Address& address) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in raw = address.Raw();
  const bool is_free =
      bind(handle, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0;
  close(handle);
  return is_free;
}

/** A loopback network on which the ports of a case are free. */
class Network {
 public:
  Network() {
    std::random_device source;
    std::uniform_int_distribution<int> part(1, 250);
    std::uniform_int_distribution<int> ports(20000, 28000);
    for (int i = 0; i < 100; ++i) {
      this->prefix = "127." + std::to_string(part(source)) + "." +
                     std::to_string(part(source)) + ".";
      this->port = ports(source);
      bool is_free = true;
      for (const int offset : {0, 1, 2, 3, 4})
        is_free = is_free && CanBind(this->At(10, offset));
      if (is_free && CanBind({this->prefix + "10", 9464}))
        return;
    }
    throw CannotRun("no free loopback ports");
  }

  Address At(int host, int offset) const {
    return {this->prefix + std::to_string(host), this->port + offset};
  }

 private:
  std::string prefix;
  int port = 0;
};

/** A connected socket with a read buffer. */
class Channel {
 public:
  explicit Channel(int handle) : handle(handle) {}
  ~Channel() { this->Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  static std::unique_ptr<Channel> Open(const Address& address) {
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in raw = address.Raw();
    fcntl(handle, F_SETFL, O_NONBLOCK);
    connect(handle, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
    pollfd wait{handle, POLLOUT, 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    // Requesters allow a new channel one second: PROTOCOL.md.
    if (poll(&wait, 1, 1000) == 1)
      getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size);
    fcntl(handle, F_SETFL, 0);
    auto channel = std::make_unique<Channel>(handle);
    return error == 0 ? std::move(channel) : nullptr;
  }

  bool Write(const std::string& bytes) {
    const std::lock_guard lock(this->write_mutex);
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t size = send(this->handle, bytes.data() + done,
                                bytes.size() - done, MSG_NOSIGNAL);
      if (size <= 0)
        return false;
      done += static_cast<std::size_t>(size);
    }
    return true;
  }

  /** @return False at the end of input, an error or the time limit. */
  bool Fill(Clock::time_point until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now());
    pollfd wait{this->handle, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&wait, 1, static_cast<int>(left.count())) != 1)
      return false;
    char bytes[4096];
    const ssize_t size = recv(this->handle, bytes, sizeof(bytes), 0);
    if (size <= 0)
      return false;
    this->buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  std::optional<std::string> ReadUntil(const std::string& end,
                                       Clock::time_point until) {
    while (true) {
      const std::size_t at = this->buffer.find(end);
      if (at != std::string::npos) {
        std::string text = this->buffer.substr(0, at);
        this->buffer.erase(0, at + end.size());
        return text;
      }
      if (!this->Fill(until))
        return std::nullopt;
    }
  }

  std::optional<std::string> ReadBytes(std::size_t size,
                                       Clock::time_point until) {
    while (this->buffer.size() < size) {
      if (!this->Fill(until))
        return std::nullopt;
    }
    std::string text = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return text;
  }

  /** @return True if the peer has closed or reset the channel. */
  bool HasEnded() {
    char byte = 0;
    const ssize_t size = recv(this->handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /** Ends the channel at once, as that of a process that crashes. */
  void Reset() {
    const linger now{1, 0};
    setsockopt(this->handle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    shutdown(this->handle, SHUT_RDWR);
  }

  void Close() {
    if (this->handle >= 0)
      close(this->handle);
    this->handle = -1;
  }

 private:
  int handle;
  std::mutex write_mutex;
  std::string buffer;
};

/** Head of a request or response; names of fields in lower case. */
struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;

  std::string Field(const std::string& name) const {
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? "" : found->second;
  }
  int Status() const {
    return this->first_line.size() < 12
               ? 0
               : std::atoi(this->first_line.c_str() + 9);
  }
  std::string Method() const {
    return this->first_line.substr(0, this->first_line.find(' '));
  }
  std::string Target() const {
    const std::size_t begin = this->first_line.find(' ') + 1;
    return this->first_line.substr(begin,
                                   this->first_line.find(' ', begin) - begin);
  }
};

inline std::optional<Head> ReadHead(Channel& channel, Clock::time_point until) {
  const auto text = channel.ReadUntil("\r\n\r\n", until);
  if (!text)
    return std::nullopt;
  Head head;
  std::istringstream lines(*text);
  std::getline(lines, head.first_line);
  if (!head.first_line.empty() && head.first_line.back() == '\r')
    head.first_line.pop_back();
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ')
      ++begin;
    head.fields[name] = line.substr(begin);
  }
  return head;
}

/** Accepts channels and serves each on a thread of its own. */
class Listener {
 public:
  using Handler = std::function<void(Channel&)>;

  Listener(const Address& address, Handler handler)
      : handler(std::move(handler)) {
    this->handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(this->handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in raw = address.Raw();
    if (bind(this->handle, reinterpret_cast<const sockaddr*>(&raw),
             sizeof(raw)) != 0 ||
        listen(this->handle, 512) != 0)
      throw CannotRun("cannot listen at " + address.Text());
    this->thread = std::thread([this] { this->Accept(); });
  }

  /** Refuses new channels and resets the open ones. */
  ~Listener() {
    this->is_ending = true;
    shutdown(this->handle, SHUT_RDWR);
    this->thread.join();
    close(this->handle);
    {
      const std::lock_guard lock(this->mutex);
      for (const auto& channel : this->channels)
        channel->Reset();
    }
    for (std::thread& worker : this->workers)
      worker.join();
  }

  bool IsEnding() const { return this->is_ending; }

 private:
  void Accept() {
    while (!this->is_ending) {
      const int accepted =
          accept4(this->handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        continue;
      const int yes = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      auto channel = std::make_shared<Channel>(accepted);
      const std::lock_guard lock(this->mutex);
      this->channels.push_back(channel);
      this->workers.emplace_back([this, channel] {
        this->handler(*channel);
        channel->Reset();
      });
    }
  }

  Handler handler;
  int handle = -1;
  std::atomic<bool> is_ending = false;
  std::mutex mutex;
  std::vector<std::shared_ptr<Channel>> channels;
  std::vector<std::thread> workers;
  std::thread thread;
};

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      if (i + j < bytes.size())
        group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j)
      text +=
          i + j <= bytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
  }
  return text;
}

/** The platform's metadata store: PROTOCOL.md. */
class Store {
 public:
  Store(const Address& address, Record& record)
      : record(record),
        listener(std::make_unique<Listener>(
            address,
            [this](Channel& channel) { this->Serve(channel); })),
        lapses([this] { this->RemoveLapsed(); }) {}

  ~Store() {
    this->is_ending = true;
    this->changed.notify_all();
    this->lapses.join();
    this->listener.reset();
  }

  /** While it is down, all calls get 503 and writers are turned away. */
  void SetDown(bool down) {
    const std::lock_guard lock(this->mutex);
    this->is_down = down;
    this->changed.notify_all();
    this->record.Line(down ? "the store is down" : "the store is back");
  }

  /** Writes an item. @param has_lease Whether it lapses unless it is renewed.
   * @return False if the store is down. */
  bool Put(const std::string& key, const json& value, bool has_lease) {
    const std::lock_guard lock(this->mutex);
    if (this->is_down)
      return false;
    ++this->revision;
    Item& item = this->items[key];
    if (item.created == 0)
      item.created = this->revision;
    item.revision = this->revision;
    item.value = value.dump();
    item.has_lease = has_lease;
    item.renewed_at = Clock::now();
    this->events.push_back({this->revision, this->Served(key, item)});
    this->changed.notify_all();
    return true;
  }

  /** What the store held at a moment. */
  struct Copy;
  std::shared_ptr<const Copy> TakeCopy() {
    const std::lock_guard lock(this->mutex);
    this->record.Line("a copy of the store is made");
    return std::make_shared<const Copy>(Copy{this->items, this->revision});
  }

  /** Comes back from a copy: a new era begins, and all that was written since
   * is gone. */
  void ComeBackFrom(const Copy& copy) {
    const std::lock_guard lock(this->mutex);
    this->items = copy.items;
    for (auto& [key, item] : this->items)
      item.renewed_at = Clock::now();
    this->revision = copy.revision;
    std::erase_if(this->events, [&](const Event& event) {
      return event.revision > copy.revision;
    });
    ++this->era;
    this->is_down = false;
    this->changed.notify_all();
    this->record.Line("the store is back from the copy");
  }

  bool Remove(const std::string& key) {
    const std::lock_guard lock(this->mutex);
    if (this->is_down)
      return false;
    this->RemoveItem(key);
    return true;
  }

 private:
  struct Item {
    std::uint64_t created = 0;
    std::uint64_t revision = 0;
    std::string value;
    bool has_lease = false;
    Clock::time_point renewed_at;
  };

 public:
  struct Copy {
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
  };

 private:
  struct Event {
    std::uint64_t revision;
    json body;
  };

  static json Served(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", Base64(item.value)},
            {"revision", item.revision},
            {"createRevision", item.created},
            {"lease", item.has_lease ? 7 : 0}};
  }

  void RemoveItem(const std::string& key) {
    if (this->items.erase(key) == 0)
      return;
    ++this->revision;
    this->events.push_back(
        {this->revision,
         {{"key", key}, {"revision", this->revision}, {"removed", true}}});
    this->changed.notify_all();
  }

  void RemoveLapsed() {
    while (!this->is_ending) {
      SleepMs(50);
      const std::lock_guard lock(this->mutex);
      if (this->is_down)
        continue;
      std::vector<std::string> lapsed;
      for (const auto& [key, item] : this->items) {
        if (item.has_lease && Clock::now() - item.renewed_at > kLease)
          lapsed.push_back(key);
      }
      for (const std::string& key : lapsed)
        this->RemoveItem(key);
    }
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::istringstream parts(
        mark == std::string::npos ? "" : target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      const std::size_t equals = part.find('=');
      query[part.substr(0, equals)] =
          equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return query;
  }

  void Serve(Channel& channel) {
    while (const auto head =
               ReadHead(channel, Clock::now() + milliseconds(30000))) {
      const std::string target = head->Target();
      const std::string path = target.substr(0, target.find('?'));
      SleepMs(4);  // The store's time for an answer.
      int status = 200;
      const json body = this->Answer(path, Query(target), status);
      const std::string text = body.dump();
      const bool is_sent =
          channel.Write("HTTP/1.1 " + std::to_string(status) +
                        " X\r\nContent-Type: application/json\r\nStore-Era: " +
                        std::to_string(this->era) + "\r\nContent-Length: " +
                        std::to_string(text.size()) + "\r\n\r\n" + text);
      if (!is_sent)
        return;
    }
  }

  json Answer(const std::string& path,
              std::map<std::string, std::string> query,
              int& status) {
    std::unique_lock lock(this->mutex);
    if (this->is_down) {
      status = 503;
      return json::object();
    }
    if (path == "/kv-range") {
      json list = json::array();
      for (const auto& [key, item] : this->items) {
        if (key.starts_with(query["prefix"]) && key > query["after"])
          list.push_back(Served(key, item));
      }
      return {{"items", list},
              {"morePages", false},
              {"storeRevision", this->revision}};
    }
    if (path != "/kv-watch") {
      status = 404;
      return json::object();
    }
    const std::uint64_t after =
        std::strtoull(query["after"].c_str(), nullptr, 10);
    const auto until =
        Clock::now() + milliseconds(std::atoi(query["waitMs"].c_str()));
    json list = json::array();
    while (true) {
      if (after > this->revision) {
        status = 410;
        return json::object();
      }
      if (this->is_down || this->is_ending) {
        status = 503;
        return json::object();
      }
      for (const Event& event : this->events) {
        if (event.revision > after)
          list.push_back(event.body);
      }
      if (!list.empty() || Clock::now() >= until)
        break;
      this->changed.wait_until(lock, until);
    }
    return {{"events", list}, {"storeRevision", this->revision}};
  }

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::uint64_t revision = 100;
  std::atomic<std::uint64_t> era = 1;
  bool is_down = false;
  std::atomic<bool> is_ending = false;
  std::unique_ptr<Listener> listener;
  std::thread lapses;
};

/** What a stream's replica sends. */
struct StreamShape {
  int events = 40;
  milliseconds first{30};
  milliseconds pause{70};
};

/** A model replica that registers itself in the store. */
class Replica {
 public:
  Replica(std::string id,
          std::string service,
          std::string zone,
          Address address,
          StreamShape shape,
          Store& store,
          Record& record)
      : id(std::move(id)),
        service(std::move(service)),
        zone(std::move(zone)),
        address(std::move(address)),
        shape(shape),
        store(store),
        record(record) {}

  ~Replica() { this->Crash(); }

  /** Starts a process with a version of the software; registers it at once and
   * then at each heartbeat. */
  void Start(const std::string& next_version) {
    this->version = next_version;
    this->is_leaving = false;
    this->born = std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    this->is_up = true;
    this->listener = std::make_unique<Listener>(
        this->address, [this](Channel& channel) { this->Serve(channel); });
    this->heartbeats = std::thread([this] { this->Renew(); });
    this->record.Line("replica " + this->id + " starts, version " +
                      next_version);
  }

  /** Ends the process as a crash does. */
  void Crash() {
    if (!this->listener)
      return;
    this->is_up = false;
    this->record.Line("replica " + this->id + " ends, version " +
                      this->version);
    this->listener.reset();
    if (this->heartbeats.joinable())
      this->heartbeats.join();
  }

  /** Leaves without reporting `draining`: the entry is removed, and the process
   * serves until Crash(). @pre The store is up. */
  void Leave() {
    this->is_leaving = true;
    this->heartbeats.join();
    this->store.Remove("servers/" + this->id);
    this->record.Line("replica " + this->id + " has removed its entry");
  }

  /** Writes its removal once more. */
  void RemoveAgain() {
    this->store.Remove("servers/" + this->id);
    this->record.Line("replica " + this->id + " removes its entry again");
  }

  /** @return Requests that it has run. */
  std::size_t Runs() const { return this->run_count; }

 private:
  void Renew() {
    std::uint64_t sequence = 0;
    bool is_registered = false;
    while (this->is_up && !this->is_leaving) {
      is_registered |= this->store.Put("servers/" + this->id,
                                       {{"service", this->service},
                                        {"address", this->address.Text()},
                                        {"zone", this->zone},
                                        {"version", this->version},
                                        {"slots", 64},
                                        {"state", "ready"},
                                        {"coldRemainingMs", 0},
                                        {"sequence", ++sequence},
                                        {"born", this->born}},
                                       true);
      // One that can't register when it starts tries again soon.
      const auto next =
          Clock::now() + (is_registered ? kHeartbeat : milliseconds(200));
      while (this->is_up && !this->is_leaving && Clock::now() < next)
        SleepMs(10);
    }
  }

  void Serve(Channel& channel) {
    while (this->is_up) {
      const auto head = ReadHead(channel, Clock::now() + milliseconds(5000));
      if (!head)
        return;
      const auto size = static_cast<std::size_t>(
          std::atoi(head->Field("content-length").c_str()));
      if (!channel.ReadBytes(size, Clock::now() + milliseconds(5000)))
        return;
      if (!this->Respond(channel, *head))
        return;
    }
  }

  bool Respond(Channel& channel, const Head& head) {
    const std::string request = head.Field("buckthornpath-request-id");
    const std::string common =
        "Buckthornpath-Request-Id: " + request +
        "\r\nBuckthornpath-Server-Load: " + std::to_string(this->running) +
        ",0,64\r\n" + (this->is_leaving ? "Server-Leaving: 1\r\n" : "");
    const std::string expected = head.Field("buckthornpath-expect-instance");
    if (!expected.empty() && expected != this->id) {
      return channel.Write("HTTP/1.1 421 X\r\n" + common +
                           "Buckthornpath-Not-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
    }
    const std::string after = head.Field("last-event-id");
    const int first = std::atoi(after.c_str()) + 1;
    this->record.Line("replica " + this->id + " version " + this->version +
                      " runs " + request + " from event " +
                      std::to_string(first));
    ++this->running;
    ++this->run_count;
    bool is_open =
        channel.Write("HTTP/1.1 200 OK\r\n" + common +
                      "Buckthornpath-Response-Seal: seal." + this->id +
                      "\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
    std::this_thread::sleep_for(this->shape.first);
    const auto is_wanted = [&] { return this->is_up && is_open; };
    for (int i = first; is_wanted() && i <= this->shape.events; ++i) {
      std::ostringstream event;
      event << "id: " << i << "\ndata: " << this->version << " " << this->id
            << "\n\n";
      std::ostringstream chunk;
      chunk << std::hex << event.str().size() << "\r\n"
            << event.str() << "\r\n";
      is_open = is_open && channel.Write(chunk.str()) && !channel.HasEnded();
      const auto next = Clock::now() + this->shape.pause;
      while (is_wanted() && Clock::now() < next) {
        SleepMs(10);
        is_open = is_open && !channel.HasEnded();
      }
    }
    --this->running;
    this->record.Line("replica " + this->id + " ends " + request +
                      (is_open ? ", whole" : ", its channel was closed"));
    return is_open && this->is_up && channel.Write("0\r\n\r\n");
  }

  const std::string id;
  const std::string service;
  const std::string zone;
  const Address address;
  const StreamShape shape;
  Store& store;
  Record& record;
  std::string version;
  std::int64_t born = 0;
  std::atomic<bool> is_up = false;
  std::atomic<bool> is_leaving = false;
  std::atomic<std::size_t> run_count = 0;
  std::atomic<std::size_t> running = 0;
  std::unique_ptr<Listener> listener;
  std::thread heartbeats;
};

/** One gateway process, started with the command of the deploy file. */
class Gateway {
 public:
  struct Place {
    std::string node;
    std::string zone;
    std::string ip;
    int base_port = 0;
    std::string seeds;
    std::string store;
  };

  Gateway(Place place, const std::filesystem::path& scratch, Record& record)
      : place(std::move(place)), scratch(scratch), record(record) {}

  ~Gateway() { this->Kill(); }

  Address Front() const { return {this->place.ip, this->place.base_port}; }
  Address Ready() const { return {this->place.ip, this->place.base_port + 1}; }
  Address Control() const {
    return {this->place.ip, this->place.base_port + 2};
  }
  const std::string& Zone() const { return this->place.zone; }
  const std::string& Name() const { return this->place.node; }

  void Start() {
    const auto settings = this->scratch / (this->place.node + ".json");
    std::ofstream(settings) << this->Settings();
    const std::string variable = "BUCKTHORNPATH_BOOT=" + settings.string();
    const auto log = this->scratch / (this->place.node + ".log");
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the case.
      dup2(output, 1);
      dup2(output, 2);
      std::string path = "PATH=" + std::string(std::getenv("PATH"));
      std::string boot = variable;
      char* environment[] = {path.data(), boot.data(), nullptr};
      const char* program = "target/buckthornpathd";
      execle(program, program, "--role=gateway",
             "--settings-variable=BUCKTHORNPATH_BOOT", nullptr, environment);
      _exit(127);
    }
    close(output);
    this->record.Line("gateway " + this->place.node + " starts");
  }

  void Signal(int number) const { kill(this->pid, number); }

  void Kill() {
    if (this->pid <= 0)
      return;
    kill(this->pid, SIGKILL);
    this->Reap();
  }

  void Reap() {
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
    this->record.Line("gateway " + this->place.node + " has ended");
  }

  bool IsReady() const {
    const auto channel = Channel::Open(this->Ready());
    if (!channel || !channel->Write("GET /ready HTTP/1.1\r\nHost: x\r\n"
                                    "Connection: close\r\n\r\n"))
      return false;
    const auto head = ReadHead(*channel, Clock::now() + milliseconds(900));
    return head && head->Status() == 200;
  }

  /** @return What an operator sees: /status. */
  json Status() const {
    const auto channel = Channel::Open({this->place.ip, 9464});
    if (!channel || !channel->Write("GET /status HTTP/1.1\r\nHost: x\r\n"
                                    "Connection: close\r\n\r\n"))
      return json();
    const auto until = Clock::now() + milliseconds(900);
    const auto head = ReadHead(*channel, until);
    if (!head)
      return json();
    const auto body = channel->ReadBytes(
        static_cast<std::size_t>(
            std::atoi(head->Field("content-length").c_str())),
        until);
    return body ? json::parse(*body, nullptr, false) : json();
  }

 private:
  /** Fills in platform/settings.json.template as DEPLOY.md says. */
  std::string Settings() const {
    const std::map<std::string, std::string> values = {
        {"node", this->place.node},
        {"zone", this->place.zone},
        {"region", "r"},
        {"ip", this->place.ip},
        {"platform.address", this->place.store},
        {"listen.front", this->Front().Text()},
        {"listen.ready", this->Ready().Text()},
        {"listen.control", this->Control().Text()},
        {"seeds", this->place.seeds},
        {"limits.linkMbps", "1000.0"},
        {"limits.memoryMb", "260"},
        {"limits.maxFds", "4100"},
        {"bounds.budgetSlack", "54"},
        {"bounds.drainMs", "2000"},
        {"bounds.graceS", "8"}};
    std::ifstream file("platform/settings.json.template");
    std::stringstream text;
    text << file.rdbuf();
    std::string rest = text.str();
    if (rest.empty())
      throw CannotRun("no platform/settings.json.template");
    std::string filled;
    while (true) {
      const std::size_t begin = rest.find("{{");
      if (begin == std::string::npos)
        return filled + rest;
      const std::size_t end = rest.find("}}", begin);
      std::string name = rest.substr(begin + 2, end - begin - 2);
      const std::size_t bar = name.find('|');
      const bool is_json = bar != std::string::npos;
      name = name.substr(0, bar);
      const auto found = values.find(name);
      const std::string value = found == values.end() ? "" : found->second;
      filled += rest.substr(0, begin) + (is_json ? json(value).dump() : value);
      rest = rest.substr(end + 2);
    }
  }

  const Place place;
  const std::filesystem::path scratch;
  Record& record;
  pid_t pid = -1;
};

/** @return A configuration with one stream route, as the sheet of dalea-orders
 * has it: buyer-chat, which may be resumed, or layout-plan. */
inline json MakeConfiguration(const std::string& service,
                              bool is_resumable = true) {
  return {{"version", 3},
          {"routes",
           {{{"name", "chat"},
             {"host", "chat.example"},
             {"prefix", "/chat/"},
             {"kind", "streaming"},
             {"timeoutMs", is_resumable ? 12000 : 15000},
             {"targetLatencyMs", is_resumable ? 400 : 1500},
             {"gapTargetMs", 300},
             {"priority", is_resumable ? 0 : 2},
             {"service", service},
             {"maxAttempts", is_resumable ? 2 : 1},
             {"authExempt", false},
             {"sessionAffinity", true},
             {"streamResume", is_resumable}}}},
          {"services",
           {{{"name", service},
             {"maxConns", 360},
             {"healthPath", "/health"},
             {"engine", {{"kvCapacityTokens", 571068}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", {{{"name", "gym"}, {"apiKeys", {"key-1"}}}}}};
}

/** What a requester has seen of one try. */
struct Try {
  std::string id;
  int status = 0;
  std::string retry_after;
  std::vector<int> events;
  std::vector<std::string> versions;  ///< Of the events' replicas.
  bool is_complete = false;
  bool is_connected = false;
};

/** @return The events of a try, for the record. */
inline std::string Describe(const Try& seen) {
  std::ostringstream text;
  text << seen.id;
  if (!seen.is_connected) {
    text << ": no connection";
    return text.str();
  }
  text << ": status " << seen.status;
  if (!seen.retry_after.empty())
    text << ", Retry-After " << seen.retry_after;
  for (std::size_t i = 0; i < seen.events.size(); ++i) {
    const bool is_first = i == 0 || seen.versions[i] != seen.versions[i - 1];
    const bool is_last =
        i + 1 == seen.events.size() || seen.versions[i + 1] != seen.versions[i];
    if (is_first)
      text << ", " << seen.versions[i] << " events " << seen.events[i];
    if (is_last)
      text << " to " << seen.events[i];
  }
  text << (seen.is_complete ? ", complete" : ", not complete");
  return text.str();
}

/** Sends one request of a stream and reads its answer. A requester leaves
 * after a gap of 2.4 s: eight times the pause of 300 ms. */
inline Try SendStreamRequest(const Address& front,
                             const std::string& id,
                             int last_event,
                             const std::string& resumes,
                             Clock::time_point deadline) {
  constexpr milliseconds kGap{2400};
  Try seen;
  seen.id = id;
  const auto channel = Channel::Open(front);
  if (!channel)
    return seen;
  seen.is_connected = true;
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
  std::ostringstream text;
  text << "POST /chat/" << id << " HTTP/1.1\r\nHost: chat.example\r\n"
       << "Buckthornpath-Request-Id: " << id << "\r\nX-Api-Key: key-1\r\n"
       << "Buckthornpath-Model: m\r\nBuckthornpath-Token-Usage: 829,300\r\n"
       << "Buckthornpath-Prompt-Prefix: " << std::hex
       << 0xabc000 + std::hash<std::string>()(id) % 60 << std::dec << ":699,"
       << std::hex << std::hash<std::string>()(id) % 0xffffffff << std::dec
       << ":130\r\nBuckthornpath-Deadline-Ms: " << left.count() << "\r\n";
  if (!resumes.empty())
    text << "Resumes: " << resumes << "\r\nLast-Event-Id: " << last_event
         << "\r\n";
  text << "Content-Length: 4\r\n\r\nchat";
  if (!channel->Write(text.str()))
    return seen;
  const auto head = ReadHead(*channel, std::min(deadline, Clock::now() + kGap));
  if (!head)
    return seen;
  seen.status = head->Status();
  seen.retry_after = head->Field("retry-after");
  if (seen.status != 200)
    return seen;
  std::string partial;
  while (true) {
    const auto until = std::min(deadline, Clock::now() + kGap);
    const auto line = channel->ReadUntil("\r\n", until);
    if (!line)
      return seen;
    const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
    const auto chunk = channel->ReadBytes(size + 2, until);
    if (!chunk)
      return seen;
    if (size == 0) {
      seen.is_complete = true;
      return seen;
    }
    partial += chunk->substr(0, size);
    std::size_t end = 0;
    while ((end = partial.find("\n\n")) != std::string::npos) {
      const std::string event = partial.substr(0, end);
      partial.erase(0, end + 2);
      const std::size_t id_at = event.find("id: ");
      const std::size_t data_at = event.find("data: ");
      if (id_at == std::string::npos || data_at == std::string::npos)
        continue;
      seen.events.push_back(std::atoi(event.c_str() + id_at + 4));
      const std::string data = event.substr(data_at + 6);
      seen.versions.push_back(data.substr(0, data.find(' ')));
    }
  }
}

/** The same, with lines in the record. */
inline Try CallStream(const Gateway& gateway,
                      const std::string& id,
                      int last_event,
                      const std::string& resumes,
                      Clock::time_point deadline,
                      Record& record) {
  std::string text = "requester sends " + id + " to " + gateway.Name();
  if (!resumes.empty()) {
    text += ", Resumes " + resumes + ", Last-Event-Id " +
            std::to_string(last_event);
  }
  record.Line(text);
  Try seen =
      SendStreamRequest(gateway.Front(), id, last_event, resumes, deadline);
  record.Line("requester got " + Describe(seen));
  return seen;
}

/** Runs a case. @return Its exit code. */
inline int RunCase(
    int argc,
    char** argv,
    const std::function<
        bool(const std::filesystem::path&, bool trouble, Record&)>& run) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " FOLDER\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  std::string name =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr)
    return 2;
  const std::filesystem::path scratch(name);
  int result = 2;
  try {
    Record record((std::filesystem::path(argv[1]) / "record.txt").string());
    record.Line(has_trouble ? "with the disruption"
                            : "TROUBLE=0: without the disruption");
    const bool holds = run(scratch, has_trouble, record);
    record.Line(holds ? "the rule held" : "the rule was broken");
    std::cout << (holds ? "the rule held\n" : "the rule was broken\n");
    result = holds ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "cannot run: " << error.what() << "\n";
  }
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(scratch);
  else
    std::cout << "logs: " << scratch << "\n";
  return result;
}

}  // namespace review

#endif  // REVIEW_COMMON_3_STAND_INS_H_
