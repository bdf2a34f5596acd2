/** @file response_head.cc Reads the head of the response to one request. */

#include "gateway/response_head.h"

#include "kernel/metrics.h"
#include "kernel/response_check.h"

namespace buckthornpath {

namespace {

/** Late responses to earlier requests that are skipped on a reused connection.
 */
constexpr int kMaxLateResponses = 2;

/** @return True if the request did not run, whatever the body is. */
bool StatesNotExecuted(const EndpointConnection& connection,
                       const ResponseMetadata& response) {
  return response.not_executed ||
         connection.Head().result_int() == kMisdirected;
}

}  // namespace

asio::awaitable<bool> ReadMatchingHead(EndpointConnection& connection,
                                       const PlatformAdapter& adapter,
                                       const ExpectedResponse& expected,
                                       ResponseMetadata& response) {
  for (int skipped = 0; skipped <= kMaxLateResponses; ++skipped) {
    if (co_await connection.ReadHead(expected.is_to_head_request))
      co_return false;
    response = adapter.ParseResponseHeader(connection.Head());
    if (response.request_id == expected.request_id)
      co_return StatesNotExecuted(connection, response) ||
          HasAcceptedCodings(connection.Head(), expected.is_to_head_request,
                             expected.request);
    ProcessMetrics().Add("foreign_answers_total");
    std::string ignored;
    while (!connection.IsResponseComplete()) {
      if (co_await connection.ReadBody(ignored))
        co_return false;
    }
  }
  co_return false;
}

}  // namespace buckthornpath
