/** @file caller_options.cc Makes the requests of `send` and `ticket`. */

#include "cli/caller_options.h"

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "cli/http_call.h"

namespace buckthornpath {

namespace {

constexpr const char* kCredentialVariable = "BUCKTHORNPATH_CREDENTIAL";

std::string ReadCredential(const CommandOptions& options) {
  const auto file_name = options.Text("--credential-file");
  if (file_name) {
    std::ifstream file(*file_name);
    std::string credential;
    if (!std::getline(file, credential))
      throw std::runtime_error(*file_name + ": cannot be read");
    return credential;
  }
  const char* value = std::getenv(kCredentialVariable);
  if (value == nullptr) {
    throw std::runtime_error(
        std::string("no credential: give --credential-file or set ") +
        kCredentialVariable);
  }
  return value;
}

}  // namespace

std::vector<SocketAddress> RouterAddresses(const CommandOptions& options) {
  std::vector<SocketAddress> routers;
  for (const std::string& text : options.TextList("--router"))
    routers.push_back(ParseSocketAddress(text));
  return routers;
}

HttpRequest MakeCallerRequest(const CommandOptions& options) {
  HttpRequest request;
  request.method = "POST";
  request.headers.Append("Authorization", "Bearer " + ReadCredential(options));
  request.headers.Append("X-Profile", options.Text("--profile").value_or(""));
  request.headers.Append("Content-Type", "application/json");
  const auto chat = options.Text("--chat");
  if (chat)
    request.headers.Append("X-Chat", *chat);
  const auto location = options.Text("--location");
  if (location)
    request.headers.Append("X-Location", *location);
  return request;
}

std::string RequestTicket(const CommandOptions& options) {
  std::string last_error = "no --router given";
  for (const SocketAddress& router : RouterAddresses(options)) {
    HttpRequest request = MakeCallerRequest(options);
    request.target = "/v1/tickets";
    try {
      const HttpResponse response =
          FetchBlocking(router, std::move(request), kRequestTimeout);
      if (response.status == 201)
        return nlohmann::json::parse(response.body).at("ticket");
      last_error = response.body;
    } catch (const HttpError& error) {
      last_error = error.what();
    }
  }
  throw HttpError("no router issued a ticket; last error: " + last_error);
}

}  // namespace buckthornpath
