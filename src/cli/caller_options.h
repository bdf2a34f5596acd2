/** @file caller_options.h Makes the requests of `send` and `ticket`. */

#ifndef SRC_CLI_CALLER_OPTIONS_H_
#define SRC_CLI_CALLER_OPTIONS_H_

#include <string>
#include <vector>

#include "cli/command.h"
#include "kernel/http_type.h"
#include "kernel/socket_address.h"

namespace buckthornpath {

/** @return Addresses of `--router`, in the order in which they are tried. */
std::vector<SocketAddress> RouterAddresses(const CommandOptions& options);

/**
 * @return A POST request without target and body; its headers hold the
 *     credential, profile, chat and location.
 * @throws std::runtime_error If there is no credential.
 */
HttpRequest MakeCallerRequest(const CommandOptions& options);

/**
 * Requests a ticket from each router in turn until one issues it.
 * @throws HttpError If none does; the text holds the last error.
 */
std::string RequestTicket(const CommandOptions& options);

}  // namespace buckthornpath

#endif  // SRC_CLI_CALLER_OPTIONS_H_
