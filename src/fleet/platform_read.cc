/** @file platform_read.cc HTTP requests to the platform's services. */

#include "fleet/platform_read.h"

#include "kernel/control_traffic.h"
#include "wire/load_report_json.h"

namespace buckthornpath {

namespace {

/** Approximate bytes of a request line without its target, or status line. */
constexpr std::size_t kStartLineBytes = 32;

std::size_t HeaderBytes(const HttpHeaders& headers) {
  std::size_t size = 0;
  for (const auto& [name, value] : headers.Fields())
    size += name.size() + value.size() + 4;
  return size;
}

}  // namespace

asio::awaitable<HttpResponse> ReadPlatform(std::string reader,
                                           SocketAddress service,
                                           HttpRequest request,
                                           HttpTimeouts timeouts) {
  request.headers.Append("User-Agent", "buckthornpathd/" + reader);
  CountControlTraffic(
      ControlTrafficKind::kPlatform, ControlDirection::kSent,
      kStartLineBytes + request.target.size() + HeaderBytes(request.headers));
  HttpResponse response =
      co_await HttpFetch(service, std::move(request), timeouts);
  CountControlTraffic(
      ControlTrafficKind::kPlatform, ControlDirection::kReceived,
      kStartLineBytes + HeaderBytes(response.headers) + response.body.size());
  co_return response;
}

}  // namespace buckthornpath
