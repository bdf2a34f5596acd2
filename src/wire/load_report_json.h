/** @file load_report_json.h Encodes load reports as compact JSON arrays. */

#ifndef SRC_WIRE_LOAD_REPORT_JSON_H_
#define SRC_WIRE_LOAD_REPORT_JSON_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "wire/message_type.h"

namespace buckthornpath {

/** Writes a report as [endpoint, load, age in milliseconds]. */
void to_json(nlohmann::json& out, const LoadReport& report);

/** @throws nlohmann::json::exception If the value is not a valid report. */
void from_json(const nlohmann::json& in, LoadReport& report);

/** @return Size in bytes of reports and their key in an encoded message. */
std::size_t EncodedSize(const std::vector<LoadReport>& reports);

/** @return Size in bytes of the load fields in an encoded CallAccepted. */
std::size_t EncodedSize(const CallAccepted& accepted);

}  // namespace buckthornpath

#endif  // SRC_WIRE_LOAD_REPORT_JSON_H_
