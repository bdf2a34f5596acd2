/** @file problem.h Problem documents that callers receive. */

#ifndef SRC_ROUTER_PROBLEM_H_
#define SRC_ROUTER_PROBLEM_H_

#include <chrono>
#include <string>
#include <string_view>

#include "buckthornpath/outcome_type.h"
#include "kernel/http_type.h"

namespace buckthornpath {

/** A problem document (RFC 9457) with the outcome of the call. */
struct Problem {
  std::string type;    ///< Name in table/problem_table.h.
  std::string detail;  ///< Describes this occurrence.
  Outcome outcome = Outcome::kNotRun;
  std::chrono::milliseconds retry_after{};  ///< Zero if a retry is useless.
  std::string request_id;                   ///< Empty if not assigned yet.
};

/** One problem type. */
struct ProblemRow {
  std::string_view type;
  unsigned status;
  std::string_view title;
};

/** @return The row of a type; the last row if there is none. */
const ProblemRow& FindProblem(std::string_view type);

/** @return The problem as JSON. */
std::string ProblemJson(const Problem& problem);

/** @return The problem as an application/problem+json response. */
HttpResponse ProblemResponse(const Problem& problem);

}  // namespace buckthornpath

#endif  // SRC_ROUTER_PROBLEM_H_
