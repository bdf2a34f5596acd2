/** @file standins.h Store, replicas, clients and gateway processes of a case.
 */

#ifndef REVIEW_COMMON_2_STANDINS_H_
#define REVIEW_COMMON_2_STANDINS_H_

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
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Exit codes of a case. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline const Clock::time_point kStart = Clock::now();

inline long long ElapsedMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart)
      .count();
}

/** Lines of record.txt, with the milliseconds since the start. */
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  void Write(const std::string& line) {
    const std::lock_guard lock(this->mutex);
    this->file << ElapsedMs() << " " << line << std::endl;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};

inline bool HasDisruption() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Sockets.

struct Address {
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

/** Listens on a free port if none is given. */
inline int Listen(Address& address, int backlog = 1024) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in bound = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) != 0 ||
      listen(fd, backlog) != 0)
    throw std::runtime_error("cannot listen on " + address.Text());
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  address.port = ntohs(bound.sin_port);
  return fd;
}

/** @return A port that is free now. */
inline int FreePort(const std::string& ip) {
  Address address{ip, 0};
  close(Listen(address));
  return address.port;
}

/** @return A connected socket, or -1. */
inline int Connect(const Address& address, int timeout_ms = 2000) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in to = ToSockaddr(address);
  int error = 0;
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    error = errno;
    if (error == EINPROGRESS) {
      pollfd waited{fd, POLLOUT, 0};
      socklen_t size = sizeof(error);
      if (poll(&waited, 1, timeout_ms) <= 0)
        error = ETIMEDOUT;
      else
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  }
  if (error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

/** Appends what arrives. @return Bytes read; 0 at the end; -1 for an error or
 * a timeout. */
inline ssize_t Receive(int fd, std::string& buffer, int timeout_ms) {
  pollfd waited{fd, POLLIN, 0};
  if (poll(&waited, 1, timeout_ms) <= 0)
    return -1;
  char bytes[16384];
  const ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
  if (size > 0)
    buffer.append(bytes, static_cast<std::size_t>(size));
  return size;
}

// HTTP/1.1.

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool is_complete = false;

  /** @return The value of a field; empty if it is missing. */
  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : this->fields) {
      if (Lower(key) == Lower(name))
        return value;
    }
    return "";
  }
  int Status() const {
    return this->first_line.size() > 12
               ? std::atoi(this->first_line.substr(9, 3).c_str())
               : 0;
  }
  std::string Method() const {
    return this->first_line.substr(0, this->first_line.find(' '));
  }
  std::string Target() const {
    const auto begin = this->first_line.find(' ') + 1;
    return this->first_line.substr(begin,
                                   this->first_line.find(' ', begin) - begin);
  }
};

/** Reads one message; what follows it stays in `buffer`. Responses without a
 * length end with their connection. */
inline Message ReadMessage(int fd,
                           std::string& buffer,
                           int timeout_ms,
                           bool is_response) {
  Message message;
  const auto deadline = Clock::now() + milliseconds(timeout_ms);
  ssize_t last = 1;
  const auto more = [&] {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - Clock::now())
            .count();
    last = left <= 0 ? -1 : Receive(fd, buffer, static_cast<int>(left));
    return last > 0;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more())
      return message;
  }
  std::istringstream head(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const auto colon = line.find(':');
    if (message.first_line.empty()) {
      message.first_line = line;
    } else if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields.emplace_back(line.substr(0, colon), value);
    }
  }
  if (Lower(message.Field("Transfer-Encoding")) == "chunked") {
    while (true) {
      std::size_t eol = 0;
      while ((eol = buffer.find("\r\n")) == std::string::npos) {
        if (!more())
          return message;
      }
      const std::size_t size =
          std::strtoul(buffer.substr(0, eol).c_str(), nullptr, 16);
      while (buffer.size() < eol + 2 + size + 2) {
        if (!more()) {
          if (size > 0 && buffer.size() > eol + 2)
            message.body += buffer.substr(eol + 2);
          return message;
        }
      }
      message.body += buffer.substr(eol + 2, size);
      buffer.erase(0, eol + 2 + size + 2);
      if (size == 0)
        break;
    }
    message.is_complete = true;
    return message;
  }
  const std::string length = message.Field("Content-Length");
  if (length.empty() && is_response) {
    while (more()) {
    }
    message.body.swap(buffer);
    message.is_complete = last == 0;
    return message;
  }
  const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
  while (buffer.size() < size) {
    if (!more()) {
      message.body.swap(buffer);
      return message;
    }
  }
  message.body = buffer.substr(0, size);
  buffer.erase(0, size);
  message.is_complete = true;
  return message;
}

