/** @file load_history.h Checks of admissions and starts in logs. */

#ifndef TEST_HARNESS_LOAD_HISTORY_H_
#define TEST_HARNESS_LOAD_HISTORY_H_

#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace buckthornpath {

/** Admissions, starts and releases of one endpoint process, in sequence. */
using LoadHistory = std::vector<nlohmann::json>;

/** @return The history in the log of one run of an endpoint process. */
LoadHistory ReadLoadHistory(const std::filesystem::path& log);

/** Result of a check. */
struct LoadCheckResult {
  std::size_t admitted = 0;
  std::vector<std::string> violations;  ///< Log lines that break a rule.
};

/**
 * Checks the load bound: counts the calls held from admissions and releases,
 * and checks at each admission that the logged count is right, that the logged
 * bound agrees with the logged mean load and multiple, and that the count is
 * within the bound.
 */
LoadCheckResult CheckLoadBound(const LoadHistory& history);

/**
 * @param by Field by which calls are told apart: "rank" or "organisation".
 * @param waiting Value of the field for calls that wait.
 * @param started Value of the field for calls that start meanwhile.
 * @return The maximum, over all calls with the value `waiting`, of the number
 * of calls with the value `started` that started while it waited.
 */
std::size_t MostStartedBefore(const LoadHistory& history,
                              const std::string& by,
                              const std::string& waiting,
                              const std::string& started);

/**
 * @param rank Priority class whose share is measured.
 * @param flood Priority class that competes with it.
 * @return The share (0 to 1) of a priority class in the cost of the calls
 * started while calls of both classes waited; 1 if there was no such call.
 */
double ShareUnderFlood(const LoadHistory& history,
                       const std::string& rank,
                       const std::string& flood);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_LOAD_HISTORY_H_
