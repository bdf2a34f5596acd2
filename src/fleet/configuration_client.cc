/** @file configuration_client.cc Keeps the configuration up to date. */

#include "fleet/configuration_client.h"

#include "fleet/index_delta.h"
#include "fleet/platform_read.h"
#include "fleet/uptime.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/scoped_count.h"
#include "kernel/url_text.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kMinRetryDelay{500};
constexpr std::chrono::milliseconds kMaxRetryDelay{8000};
constexpr std::chrono::milliseconds kReadTimeout{3000};

/** Interval at which a process checks whether it has become a watcher. */
constexpr std::chrono::milliseconds kWatcherCheckInterval{1000};

constexpr std::chrono::milliseconds kApplyPollInterval{10};

/** Sets a flag for the duration of a scope. */
class FlagGuard {
 public:
  explicit FlagGuard(bool& flag) : flag(flag) { this->flag = true; }
  ~FlagGuard() { this->flag = false; }
  FlagGuard(const FlagGuard&) = delete;
  FlagGuard& operator=(const FlagGuard&) = delete;

 private:
  bool& flag;
};

/** @return "index/R1-D1/R2-D2", the name under which a peer serves a delta. */
std::string DeltaName(const IndexVersion& from, const IndexVersion& to) {
  return "index/" + std::to_string(from.revision) + "-" +
         std::to_string(from.digest) + "/" + std::to_string(to.revision) + "-" +
         std::to_string(to.digest);
}

/** Reports that two different indices carry the same revision. */
void ReportConflict(const IndexVersion& kept, const IndexVersion& dropped) {
  ProcessMetrics().Add("configuration_conflicts_total");
  LogLine(LogLevel::kError, "configuration_conflict",
          {{"revision", kept.revision},
           {"kept", FormatDigest(kept.digest)},
           {"dropped", FormatDigest(dropped.digest)}});
}

/** Reports that the service published an index older than the active one. */
void ReportStale(const IndexVersion& active, const IndexVersion& stale) {
  if (active.revision == stale.revision) {
    ReportConflict(active, stale);
    return;
  }
  ProcessMetrics().Add("configuration_stale_total");
  LogLine(LogLevel::kWarning, "configuration_stale",
          {{"revision", stale.revision}, {"in_force", active.revision}});
}

/**
 * Decodes an index sent by a peer. The first byte of the value is 'w' for a
 * whole index and anything else for a delta against the active one.
 */
Index DecodePeerIndex(const Index& active, const std::string& value) {
  const bool is_full_index = !value.empty() && value.front() == 'w';
  const Index empty_index;
  return ApplyIndexDelta(is_full_index ? empty_index : active,
                         value.substr(value.empty() ? 0 : 1));
}

}  // namespace

std::chrono::milliseconds ConfigurationClient::Jitter(
    std::chrono::milliseconds time) {
  const auto half = static_cast<unsigned>(time.count() / 2 + 1);
  return time / 2 + std::chrono::milliseconds(this->random() % half);
}

bool ConfigurationClient::IsWatcher() const {
  return !this->gossip.IsEnabled() || this->members.IsWatcher(FailureDomainId(
                                          this->settings.failure_domain));
}

asio::awaitable<HttpResponse> ConfigurationClient::Read(std::string target,
                                                        HttpTimeouts timeouts) {
  HttpRequest request;
  request.target = std::move(target);
  HttpResponse response = co_await ReadPlatform(
      this->settings.vm,
      ParseSocketAddress(this->settings.configuration_address),
      std::move(request), timeouts);
  if (response.status != 200 && response.status != 304)
    throw HttpError("configuration service answered with status " +
                    std::to_string(response.status));
  co_return response;
}

asio::awaitable<std::string> ConfigurationClient::ReadAtService(
    std::string name,
    std::string digest) {
  const HttpResponse response =
      co_await this->Read("/v1/values/" + EncodePath(name), kReadTimeout);
  if (DocumentDigest(response.body) == digest)
    co_return response.body;
  co_return co_await this->gossip.PullFromAny("document/" + digest);
}

void ConfigurationClient::Refuse(const IndexVersion& version,
                                 const InvalidDocument& refused) {
  nlohmann::json faults = nlohmann::json::array();
  for (const DocumentFault& fault : refused.Faults())
    faults.push_back({{"path", fault.path}, {"reason", fault.reason}});
  ProcessMetrics().Add("configuration_refusals_total");
  LogLine(LogLevel::kError, "configuration_refused",
          {{"revision", version.revision},
           {"digest", FormatDigest(version.digest)},
           {"faults", faults}});
  this->store.Refuse({version, refused.Faults()});
}

asio::awaitable<void> ConfigurationClient::Apply(const Index& index,
                                                 const char* source,
                                                 const ReadDocument& read) {
  DocumentTexts texts = this->store.Active()->texts;
  for (const IndexEntry& entry : index.entries) {
    if (texts.count(entry.digest) > 0)
      continue;
    std::string text = co_await read(entry.name, entry.digest);
    if (DocumentDigest(text) != entry.digest)
      throw HttpError("document '" + entry.name +
                      "' does not match its digest in the index");
    ProcessMetrics().Add("configuration_documents_read_total");
    texts[entry.digest] = std::make_shared<const std::string>(std::move(text));
  }
  const IndexVersion before = this->store.Active()->index.version;
  try {
    if (!this->store.Activate(BuildConfiguration(index, texts)))
      co_return;
  } catch (const InvalidDocument& refused) {
    this->Refuse(index.version, refused);
    co_return;
  }
  if (before.revision == index.version.revision)
    ReportConflict(index.version, before);
  LogLine(LogLevel::kInfo, "configuration_in_force",
          {{"revision", index.version.revision},
           {"digest", FormatDigest(index.version.digest)},
           {"source", source}});
  this->gossip.ExchangeNow();
}