inline std::string Response(int status,
                            const std::string& fields,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Accepts connections and serves each on a thread of its own. Never joined:
 * the process of a case ends with _exit(). */
inline void ServeForever(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, serve] { serve(fd); }).detach();
    }
  }).detach();
}

// The platform's store.

inline std::string Base64(const std::string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      word = word << 8U |
             (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                   : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j)
      text +=
          i + j > bytes.size() ? '=' : kDigits[word >> (18U - 6U * j) & 63U];
  }
  return text;
}

/** Holds items; serves /kv-range and /kv-watch as PROTOCOL.md says. */
class Store {
 public:
  explicit Store(const std::string& ip) : address{ip, 0} {
    ServeForever(Listen(this->address), [this](int fd) { this->Serve(fd); });
  }

  const Address& Where() const { return this->address; }

  /** @return The revision of the change. */
  std::uint64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(this->mutex);
    const std::uint64_t created = this->items.contains(key)
                                      ? this->items[key].created
                                      : this->revision + 1;
    this->items[key] = {value, ++this->revision, created};
    this->events.push_back({this->revision, this->ItemText(key)});
    this->changed.notify_all();
    return this->revision;
  }

  void Remove(const std::string& key) {
    const std::lock_guard lock(this->mutex);
    if (this->items.erase(key) == 0)
      return;
    ++this->revision;
    this->events.push_back({this->revision, R"({"key":")" + key +
                                                R"(","revision":)" +
                                                std::to_string(this->revision) +
                                                R"(,"removed":true})"});
    this->changed.notify_all();
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };

  std::string ItemText(const std::string& key) {
    const Item& item = this->items[key];
    return R"({"key":")" + key + R"(","value":")" + Base64(item.value) +
           R"(","revision":)" + std::to_string(item.revision) +
           R"(,"createRevision":)" + std::to_string(item.created) +
           R"(,"lease":0})";
  }

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const auto begin = target.find(name + "=");
    if (begin == std::string::npos)
      return "";
    const auto from = begin + name.size() + 1;
    std::string text = target.substr(from, target.find('&', from) - from);
    for (auto at = text.find("%2F"); at != std::string::npos;
         at = text.find("%2F"))
      text.replace(at, 3, "/");
    return text;
  }

  std::string Range(const std::string& target) {
    const std::lock_guard lock(this->mutex);
    const std::string prefix = Parameter(target, "prefix");
    const std::string after = Parameter(target, "after");
    std::string list;
    for (const auto& [key, item] : this->items) {
      if (key.starts_with(prefix) && key > after)
        list += (list.empty() ? "" : ",") + this->ItemText(key);
    }
    return R"({"items":[)" + list + R"(],"morePages":false,"storeRevision":)" +
           std::to_string(this->revision) + "}";
  }

  std::string Watch(const std::string& target) {
    const std::uint64_t after =
        std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
    const int wait = std::atoi(Parameter(target, "waitMs").c_str());
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, milliseconds(wait),
                           [&] { return this->revision > after; });
    std::string list;
    for (const auto& [at, text] : this->events) {
      if (at > after)
        list += (list.empty() ? "" : ",") + text;
    }
    return R"({"events":[)" + list + R"(],"storeRevision":)" +
           std::to_string(this->revision) + "}";
  }

  void Serve(int fd) {
    std::string buffer;
    while (true) {
      const Message request = ReadMessage(fd, buffer, 60000, false);
      if (!request.is_complete)
        break;
      const std::string target = request.Target();
      std::string answer;
      if (target.starts_with("/kv-range"))
        answer = Response(200, "Content-Type: application/json\r\n",
                          this->Range(target));
      else if (target.starts_with("/kv-watch"))
        answer = Response(200, "Content-Type: application/json\r\n",
                          this->Watch(target));
      else
        answer = Response(404, "", "");
      if (!SendAll(fd, answer))
        break;
    }
    close(fd);
  }

  Address address;
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t revision = 100;
  std::map<std::string, Item> items;
  std::vector<std::pair<std::uint64_t, std::string>> events;
};

// Replicas.

class Replica;

/** A request at a replica. */
struct Call {
  Replica& replica;
  int fd = -1;
  Message request;
  bool keeps_open = true;

  std::string Id() const {
    return this->request.Field("Buckthornpath-Request-Id");
  }

