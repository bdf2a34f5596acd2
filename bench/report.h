/** @file report.h Figures of a measured run. */

#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load_run.h"

namespace buckthornpath {

/** Figures of one rank in one phase. */
struct RankFigures {
  std::size_t asked = 0;
  std::size_t finished = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  double first_token_p95_s = 0.0;
  double total_p95_s = 0.0;
  double token_gap_p95_s = 0.0;  ///< Mean gap of each answer, 95th percentile.
  double kept_share = 0.0;  ///< Finished tokens over the set minimum or what
                            ///< was asked, the lesser.
};

/** Figures of one phase. */
struct PhaseFigures {
  std::array<RankFigures, kRankCount> ranks;
  double reuse_ratio = 0.0;
  double load_max_over_mean = 0.0;
  double control_bytes_per_s_max = 0.0;
  double small_first_token_p95_s = 0.0;
  double jain_index = 0.0;
  std::map<std::string, std::size_t> finished_by_organisation;
  std::map<std::string, std::size_t> refused_by_organisation;
};

/** Figures of one way of deciding in one deployment. */
struct RunFigures {
  std::string deployment;
  std::string policy;
  std::size_t routers = 0;
  std::map<std::string, PhaseFigures> phases;
  std::size_t admissions = 0;
  std::size_t load_bound_violations = 0;

  /** @return A small organisation's p95 in the surge over that alone. */
  double SmallOverAlone() const;
};

/** @return The figures of a phase. */
PhaseFigures FiguresOf(const PhaseResult& result);

/** Counts admissions, and those above their bound, from the daemons' logs. */
void CountAdmissions(const LocalFleet& fleet,
                     const Deployment& deployment,
                     RunFigures& figures);

/** @return The figures as JSON. */
nlohmann::ordered_json ToJson(const RunFigures& figures);

/** Prints the figures of all runs as one table. */
void PrintTable(const std::vector<RunFigures>& runs);

}  // namespace buckthornpath

#endif  // BENCH_REPORT_H_
