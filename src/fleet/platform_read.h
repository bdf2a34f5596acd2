/** @file platform_read.h HTTP requests to the platform's services. */

#ifndef SRC_FLEET_PLATFORM_READ_H_
#define SRC_FLEET_PLATFORM_READ_H_

#include <string>

#include "kernel/http_client.h"

namespace buckthornpath {

/**
 * Sends a request to the configuration service or the VM list service, with
 * the reader in User-Agent, and counts its bytes and those of the response as
 * control traffic.
 * @param reader Name of this process's VM.
 * @throws HttpError If there is no response in time.
 */
asio::awaitable<HttpResponse> ReadPlatform(std::string reader,
                                           SocketAddress service,
                                           HttpRequest request,
                                           HttpTimeouts timeouts);

}  // namespace buckthornpath

#endif  // SRC_FLEET_PLATFORM_READ_H_