  /** The fields of an answer of a replica that ran the request. */
  std::string Fields() const {
    return "Buckthornpath-Request-Id: " + this->Id() +
           "\r\nBuckthornpath-Response-Seal: seal-" + this->Id() + "\r\n";
  }

  bool Send(const std::string& bytes) const { return SendAll(this->fd, bytes); }

  bool Answer(int status, const std::string& body) const {
    return this->Send(Response(status, this->Fields(), body));
  }

  bool BeginEvents() const {
    return this->Send("HTTP/1.1 200 OK\r\n" + this->Fields() +
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
  }

  bool SendChunk(const std::string& bytes) const {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return this->Send(size + bytes + "\r\n");
  }

  bool EndEvents() const { return this->Send("0\r\n\r\n"); }

  /** @return True if the other side closes in time. */
  bool WaitForClose(int timeout_ms) const {
    pollfd waited{this->fd, POLLIN | POLLRDHUP, 0};
    if (poll(&waited, 1, timeout_ms) <= 0)
      return false;
    char byte = 0;
    return recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
  }
};

/** Serves requests with a script; answers 421 to those for another one. */
class Replica {
 public:
  using Script = std::function<void(Call&)>;

  Replica(const std::string& ip,
          std::string id,
          std::string service,
          int slots,
          Script script)
      : id(std::move(id)),
        service(std::move(service)),
        slots(slots),
        address{ip, 0},
        script(std::move(script)) {
    this->listener = Listen(this->address);
    ServeForever(this->listener, [this](int fd) { this->Serve(fd); });
  }

  const std::string& Id() const { return this->id; }
  const Address& Where() const { return this->address; }

  std::string Entry(const std::string& state = "ready") const {
    return R"({"service":")" + this->service + R"(","address":")" +
           this->address.Text() + R"(","zone":"a","version":1,"slots":)" +
           std::to_string(this->slots) + R"(,"state":")" + state +
           R"(","coldRemainingMs":0,"sequence":1,"born":1796000000000})";
  }

  void Register(Store& store, const std::string& state = "ready") const {
    store.Put("servers/" + this->id, this->Entry(state));
  }

 private:
  void Serve(int fd) {
    std::string buffer;
    while (true) {
      Call call{*this, fd, ReadMessage(fd, buffer, 60000, false)};
      if (!call.request.is_complete)
        break;
      const std::string expected =
          call.request.Field("Buckthornpath-Expect-Instance");
      if (!expected.empty() && expected != this->id) {
        call.Send(Response(421,
                           "Buckthornpath-Request-Id: " + call.Id() +
                               "\r\nBuckthornpath-Instance-Id: " + this->id +
                               "\r\n",
                           ""));
        continue;
      }
      this->script(call);
      if (!call.keeps_open)
        return;
    }
    close(fd);
  }

  std::string id;
  std::string service;
  int slots;
  Address address;
  int listener = -1;
  Script script;
};

// Gateway processes.

/** Settings of the platform for one machine, by the names of DEPLOY.md. */
using PlatformFields = std::map<std::string, std::string>;

/** Fills in the template of the deploy file. Values are JSON. */
inline std::string FillTemplate(const std::string& text,
                                const PlatformFields& fields) {
  std::string filled;
  std::size_t at = 0;
  while (true) {
    const auto begin = text.find("{{", at);
    if (begin == std::string::npos)
      return filled + text.substr(at);
    filled += text.substr(at, begin - at);
    const auto end = text.find("}}", begin);
    std::string name = text.substr(begin + 2, end - begin - 2);
    const auto bar = name.find("|json");
    const bool is_json = bar != std::string::npos;
    if (is_json)
      name.resize(bar);
    const auto found = fields.find(name);
    std::string value = found == fields.end() ? "" : found->second;
    if (found == fields.end() && is_json)
      value = "null";
    if (!is_json)
      std::erase(value, '"');
    filled += value;
    at = end + 2;
  }
}

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** A process started with the command of deploy/system.toml. */
class Gateway {
 public:
  struct Plan {
    std::string ip = "127.0.0.1";
    std::string zone = "a";
    std::string seeds = "";  ///< Comma-separated control addresses.
    std::string log_path = "/dev/null";
    int memory_mb = 260;
    int max_fds = 4100;
    std::string folder = "/tmp";  ///< For the settings file.
  };