asio::awaitable<void> ConfigurationClient::ApplyFromService(
    const std::string& text) {
  Index index;
  try {
    index = ParseIndex(text);
  } catch (const InvalidDocument& refused) {
    if (this->last_malformed != text)
      this->Refuse({}, refused);
    this->last_malformed = text;
    co_return;
  }
  const IndexVersion active = this->store.Active()->index.version;
  if (index.version < active && index.version != this->last_stale) {
    this->last_stale = index.version;
    ReportStale(active, index.version);
  }
  co_await this->WaitWhileApplying();
  if (!this->store.ShouldFetch(index.version))
    co_return;
  const FlagGuard guard(this->is_applying);
  const ReadDocument read = [this](const std::string& name,
                                   const std::string& digest) {
    return this->ReadAtService(name, digest);
  };
  co_await this->Apply(index, "service", read);
}

asio::awaitable<void> ConfigurationClient::PollService(
    std::chrono::milliseconds wait) {
  const std::string target = MakeTarget(
      "/v1/watch/index", {{"known", this->known_version},
                          {"wait_ms", std::to_string(wait.count())}});
  // A lost response is noticed by the end of the wait and kReadTimeout.
  const HttpTimeouts timeouts(kReadTimeout, wait + kReadTimeout);
  const HttpResponse response = co_await this->Read(target, timeouts);
  if (response.status == 304)
    co_return;
  const ScopedCount<int> mark(this->fetch_count);
  this->last_poll_at = Uptime();
  co_await this->ApplyFromService(response.body);
  this->known_version = response.headers.Find("X-Version").value_or("");
}

asio::awaitable<void> ConfigurationClient::Follow() {
  std::chrono::milliseconds delay = kMinRetryDelay;
  std::chrono::milliseconds until_poll{};  ///< Time until the next poll.
  if (this->gossip.TimeSinceLastExchange())
    until_poll = this->Jitter(this->settings.configuration_wait);
  while (true) {
    const bool is_watcher = this->IsWatcher();
    if (!is_watcher && until_poll > std::chrono::milliseconds::zero()) {
      co_await SleepFor(std::min(until_poll, kWatcherCheckInterval));
      until_poll -= kWatcherCheckInterval;
      continue;
    }
    const bool has_no_index = this->known_version.empty();
    std::string fault;
    try {
      co_await this->PollService(is_watcher && !has_no_index
                                     ? this->settings.configuration_wait
                                     : std::chrono::milliseconds::zero());
      delay = kMinRetryDelay;
    } catch (const std::exception& error) {
      fault = error.what();
    }
    this->last_poll_at = Uptime();
    until_poll = this->Jitter(this->settings.configuration_wait);
    if (fault.empty())
      continue;
    ProcessMetrics().Add("configuration_faults_total");
    LogLine(LogLevel::kWarning, "configuration_fault", {{"reason", fault}});
    if (!is_watcher)
      continue;
    co_await SleepFor(this->Jitter(delay));
    delay = std::min(2 * delay, kMaxRetryDelay);
  }
}

asio::awaitable<void> ConfigurationClient::WaitWhileApplying() {
  while (this->is_applying)
    co_await SleepFor(kApplyPollInterval);
}

asio::awaitable<void> ConfigurationClient::FetchFromPeer(GossipAddress peer,
                                                         IndexVersion version) {
  co_await this->WaitWhileApplying();
  if (!this->store.ShouldFetch(version))
    co_return;
  const FlagGuard guard(this->is_applying);
  const Index active = this->store.Active()->index;
  const std::string value =
      co_await this->gossip.Pull(peer, DeltaName(active.version, version));
  const Index index = DecodePeerIndex(active, value);
  if (index.version != version)
    throw PeerFailed("index from the peer differs from the one it announced");
  const ReadDocument read = [this, peer](const std::string& /*name*/,
                                         const std::string& digest) {
    return this->gossip.Pull(peer, "document/" + digest);
  };
  co_await this->Apply(index, "peer", read);
}

asio::awaitable<void> ConfigurationClient::AdoptFromPeer(GossipAddress peer,
                                                         IndexVersion version) {
  if (!this->announced || this->announced->second < version)
    this->announced.emplace(peer, version);
  if (this->is_adopting)
    co_return;
  this->is_adopting = true;
  const ScopedCount<int> mark(this->fetch_count);
  while (this->announced) {
    const auto [from, wanted] = *this->announced;
    this->announced.reset();
    std::string fault;
    try {
      co_await this->FetchFromPeer(from, wanted);
    } catch (const std::exception& error) {
      fault = error.what();
    }
    if (fault.empty())
      continue;
    ProcessMetrics().Add("configuration_peer_faults_total");
    LogLine(LogLevel::kInfo, "configuration_peer_fault", {{"reason", fault}});
  }
  this->is_adopting = false;
}

}  // namespace buckthornpath
