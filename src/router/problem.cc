/** @file problem.cc Problem documents that callers receive. */

#include "router/problem.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "table/problem_table.h"

namespace buckthornpath {

const ProblemRow& FindProblem(std::string_view type) {
  const auto* found =
      std::find_if(std::begin(kProblemRows), std::end(kProblemRows),
                   [&](const ProblemRow& row) { return row.type == type; });
  return found == std::end(kProblemRows) ? *std::prev(found) : *found;
}

std::string ProblemJson(const Problem& problem) {
  const ProblemRow& row = FindProblem(problem.type);
  nlohmann::ordered_json document = {
      {"type", "urn:buckthornpath:problem:" + problem.type},
      {"title", row.title},
      {"status", row.status},
      {"detail", problem.detail},
      {"outcome", OutcomeName(problem.outcome)}};
  if (!problem.request_id.empty()) {
    document["instance"] = "/v1/requests/" + problem.request_id;
  }
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

HttpResponse ProblemResponse(const Problem& problem) {
  HttpResponse response;
  response.status = FindProblem(problem.type).status;
  response.headers.Append("Content-Type", "application/problem+json");
  if (problem.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(problem.retry_after);
    response.headers.Append("Retry-After", std::to_string(seconds.count()));
  }
  if (!problem.request_id.empty()) {
    response.headers.Append("X-Request-Id", problem.request_id);
  }
  response.body = ProblemJson(problem);
  return response;
}

}  // namespace buckthornpath