  Gateway(const Plan& plan, const Store& store) : plan(plan) {
    this->front = {plan.ip, FreePort(plan.ip)};
    this->ready = {plan.ip, FreePort(plan.ip)};
    this->control = {plan.ip, FreePort(plan.ip)};
    const auto quoted = [](const std::string& text) {
      return '"' + text + '"';
    };
    const std::string seeds =
        plan.seeds.empty() ? this->control.Text() : plan.seeds;
    const PlatformFields fields = {
        {"node", quoted("front-" + plan.ip)},
        {"zone", quoted(plan.zone)},
        {"region", quoted("r")},
        {"ip", quoted(plan.ip)},
        {"platform.address", quoted(store.Where().Text())},
        {"listen.front", quoted(this->front.Text())},
        {"listen.ready", quoted(this->ready.Text())},
        {"listen.control", quoted(this->control.Text())},
        {"seeds", quoted(seeds)},
        {"limits.linkMbps", "1000.0"},
        {"limits.memoryMb", std::to_string(plan.memory_mb)},
        {"limits.maxFds", std::to_string(plan.max_fds)},
        {"bounds.budgetSlack", "54"},
        {"bounds.drainMs", "2000"},
        {"bounds.graceS", "8"}};
    this->settings_path = plan.folder + "/settings-" + plan.ip + ".json";
    std::ofstream(this->settings_path)
        << FillTemplate(ReadFile("platform/settings.json.template"), fields);
    this->Start();
  }

  ~Gateway() { this->Kill(); }

  /** Starts the process with the same settings. @pre It has ended. */
  void Start() {
    this->pid = fork();
    if (this->pid == 0) {
      // Ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(this->plan.log_path.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("BUCKTHORNPATH_BOOT", this->settings_path.c_str(), 1);
      execl("target/buckthornpathd", "target/buckthornpathd", "--role=gateway",
            "--settings-variable=BUCKTHORNPATH_BOOT", nullptr);
      _exit(127);
    }
  }

  void Kill() {
    if (this->pid <= 0)
      return;
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = 0;
  }

  void Signal(int number) const { kill(this->pid, number); }

  bool IsRunning() {
    if (this->pid > 0 &&
        waitpid(this->pid, &this->status, WNOHANG) == this->pid)
      this->pid = 0;
    return this->pid > 0;
  }
  int ExitStatus() const { return this->status; }

  bool IsReady() const {
    const int fd = Connect(this->ready, 500);
    if (fd < 0)
      return false;
    std::string buffer;
    SendAll(fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    const Message answer = ReadMessage(fd, buffer, 1000, true);
    close(fd);
    return answer.Status() == 200;
  }

  bool WaitUntilReady(int timeout_ms = 10000) {
    const auto until = Clock::now() + milliseconds(timeout_ms);
    while (Clock::now() < until) {
      if (this->IsReady())
        return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  /** @return A size of /proc/PID/status in bytes, such as VmHWM. */
  std::uint64_t MemoryBytes(const std::string& name) const {
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with(name + ":"))
        return std::strtoull(line.c_str() + name.size() + 1, nullptr, 10) *
               1024;
    }
    return 0;
  }

  const Address& Front() const { return this->front; }
  const Address& Control() const { return this->control; }

 private:
  Plan plan;
  Address front;
  Address ready;
  Address control;
  std::string settings_path;
  pid_t pid = 0;
  int status = 0;
};

/** @return A loopback address of this process's own. */
inline std::string OwnIp(int host) {
  const int pid = getpid();
  return "127." + std::to_string(20 + (pid >> 14) % 200) + "." +
         std::to_string((pid >> 6) % 256) + "." +
         std::to_string((pid % 64) * 4 + host);
}

/** The folder for temporary files; removed at the end of the case. */
inline std::string& TemporaryPath() {
  static std::string path;
  return path;
}

/** Makes the folder for temporary files. */
inline std::string TemporaryFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base == nullptr ? "/tmp" : base) +
                     "/buckthornpath-review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder");
  TemporaryPath() = path;
  return path;
}

/** Ends the case at once; threads of stand-ins are not joined. */
[[noreturn]] inline void End(int code) {
  std::error_code ignored;
  if (!TemporaryPath().empty() && std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(TemporaryPath(), ignored);
  std::cout.flush();
  _exit(code);
}

/** Runs a case in a folder. */
[[noreturn]] inline void RunCase(void (*run)(const std::string&),
                                 const std::string& folder) {
  signal(SIGPIPE, SIG_IGN);
  try {
    run(folder);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
  }
  End(kCouldNotRun);
}

}  // namespace review

#endif  // REVIEW_COMMON_2_STANDINS_H_
