/** @file load_history.h Checks admissions and starts from endpoint logs. */

#ifndef TEST_HARNESS_LOAD_HISTORY_H_
#define TEST_HARNESS_LOAD_HISTORY_H_

#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace buckthornpath {

/** One endpoint process's admissions, starts and releases, in their order. */
using LoadHistory = std::vector<nlohmann::json>;

/** @return The history in the log of one life of an endpoint process. */
LoadHistory ReadLoadHistory(const std::filesystem::path& log);

/** What a checker found. */
struct LoadCheckResult {
  std::size_t admitted = 0;
  std::vector<std::string> violations;
};

/**
 * Checks the load bound: counts the calls held from admissions and releases,
 * and compares the count, the bound and the published multiple at each
 * admission.
 */
LoadCheckResult CheckLoadBound(const LoadHistory& history);

/**
 * @param by Field that tells calls apart: "rank" or "organisation".
 * @return The most calls of a value that started while a call of another
 * value waited, over all its calls.
 */
std::size_t MostStartedBefore(const LoadHistory& history,
                              const std::string& by,
                              const std::string& waiting,
                              const std::string& started);

/**
 * @return The share of the work started that a rank had while calls of it and
 * of another rank waited; 1 if that never was so.
 */
double ShareUnderFlood(const LoadHistory& history,
                       const std::string& rank,
                       const std::string& flood);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_LOAD_HISTORY_H_
