/** @file platform_store.cc Fake of the platform's metadata store. */

#include "fakes/platform_store.h"

#include <openssl/evp.h>

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>
#include <set>
#include <utility>

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kWatchPollInterval{10};
constexpr std::chrono::seconds kSilentDelay{30};
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::uint64_t kMaxWaitMs = 30000;
constexpr std::uint64_t kMomentMs = 50;
constexpr char kEraField[] = "Store-Era";

std::string EncodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

HttpResponse Json(std::string body) {
  HttpResponse response;
  response.headers.Append("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

std::string ArrayOf(const std::vector<std::string>& items) {
  std::string text = "[";
  for (const std::string& item : items)
    text += (text.size() > 1 ? "," : "") + item;
  return text + "]";
}

/** A parsed request target. */
struct Target {
  std::string path;
  std::map<std::string, std::string> parameters;
};

/** @return Nothing if the target is malformed or repeats a parameter. */
std::optional<Target> ParseTarget(const std::string& text) {
  const auto url = boost::urls::parse_origin_form(text);
  if (!url)
    return std::nullopt;
  Target target;
  target.path = url->path();
  for (const auto& param : url->params({false, true, false})) {
    if (!target.parameters.emplace(param.key, param.value).second)
      return std::nullopt;
  }
  return target;
}

std::optional<std::uint64_t> ParseInteger(const std::string& text) {
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (error != std::errc() || end != last)
    return std::nullopt;
  return number;
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

void PlatformStore::Write(const std::string& key, std::string body) {
  this->items[key] = body;
  this->events.push_back({this->revision, std::move(body)});
}

void PlatformStore::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(this->mutex);
  ++this->revision;
  this->Write(key, json({{"key", key},
                         {"value", EncodeBase64(value)},
                         {"revision", this->revision},
                         {"createRevision", this->revision},
                         {"lease", 0}})
                       .dump());
}

void PlatformStore::PutRaw(const std::string& key, const std::string& text) {
  const std::lock_guard lock(this->mutex);
  ++this->revision;
  this->Write(key, text);
}

void PlatformStore::Remove(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  this->items.erase(key);
  ++this->revision;
  const json event = {
      {"key", key}, {"revision", this->revision}, {"removed", true}};
  this->events.push_back({this->revision, event.dump()});
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

std::uint64_t PlatformStore::Era() {
  const std::lock_guard lock(this->mutex);
  return this->era;
}

StoreCopy PlatformStore::TakeCopy() {
  const std::lock_guard lock(this->mutex);
  return {this->revision, this->oldest_revision, this->items, this->events};
}

void PlatformStore::ComeBackFrom(const StoreCopy& copy,
                                 OpenWatches open_watches) {
  const std::lock_guard lock(this->mutex);
  this->open_watches = open_watches;
  this->Replace(copy);
}

void PlatformStore::ComeBackWithinList(const StoreCopy& copy) {
  const std::lock_guard lock(this->mutex);
  this->copy_within_list = copy;
}

void PlatformStore::Replace(const StoreCopy& copy) {
  this->revision = copy.revision;
  this->oldest_revision = copy.oldest_revision;
  this->items = copy.items;
  this->events = copy.events;
  ++this->era;
}

void PlatformStore::SetEra(std::uint64_t next) {
  const std::lock_guard lock(this->mutex);
  this->era = next;
}

void PlatformStore::SetSendsEra(bool sends) {
  const std::lock_guard lock(this->mutex);
  this->sends_era = sends;
}

bool PlatformStore::LacksHistory(std::uint64_t after, std::uint64_t era) const {
  const bool is_open = era != this->era;
  if (is_open && this->open_watches == OpenWatches::kGoOn)
    return false;
  return after < this->oldest_revision || after > this->revision;
}

HttpResponse PlatformStore::WithEra(HttpResponse response) const {
  if (this->sends_era && !response.headers.Find(kEraField))
    response.headers.Append(kEraField, std::to_string(this->era));
  return response;
}

void PlatformStore::SetMode(StoreMode mode) {
  const std::lock_guard lock(this->mutex);
  this->mode = mode;
}

void PlatformStore::SetPages(PageMode pages) {
  const std::lock_guard lock(this->mutex);
  this->pages = pages;
}

void PlatformStore::SetWatches(WatchMode watches) {
  const std::lock_guard lock(this->mutex);
  this->watches = watches;
}

void PlatformStore::SetPageSize(std::size_t items) {
  const std::lock_guard lock(this->mutex);
  this->page_size = items;
}

StoreCalls PlatformStore::Calls() {
  const std::lock_guard lock(this->mutex);
  return this->calls;
}

HttpResponse PlatformStore::RefuseMalformed() {
  const std::lock_guard lock(this->mutex);
  ++this->calls.malformed;
  return Status(400);
}

HttpResponse PlatformStore::Range(const Parameters& parameters) {
  const auto prefix = parameters.find("prefix");
  const auto after = parameters.find("after");
  const bool is_first = after == parameters.end();
  const std::set<std::string> known = {"prefix", "after"};
  for (const auto& [name, value] : parameters) {
    if (!known.contains(name) || value.size() > kMaxKeyBytes)
      return this->RefuseMalformed();
  }
  if (prefix == parameters.end())
    return this->RefuseMalformed();
  const std::lock_guard lock(this->mutex);
  ++this->calls.range;
  if (!is_first && this->pages == PageMode::kOnlyTheFirst)
    return this->WithEra(Status(503));
  auto item = is_first || this->pages == PageMode::kRepeated
                  ? this->items.begin()
                  : this->items.upper_bound(after->second);
  std::vector<std::string> page;
  for (; item != this->items.end() && page.size() < this->page_size; ++item) {
    if (item->first.starts_with(prefix->second))
      page.push_back(item->second);
  }
  const bool has_more = item != this->items.end();
  HttpResponse response = this->WithEra(
      Json("{\"items\":" + ArrayOf(page) +
           ",\"morePages\":" + (has_more ? "true" : "false") +
           ",\"storeRevision\":" + std::to_string(this->revision) + "}"));
  if (has_more && this->copy_within_list)
    this->Replace(*std::exchange(this->copy_within_list, std::nullopt));
  return response;
}

asio::awaitable<HttpResponse> PlatformStore::Watch(Parameters parameters) {
  const auto after = ParseInteger(parameters["after"]);
  const auto wait = ParseInteger(parameters["waitMs"]);
  if (!after || !wait || *wait > kMaxWaitMs || !parameters.contains("prefix"))
    co_return this->RefuseMalformed();
  const auto deadline = std::chrono::steady_clock::now() + milliseconds(*wait);
  std::uint64_t first_era = 0;
  {
    const std::lock_guard lock(this->mutex);
    ++this->calls.watch;
    first_era = this->era;
  }
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->watches == WatchMode::kGone ||
          this->LacksHistory(*after, first_era))
        co_return this->WithEra(Status(410));
      std::vector<std::string> list;
      for (const StoreEvent& event : this->events) {
        if (event.revision > *after)
          list.push_back(event.body);
      }
      if (!list.empty() || std::chrono::steady_clock::now() >= deadline ||
          this->mode != StoreMode::kServing ||
          this->watches == WatchMode::kHasty) {
        co_return this->WithEra(
            Json("{\"events\":" + ArrayOf(list) +
                 ",\"storeRevision\":" + std::to_string(this->revision) + "}"));
      }
    }
    co_await SleepFor(kWatchPollInterval);
  }
}

