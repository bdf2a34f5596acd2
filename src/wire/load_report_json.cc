/** @file load_report_json.cc Encodes load reports as compact JSON arrays. */

#include "wire/load_report_json.h"

#include <string>
#include <string_view>

#include "kernel/metrics.h"

namespace buckthornpath {

void to_json(nlohmann::json& out, const LoadReport& report) {
  out = nlohmann::json::array(
      {report.endpoint.str(), report.load, report.age.count()});
}

void from_json(const nlohmann::json& in, LoadReport& report) {
  report.endpoint = EndpointId(in.at(0).get<std::string>());
  report.load = in.at(1).get<std::int64_t>();
  report.age = std::chrono::milliseconds(in.at(2).get<std::int64_t>());
}

std::size_t EncodedSize(const std::vector<LoadReport>& reports) {
  constexpr std::string_view kKey = "loads";
  return 1 + kKey.size() +
         nlohmann::json::to_cbor(nlohmann::json(reports)).size();
}

std::size_t EncodedSize(const CallAccepted& accepted) {
  const nlohmann::json fields = {{"running", accepted.running},
                                 {"queued", accepted.queued}};
  return nlohmann::json::to_cbor(fields).size() - 1;
}

}  // namespace buckthornpath
