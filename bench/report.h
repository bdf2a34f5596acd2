/** @file report.h Results of a benchmark run. */

#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load_run.h"

namespace buckthornpath {

/** Results of one priority class in one phase. */
struct RankSummary {
  std::size_t asked = 0;
  std::size_t finished = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  double first_token_p95_s = 0.0;
  double total_p95_s = 0.0;
  double token_gap_p95_s = 0.0;  ///< Mean gap of each answer, 95th percentile.
  /** Finished tokens, divided by the lesser of the requested tokens and the
   * minimum share of the class. */
  double kept_share = 0.0;
};

/** Results of one phase. */
struct PhaseSummary {
  std::array<RankSummary, kRankCount> ranks;
  double reuse_ratio = 0.0;
  double load_max_over_mean = 0.0;
  double control_bytes_per_s_max = 0.0;
  double small_first_token_p95_s = 0.0;
  double jain_index = 0.0;
  std::map<std::string, std::size_t> finished_by_organisation;
  std::map<std::string, std::size_t> refused_by_organisation;
};

/** Results of one placement policy in one deployment. */
struct RunSummary {
  std::string deployment;
  std::string policy;
  std::size_t routers = 0;
  std::map<std::string, PhaseSummary> phases;
  std::size_t admissions = 0;
  std::size_t load_bound_violations = 0;

  /** @return 95th percentile of the first-token time of small organisations in
   * the surge, divided by the value in the phase without large organisations;
   * 0 if either is missing. */
  double SmallSlowdown() const;
};

/** @return Results computed from the samples of a phase. */
PhaseSummary SummarisePhase(const PhaseResult& result);

/** Counts admissions, and those above their load limit, in the daemons' logs.
 */
void CountAdmissions(const LocalFleet& fleet,
                     const Deployment& deployment,
                     RunSummary& summary);

nlohmann::ordered_json ToJson(const RunSummary& summary);

/** Prints the results of all runs as a table. */
void PrintTable(const std::vector<RunSummary>& runs);

}  // namespace buckthornpath

#endif  // BENCH_REPORT_H_
