/** @file request_syntax.h Checks the syntax of callers' requests. */

#ifndef SRC_ROUTER_REQUEST_SYNTAX_H_
#define SRC_ROUTER_REQUEST_SYNTAX_H_

#include <string>

#include "kernel/http_type.h"

namespace buckthornpath {

/**
 * Checks the rules for every request: the target is printable ASCII with valid
 * percent-encoding, and headers that the router evaluates are not repeated.
 * @return Description of the first error, or an empty string.
 */
std::string FindSyntaxError(const HttpRequest& http);

/** @return True if the request's path supports its method. */
bool IsMethodAllowed(const HttpRequest& http);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_REQUEST_SYNTAX_H_
