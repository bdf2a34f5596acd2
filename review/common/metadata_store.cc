/** @file metadata_store.cc Stand-in of the platform's metadata store. */

#include "metadata_store.h"

#include <cstdlib>
#include <utility>

namespace review {

namespace {

constexpr std::chrono::seconds kIdleLimit{120};

std::string Base64(const std::string& bytes) {
  constexpr char kLetters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    const std::size_t left = bytes.size() - at;
    unsigned group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      group = group << 8U |
              (i < left ? static_cast<unsigned char>(bytes[at + i]) : 0U);
    }
    text += kLetters[group >> 18U & 63U];
    text += kLetters[group >> 12U & 63U];
    text += left > 1 ? kLetters[group >> 6U & 63U] : '=';
    text += left > 2 ? kLetters[group & 63U] : '=';
  }
  return text;
}

std::string Response(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

MetadataStore::MetadataStore(const Address& address, Record& record)
    : record(record), listener(Socket::Listen(address)) {
  this->acceptor = std::thread([this] { this->AcceptConnections(); });
}

MetadataStore::~MetadataStore() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
    this->changed.notify_all();
  }
  this->listener.Shutdown();
  this->acceptor.join();
  for (const Socket& socket : this->connections)
    socket.Shutdown();
  for (std::thread& thread : this->threads)
    thread.join();
}

std::string MetadataStore::ItemBody(const std::string& key, const Item& item) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(item.value) +
         "\",\"revision\":" + std::to_string(item.revision) +
         ",\"createRevision\":" + std::to_string(item.created) +
         ",\"lease\":0}";
}

TimePoint MetadataStore::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(this->mutex);
  Item& item = this->items[key];
  item.revision = ++this->revision;
  if (item.created == 0)
    item.created = item.revision;
  item.value = value;
  this->events.push_back({item.revision, key, ItemBody(key, item)});
  this->changed.notify_all();
  this->record.Line("store: " + key + " written, revision " +
                    std::to_string(this->revision));
  return Clock::now();
}

TimePoint MetadataStore::Remove(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  this->items.erase(key);
  ++this->revision;
  const std::string body = "{\"key\":\"" + key +
                           "\",\"revision\":" + std::to_string(this->revision) +
                           ",\"removed\":true}";
  this->events.push_back({this->revision, key, body});
  this->changed.notify_all();
  this->record.Line("store: " + key + " removed, revision " +
                    std::to_string(this->revision));
  return Clock::now();
}

void MetadataStore::SetSilent(bool silent) {
  const std::lock_guard lock(this->mutex);
  this->is_silent = silent;
  this->record.Line(silent ? "store: silent" : "store: answers again");
}

std::string MetadataStore::Range() const {
  const std::lock_guard lock(this->mutex);
  std::string list;
  for (const auto& [key, item] : this->items)
    list += (list.empty() ? "" : ",") + ItemBody(key, item);
  return "{\"items\":[" + list + "],\"morePages\":false,\"storeRevision\":" +
         std::to_string(this->revision) + "}";
}

std::string MetadataStore::Watch(const std::string& target) {
  const std::uint64_t after =
      std::strtoull(QueryParameter(target, "after").c_str(), nullptr, 10);
  const milliseconds wait(
      std::strtol(QueryParameter(target, "waitMs").c_str(), nullptr, 10));
  std::unique_lock lock(this->mutex);
  this->changed.wait_until(lock, Clock::now() + wait, [&] {
    return this->is_stopping || this->revision > after;
  });
  std::string list;
  for (const Event& event : this->events) {
    if (event.revision > after)
      list += (list.empty() ? "" : ",") + event.body;
  }
  return "{\"events\":[" + list +
         "],\"storeRevision\":" + std::to_string(this->revision) + "}";
}

void MetadataStore::Serve(const Socket& socket) {
  MessageReader reader(socket);
  Message request;
  while (reader.Read(request, false, Clock::now() + kIdleLimit) ==
         ReadResult::kComplete) {
    const std::string target = request.Word(1);
    bool is_lost = false;
    {
      const std::lock_guard lock(this->mutex);
      is_lost = this->is_silent;
    }
    if (is_lost) {
      this->record.Line("store: " + target.substr(0, 9) +
                        " arrives and is not answered");
      socket.IsClosedBy(Clock::now() + kIdleLimit);
      break;
    }
    const std::string answer =
        target.starts_with("/kv-range") ? this->Range() : this->Watch(target);
    if (!socket.Send(Response(200, answer)))
      break;
  }
  socket.Shutdown();
}

void MetadataStore::AcceptConnections() {
  while (true) {
    Socket socket = this->listener.Accept();
    const std::lock_guard lock(this->mutex);
    if (!socket.IsOpen() || this->is_stopping)
      return;
    this->connections.push_back(std::move(socket));
    const Socket& connection = this->connections.back();
    this->threads.emplace_back(
        [this, &connection] { this->Serve(connection); });
  }
}

}  // namespace review
