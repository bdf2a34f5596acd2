/** @file history_check.h Judges histories of calls. */

#ifndef TEST_CHECKER_HISTORY_CHECK_H_
#define TEST_CHECKER_HISTORY_CHECK_H_

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace buckthornpath {

/** What a history shows. */
struct HistoryVerdict {
  std::vector<std::string> violations;
  std::size_t calls = 0;
  std::size_t runs = 0;
  std::size_t complete = 0;
  /** Calls without an answer, by the last outcome told. */
  std::map<std::string, std::size_t> told;
};

/**
 * Judges a history. A call is known by its body, which no other call has.
 * Lines of callers: `invoke` (body, repeatable, streamed, path), `told` (body,
 * outcome), `answer` (body, and chunks or text). Lines of fakes: `engine_run`
 * and `service_run` (body).
 *
 * Rules: a call that may not be repeated runs at most once; a call told
 * `not_run` never runs; a call told `ran` or answered has run; a complete
 * answer equals, byte for byte, what the fake makes of that body.
 */
HistoryVerdict CheckHistory(const std::vector<nlohmann::json>& lines);

/** Reads JSON lines from a file; a cut-off last line is left out. */
std::vector<nlohmann::json> ReadHistory(const std::string& path);

}  // namespace buckthornpath

#endif  // TEST_CHECKER_HISTORY_CHECK_H_
