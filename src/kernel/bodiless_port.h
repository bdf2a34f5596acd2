/** @file bodiless_port.h Limits of a port whose requests need no body. */

#ifndef SRC_KERNEL_BODILESS_PORT_H_
#define SRC_KERNEL_BODILESS_PORT_H_

#include <cstddef>

#include "kernel/http_server.h"

namespace buckthornpath {

/** Maximum size of a body that a client sends although none is needed. */
inline constexpr std::size_t kUnneededBodyBytes = std::size_t{4} * 1024;

/**
 * Limits for operators, readiness and peers. Answers a crowd that sends large
 * bodies of which none ends: each is refused with 413 at its header, or once
 * its chunks exceed the limit, so that none is kept.
 */
inline HttpLimits BodilessPortLimits() {
  HttpLimits limits;
  limits.body_bytes = kUnneededBodyBytes;
  return limits;
}

}  // namespace buckthornpath

#endif  // SRC_KERNEL_BODILESS_PORT_H_
