/** @file request_form.h Form of a caller's request, before its meaning. */

#ifndef SRC_ROUTER_REQUEST_FORM_H_
#define SRC_ROUTER_REQUEST_FORM_H_

#include <string>

#include "kernel/http_type.h"

namespace buckthornpath {

/**
 * Checks what holds for every request: a target of printable ASCII with sound
 * percent-encoding, and no header that decides twice.
 * @return What is wrong, or an empty text.
 */
std::string FaultOfForm(const HttpRequest& http);

/** @return True if a method may be used on a path. */
bool IsMethodAllowed(const HttpRequest& http);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_REQUEST_FORM_H_
