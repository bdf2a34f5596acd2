/** @file response_head.h Reads the head of the response to one request. */

#ifndef SRC_GATEWAY_RESPONSE_HEAD_H_
#define SRC_GATEWAY_RESPONSE_HEAD_H_

#include <string>

#include "gateway/endpoint_connection.h"
#include "gateway/platform_adapter.h"

namespace buckthornpath {

/** Status of an endpoint whose address has been given to another one; the
 * request was not run. */
inline constexpr unsigned kMisdirected = 421;

/** The request that a response must belong to. */
struct ExpectedResponse {
  std::string request_id;
  bool is_to_head_request = false;
  const HeaderFields& request;  ///< Says which codings a body may have.
};

/**
 * Reads heads until one belongs to the request; late responses to earlier
 * requests on the connection are skipped.
 * @param[out] response What the head that was read last says.
 * @return False if the connection fails, no head belongs to the request, or the
 * body has a content coding that the request does not accept.
 */
asio::awaitable<bool> ReadMatchingHead(EndpointConnection& connection,
                                       const PlatformAdapter& adapter,
                                       const ExpectedResponse& expected,
                                       ResponseMetadata& response);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_RESPONSE_HEAD_H_
