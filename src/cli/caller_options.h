/** @file caller_options.h What `send` and `ticket` say as a caller. */

#ifndef SRC_CLI_CALLER_OPTIONS_H_
#define SRC_CLI_CALLER_OPTIONS_H_

#include <string>
#include <vector>

#include "cli/command.h"
#include "kernel/http_type.h"
#include "kernel/socket_address.h"

namespace buckthornpath {

/** @return The routers to be used in turn. */
std::vector<SocketAddress> RoutersOf(const CommandOptions& options);

/** @return A POST with credential, profile and chat. */
HttpRequest CallerRequestOf(const CommandOptions& options);

/**
 * Asks the routers in turn for a ticket.
 * @throws HttpError If none gives one.
 */
std::string AskForTicket(const CommandOptions& options);

}  // namespace buckthornpath

#endif  // SRC_CLI_CALLER_OPTIONS_H_