asio::awaitable<HttpResponse> PlatformStore::Respond(
    const HttpRequest& request) {
  std::optional<Target> target = ParseTarget(request.target);
  if (!target)
    co_return this->RefuseMalformed();
  if (target->path == "/kv-range")
    co_return this->Range(target->parameters);
  if (target->path == "/kv-watch")
    co_return co_await this->Watch(std::move(target->parameters));
  co_return Status(404);
}

bool PlatformStore::TakesToCut(const HttpRequest& request) {
  const std::lock_guard lock(this->mutex);
  if (this->watches != WatchMode::kCut || this->mode != StoreMode::kServing)
    return false;
  const auto wait = request.QueryParameter("waitMs");
  if (request.Path() != "/kv-watch" || !wait ||
      ParseInteger(*wait).value_or(0) <= kMomentMs)
    return false;
  ++this->calls.watch;
  return true;
}

asio::awaitable<void> PlatformStore::Serve(HttpExchange& exchange) {
  StoreMode current = StoreMode::kServing;
  {
    const std::lock_guard lock(this->mutex);
    current = this->mode;
  }
  if (current == StoreMode::kSilent)
    co_await SleepFor(kSilentDelay);
  if (this->TakesToCut(exchange.request())) {
    HttpResponse head;
    head.headers.Append(kEraField, std::to_string(this->Era()));
    co_await exchange.BeginStream(std::move(head));
    co_return;
  }
  HttpResponse response = Status(503);
  if (current != StoreMode::kBusy)
    response = co_await this->Respond(exchange.request());
  {
    const std::lock_guard lock(this->mutex);
    response = this->WithEra(std::move(response));
  }
  co_await exchange.Send(std::move(response));
}

}  // namespace buckthornpath
