/** @file soak_evidence.cc Log lines that explain violations of a soak. */

#include "soak/soak_evidence.h"

#include <algorithm>
#include <sstream>

namespace buckthornpath {

std::string FindEvidence(const GatewayFleet& fleet,
                         std::size_t gateways,
                         const std::vector<std::string>& violations,
                         const std::vector<std::string>& more_texts) {
  std::vector<std::string> needles = {"\"started\"",     "\"stopped\"",
                                      "\"drain_begun\"", "\"cut_off\"",
                                      "_failed\"",       "out_of_rotation",
                                      "segment_",        "endpoint_crashed",
                                      "endpoint_closed", "domain_"};
  needles.insert(needles.end(), more_texts.begin(), more_texts.end());
  for (const std::string& violation : violations)
    needles.push_back("\"" + violation.substr(0, violation.find(' ')) + "\"");
  std::string evidence;
  for (std::size_t i = 0; i < gateways; ++i) {
    std::istringstream log(fleet.Log(i));
    for (std::string line; std::getline(log, line);) {
      const bool is_evidence =
          std::any_of(needles.begin(), needles.end(), [&](const auto& needle) {
            return line.find(needle) != std::string::npos;
          });
      if (is_evidence)
        evidence += line + "\n";
    }
  }
  return evidence;
}

}  // namespace buckthornpath
