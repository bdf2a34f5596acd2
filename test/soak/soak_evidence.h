/** @file soak_evidence.h Log lines that explain violations of a soak. */

#ifndef TEST_SOAK_SOAK_EVIDENCE_H_
#define TEST_SOAK_SOAK_EVIDENCE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "harness/gateway_fleet.h"

namespace buckthornpath {

/** @return Log lines that help to explain violations: those of the requests
 * that they name, and those of changes of a process's state.
 * @param more_texts Lines that contain one of these are included. */
std::string FindEvidence(const GatewayFleet& fleet,
                         std::size_t gateways,
                         const std::vector<std::string>& violations,
                         const std::vector<std::string>& more_texts = {});

}  // namespace buckthornpath

#endif  // TEST_SOAK_SOAK_EVIDENCE_H_
