/** @file platform_store.cc Fake of the platform's metadata store. */

#include "fakes/platform_store.h"

#include <openssl/evp.h>

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kWatchPollInterval{10};
constexpr std::chrono::seconds kSilentDelay{30};

std::string EncodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

HttpResponse Json(const json& body) {
  HttpResponse response;
  response.headers.Append("Content-Type", "application/json");
  response.body = body.dump();
  return response;
}

HttpResponse Status(unsigned status) {
  HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace

PlatformStore::PlatformStore(const SocketAddress& address)
    : server(this->pool, address, {}, [this](HttpExchange& exchange) {
        return this->Serve(exchange);
      }) {
  this->server.Start();
  this->thread = std::thread([this] { this->pool.Run(); });
}

PlatformStore::~PlatformStore() {
  this->pool.Stop();
  this->thread.join();
}

json PlatformStore::ItemBody(const std::string& key) const {
  const auto& [value, revision] = this->items.at(key);
  return {{"key", key},
          {"value", EncodeBase64(value)},
          {"revision", revision},
          {"createRevision", revision},
          {"lease", 0}};
}

void PlatformStore::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(this->mutex);
  this->items[key] = {value, ++this->revision};
  this->events.push_back({this->revision, this->ItemBody(key)});
}

void PlatformStore::Remove(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  this->items.erase(key);
  ++this->revision;
  this->events.push_back(
      {this->revision,
       {{"key", key}, {"revision", this->revision}, {"removed", true}}});
}

void PlatformStore::RemoveUnseen(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  this->items.erase(key);
  ++this->revision;
}

void PlatformStore::Compact() {
  const std::lock_guard lock(this->mutex);
  this->events.clear();
  this->oldest_revision = ++this->revision;
}

void PlatformStore::SetMode(StoreMode mode) {
  const std::lock_guard lock(this->mutex);
  this->mode = mode;
}

HttpResponse PlatformStore::Range() {
  const std::lock_guard lock(this->mutex);
  json list = json::array();
  for (const auto& [key, item] : this->items)
    list.push_back(this->ItemBody(key));
  return Json({{"items", list},
               {"morePages", false},
               {"storeRevision", this->revision}});
}

asio::awaitable<HttpResponse> PlatformStore::Watch(std::uint64_t after,
                                                   milliseconds wait) {
  const auto deadline = std::chrono::steady_clock::now() + wait;
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (after < this->oldest_revision)
        co_return Status(410);
      json list = json::array();
      for (const Event& event : this->events) {
        if (event.revision > after)
          list.push_back(event.body);
      }
      if (!list.empty() || std::chrono::steady_clock::now() >= deadline ||
          this->mode != StoreMode::kServing) {
        co_return Json({{"events", list}, {"storeRevision", this->revision}});
      }
    }
    co_await SleepFor(kWatchPollInterval);
  }
}

asio::awaitable<void> PlatformStore::Serve(HttpExchange& exchange) {
  StoreMode current = StoreMode::kServing;
  {
    const std::lock_guard lock(this->mutex);
    current = this->mode;
  }
  if (current == StoreMode::kSilent)
    co_await SleepFor(kSilentDelay);
  const HttpRequest& request = exchange.request();
  HttpResponse response;
  if (current == StoreMode::kBusy) {
    response = Status(503);
  } else if (request.Path() == "/kv-range") {
    response = this->Range();
  } else if (request.Path() == "/kv-watch") {
    response = co_await this->Watch(
        std::stoull(request.QueryParameter("after").value_or("0")),
        milliseconds(
            std::stoll(request.QueryParameter("waitMs").value_or("0"))));
  } else {
    response = Status(404);
  }
  co_await exchange.Send(std::move(response));
}

}  // namespace buckthornpath
