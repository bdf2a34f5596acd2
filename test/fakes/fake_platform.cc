/** @file fake_platform.cc Fake configuration service and VM list for tests. */

#include <docopt/docopt.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <set>
#include <utility>

#include "fakes/fake_program.h"
#include "kernel/url_text.h"

namespace buckthornpath {

namespace {

constexpr const char* kUsage =
    R"(fake_platform: configuration service and VM list for tests.

Usage:
  fake_platform --configuration=<address> --vm-list=<address>
                [--documents=<dir>] [--vms=<file>]

Options:
  --documents=<dir>  Values to hold at first; a file's path without
                     .json is its name.
  --vms=<file>       VM list to hold at first.
)";

constexpr std::chrono::milliseconds kWatchPollInterval{5};

/** A value; its version is the number of times it was written. */
struct StoredValue {
  std::string text;
  std::uint64_t version = 0;
  std::string previous_text;  ///< The text before the last write.
};

/** Faults set by a control request; readers are identified by their VMs. */
struct PlatformFaults {
  bool configuration_outage = false;
  bool vm_list_outage = false;
  std::set<std::string> configuration_outage_for;
  std::set<std::string> vm_list_outage_for;
  std::set<std::string> stale_for;  ///< Readers that get the previous values.
};

/** @return The VM that sent a request: the part of User-Agent after "/". */
std::string ReaderName(const HttpRequest& request) {
  const std::string agent = request.headers.Find("User-Agent").value_or("");
  return agent.substr(agent.find('/') + 1);
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

class FakePlatform {
 public:
  void LoadDocuments(const std::filesystem::path& directory) {
    for (const auto& item :
         std::filesystem::recursive_directory_iterator(directory)) {
      if (!item.is_regular_file())
        continue;
      auto name = std::filesystem::relative(item.path(), directory);
      if (name.extension() == ".json")
        name.replace_extension();
      this->Put(name.string(), ReadFile(item.path()));
    }
  }

  void LoadVms(const std::filesystem::path& path) {
    const std::lock_guard lock(this->mutex);
    this->vms = ReadFile(path);
  }

  asio::awaitable<void> ServeConfiguration(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const std::string path(request.Path());
    if (path == "/control") {
      co_await exchange.Send(this->Control(request));
    } else if (request.method == "PUT" && path.rfind("/v1/values/", 0) == 0) {
      const auto name = DecodeUrlText(path.substr(11));
      if (name)
        this->Put(*name, request.body);
      co_await exchange.Send(StatusResponse(name ? 204 : 400));
    } else if (this->RecordReadAndCheckOutage(ReaderName(request))) {
      co_await exchange.Send(StatusResponse(503));
    } else if (path.rfind("/v1/values/", 0) == 0) {
      co_await this->SendValue(exchange, path.substr(11));
    } else if (path.rfind("/v1/watch/", 0) == 0) {
      co_await this->Watch(exchange, path.substr(10));
    } else {
      co_await exchange.Send(StatusResponse(404));
    }
  }

  asio::awaitable<void> ServeVmList(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    HttpResponse response{200, {}, ""};
    {
      const std::lock_guard lock(this->mutex);
      const std::string reader = ReaderName(request);
      if (request.method == "PUT") {
        const auto reader_filter = request.QueryParameter("reader");
        (reader_filter ? this->vms_by_reader[*reader_filter] : this->vms) =
            request.body;
      } else if (this->faults.vm_list_outage ||
                 this->faults.vm_list_outage_for.count(reader) > 0) {
        response.status = 503;
      } else {
        ++this->vm_list_reads;
        response = this->VmList(reader, request);
      }
    }
    co_await exchange.Send(std::move(response));
  }

 private:
  HttpResponse VmList(const std::string& reader, const HttpRequest& request) {
    const auto override_list = this->vms_by_reader.find(reader);
    std::string text = override_list == this->vms_by_reader.end()
                           ? this->vms
                           : override_list->second;
    const std::string etag = std::to_string(std::hash<std::string>()(text));
    if (request.headers.Find("If-None-Match") == etag)
      return {304, {{"ETag", etag}}, ""};
    return {200, {{"ETag", etag}}, std::move(text)};
  }

  asio::awaitable<void> SendValue(HttpExchange& exchange,
                                  std::string encoded_name) {
    const auto name = DecodeUrlText(encoded_name);
    HttpResponse response = StatusResponse(400);
    if (name)
      response = this->Get(*name, ReaderName(exchange.request()));
    co_await exchange.Send(std::move(response));
  }

  void Put(const std::string& name, std::string text) {
    const std::lock_guard lock(this->mutex);
    StoredValue& value = this->values[name];
    value.previous_text = std::exchange(value.text, std::move(text));
    ++value.version;
  }

  bool RecordReadAndCheckOutage(const std::string& reader) {
    const std::lock_guard lock(this->mutex);
    ++this->configuration_reads;
    return this->faults.configuration_outage ||
           this->faults.configuration_outage_for.count(reader) > 0;
  }

  HttpResponse Get(const std::string& name, const std::string& reader) {
    const std::lock_guard lock(this->mutex);
    const auto found = this->values.find(name);
    if (found == this->values.end())
      return {404, {}, ""};
    const StoredValue& value = found->second;
    if (this->faults.stale_for.count(reader) > 0) {
      return {200,
              {{"X-Version", std::to_string(value.version - 1)}},
              value.previous_text};
    }
    return {200, {{"X-Version", std::to_string(value.version)}}, value.text};
  }

  asio::awaitable<void> Watch(HttpExchange& exchange, std::string name) {
    const std::string known =
        exchange.request().QueryParameter("known").value_or("");
    const std::chrono::milliseconds wait(std::strtoll(
        exchange.request().QueryParameter("wait_ms").value_or("0").c_str(),
        nullptr, 10));
    const auto deadline = std::chrono::steady_clock::now() + wait;
    const std::string reader = ReaderName(exchange.request());
    HttpResponse response = this->Get(name, reader);
    while (response.headers.Find("X-Version").value_or("") == known &&
           std::chrono::steady_clock::now() < deadline) {
      co_await SleepFor(kWatchPollInterval);
      response = this->Get(name, reader);
    }
    if (response.headers.Find("X-Version").value_or("") == known)
      response = {304, {{"X-Version", known}}, ""};
    co_await exchange.Send(std::move(response));
  }

  HttpResponse Control(const HttpRequest& request) {
    const std::lock_guard lock(this->mutex);
    if (request.method == "POST") {
      const auto body = nlohmann::json::parse(request.body);
      this->faults.configuration_outage =
          body.value("configuration_outage", false);
      this->faults.vm_list_outage = body.value("vm_list_outage", false);
      using Names = std::set<std::string>;
      this->faults.configuration_outage_for =
          body.value("configuration_outage_for", Names());
      this->faults.vm_list_outage_for =
          body.value("vm_list_outage_for", Names());
      this->faults.stale_for = body.value("stale_for", Names());
    }
    return JsonResponse({{"configuration_reads", this->configuration_reads},
                         {"vm_list_reads", this->vm_list_reads}});
  }

  std::mutex mutex;
  std::map<std::string, StoredValue> values;
  std::string vms = R"({"vms":[]})";
  /** VM lists by reader; each overrides `vms` for its reader. */
  std::map<std::string, std::string> vms_by_reader;
  PlatformFaults faults;
  std::uint64_t configuration_reads = 0;
  std::uint64_t vm_list_reads = 0;
};

int Main(int argc, char** argv) {
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
  FakePlatform platform;
  if (options["--documents"]) {
    platform.LoadDocuments(options["--documents"].asString());
  }
  if (options["--vms"])
    platform.LoadVms(options["--vms"].asString());
  WorkerPool pool(2);
  HttpServer configuration(
      pool, ParseSocketAddress(options["--configuration"].asString()), {},
      [&](HttpExchange& exchange) {
        return platform.ServeConfiguration(exchange);
      });
  HttpServer vm_list(
      pool, ParseSocketAddress(options["--vm-list"].asString()), {},
      [&](HttpExchange& exchange) { return platform.ServeVmList(exchange); });
  configuration.Start();
  vm_list.Start();
  RunUntilSignal(pool);
  std::quick_exit(0);
}

}  // namespace

}  // namespace buckthornpath

int main(int argc, char** argv) {
  return buckthornpath::Main(argc, argv);
}
