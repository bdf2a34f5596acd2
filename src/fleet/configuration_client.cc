/** @file configuration_client.cc Reads and watches the configuration service.
 */

#include "fleet/configuration_client.h"

#include "kernel/http_client.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{500};
constexpr std::chrono::milliseconds kReadTimeout{3000};

/** @throws HttpError If the value cannot be read. */
asio::awaitable<HttpResponse> ReadValue(SocketAddress service,
                                        std::string target,
                                        std::chrono::milliseconds timeout) {
  HttpRequest request;
  request.target = std::move(target);
  HttpResponse response =
      co_await HttpFetch(service, std::move(request), timeout);
  if (response.status != 200) {
    throw HttpError("status " + std::to_string(response.status));
  }
  co_return response;
}

}  // namespace

asio::awaitable<std::string> ConfigurationClient::WatchIndex() {
  const std::string target =
      "/v1/watch/index?known=" + this->known_version +
      "&wait_ms=" + std::to_string(this->watch_wait.count());
  HttpResponse response = co_await ReadValue(this->service, target,
                                             this->watch_wait + kReadTimeout);
  this->known_version = response.headers.Find("X-Version").value_or("");
  co_return std::move(response.body);
}

asio::awaitable<void> ConfigurationClient::Apply(const Index& index) {
  const ConfigurationPtr before = this->store.InForce();
  if (index.revision <= before->revision)
    co_return;
  auto next = std::make_shared<Configuration>();
  next->revision = index.revision;
  for (const IndexEntry& entry : index.entries) {
    const HttpResponse response = co_await ReadValue(
        this->service, "/v1/values/" + entry.name, kReadTimeout);
    const std::string& text = response.body;
    if (DocumentDigest(text) != entry.digest) {
      throw HttpError("digest of '" + entry.name + "' differs from the index");
    }
    AddDocument(*next, entry, text);
  }
  if (!this->store.Adopt(next))
    co_return;
  LogLine(LogLevel::kInfo, "configuration_in_force",
          {{"revision", static_cast<std::uint64_t>(index.revision)}});
}

asio::awaitable<void> ConfigurationClient::Follow() {
  while (true) {
    std::string fault;
    try {
      const std::string text = co_await this->WatchIndex();
      co_await this->Apply(ParseIndex(text));
    } catch (const std::exception& error) {
      fault = error.what();
      this->known_version.clear();
    }
    if (fault.empty())
      continue;
    ProcessMetrics().Add("configuration_faults_total");
    LogLine(LogLevel::kWarning, "configuration_fault", {{"reason", fault}});
    co_await SleepFor(kRetryDelay);
  }
}

}  // namespace buckthornpath
