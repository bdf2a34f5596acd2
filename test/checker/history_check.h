/** @file history_check.h Checks histories of calls. */

#ifndef TEST_CHECKER_HISTORY_CHECK_H_
#define TEST_CHECKER_HISTORY_CHECK_H_

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace buckthornpath {

/** Totals of a history and the rules that it breaks. */
struct HistoryCheckResult {
  std::vector<std::string> violations;
  std::size_t calls = 0;
  std::size_t runs = 0;
  std::size_t complete = 0;
  /** Calls without an answer, by the last outcome reported. */
  std::map<std::string, std::size_t> outcomes;
};

/**
 * Checks a history. A call is identified by its body, which is unique.
 * Lines of callers: `invoke` (body, repeatable, streamed, path), `told` (body,
 * outcome), `answer` (body, and chunks or text). Lines of fakes: `engine_run`
 * and `service_run` (body).
 *
 * Rules: a call that is not repeatable runs at most once; a call reported
 * `not_run` never runs; a call reported `ran` or answered has run; a complete
 * answer equals, byte for byte, what the fake generates for that body.
 */
HistoryCheckResult CheckHistory(const std::vector<nlohmann::json>& lines);

/** Reads JSON lines from a file; skips an incomplete last line. */
std::vector<nlohmann::json> ReadHistory(const std::string& path);

}  // namespace buckthornpath

#endif  // TEST_CHECKER_HISTORY_CHECK_H_
