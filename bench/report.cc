/** @file report.cc Results of a benchmark run. */

#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>

namespace buckthornpath {

namespace {

constexpr double kTailQuantile = 0.95;

/** Minimum mean of running calls for which the balance is evaluated: a few
 * calls cannot be spread evenly. */
constexpr double kMinMeanLoad = 1.0;

double Seconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty())
    return 0.0;
  const auto index = static_cast<std::size_t>(
      std::lround(quantile * static_cast<double>(values.size() - 1)));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

/** @return Max-min fair share of the finished tokens for each organisation. */
std::vector<double> FairShares(const std::vector<double>& asked,
                               double finished) {
  std::vector<double> shares(asked.size(), 0.0);
  std::vector<std::size_t> pending;
  for (std::size_t i = 0; i < asked.size(); ++i) {
    if (asked[i] > 0.0)
      pending.push_back(i);
  }
  std::sort(pending.begin(), pending.end(),
            [&](std::size_t a, std::size_t b) { return asked[a] < asked[b]; });
  for (std::size_t done = 0; done < pending.size(); ++done) {
    const double level = finished / static_cast<double>(pending.size() - done);
    shares[pending[done]] = std::min(asked[pending[done]], level);
    finished -= shares[pending[done]];
  }
  return shares;
}

/** @return Jain's fairness index (Jain, Chiu and Hawe 1984) of each
 * organisation's finished tokens relative to its fair share. */
double JainIndex(const std::vector<CallSample>& calls) {
  const std::size_t count = BenchOrganisations().size();
  std::vector<double> asked(count, 0.0);
  std::vector<double> finished(count, 0.0);
  double total = 0.0;
  for (const CallSample& call : calls) {
    const double tokens =
        BenchRanks().at(static_cast<std::size_t>(call.rank)).answer_tokens;
    asked[call.organisation] += tokens;
    if (call.end != CallEnd::kFinished)
      continue;
    finished[call.organisation] += tokens;
    total += tokens;
  }
  const std::vector<double> fair = FairShares(asked, total);
  double sum = 0.0;
  double squares = 0.0;
  double counted = 0.0;
  for (std::size_t i = 0; i < count; ++i) {
    if (fair[i] <= 0.0)
      continue;
    const double satisfied = std::min(1.0, finished[i] / fair[i]);
    sum += satisfied;
    squares += satisfied * satisfied;
    counted += 1.0;
  }
  return squares > 0.0 ? sum * sum / (counted * squares) : 0.0;
}

RankSummary SummariseRank(const std::vector<CallSample>& calls,
                          const BenchRank& rank) {
  RankSummary summary;
  std::vector<double> first_tokens;
  std::vector<double> totals;
  std::vector<double> gaps;
  double all_finished_tokens = 0.0;
  double finished_tokens = 0.0;
  double asked_tokens = 0.0;
  for (const CallSample& call : calls) {
    if (call.end == CallEnd::kFinished)
      all_finished_tokens += call.tokens;
    if (call.rank != rank.rank)
      continue;
    ++summary.asked;
    asked_tokens += rank.answer_tokens;
    if (call.end == CallEnd::kRefused)
      ++summary.refused;
    if (call.end == CallEnd::kFailed)
      ++summary.failed;
    if (call.end != CallEnd::kFinished)
      continue;
    ++summary.finished;
    finished_tokens += call.tokens;
    first_tokens.push_back(Seconds(call.first_token));
    totals.push_back(Seconds(call.total));
    gaps.push_back(Seconds(call.total - call.first_token) /
                   std::max(1, call.tokens - 1));
  }
  constexpr double kPercent = 100.0;
  const double minimum =
      std::min(asked_tokens,
               all_finished_tokens * rank.minimum_share_percent / kPercent);
  summary.first_token_p95_s = Quantile(std::move(first_tokens), kTailQuantile);
  summary.total_p95_s = Quantile(std::move(totals), kTailQuantile);
  summary.token_gap_p95_s = Quantile(std::move(gaps), kTailQuantile);
  summary.kept_share = minimum > 0.0 ? finished_tokens / minimum : 0.0;
  return summary;
}

nlohmann::ordered_json ToJson(const RankSummary& summary) {
  return {{"asked", summary.asked},
          {"finished", summary.finished},
          {"refused", summary.refused},
          {"failed", summary.failed},
          {"first_token_p95_s", summary.first_token_p95_s},
          {"total_p95_s", summary.total_p95_s},
          {"token_gap_p95_s", summary.token_gap_p95_s},
          {"kept_share", summary.kept_share}};
}

nlohmann::ordered_json ToJson(const PhaseSummary& summary) {
  nlohmann::ordered_json ranks;
  for (std::size_t i = 0; i < kRankCount; ++i)
    ranks[std::string(kRankNames.at(i))] = ToJson(summary.ranks.at(i));
  return {{"ranks", ranks},
          {"reuse_ratio", summary.reuse_ratio},
          {"load_max_over_mean", summary.load_max_over_mean},
          {"control_bytes_per_s_max", summary.control_bytes_per_s_max},
          {"small_first_token_p95_s", summary.small_first_token_p95_s},
          {"jain_index", summary.jain_index},
          {"finished_by_organisation", summary.finished_by_organisation},
          {"refused_by_organisation", summary.refused_by_organisation}};
}

}  // namespace

PhaseSummary SummarisePhase(const PhaseResult& result) {
  PhaseSummary summary;
  for (std::size_t i = 0; i < kRankCount; ++i)
    summary.ranks.at(i) = SummariseRank(result.calls, BenchRanks().at(i));
  double cached = 0.0;
  double ideal = 0.0;
  std::vector<double> small;
  for (const CallSample& call : result.calls) {
    const BenchOrganisation& organisation =
        BenchOrganisations().at(call.organisation);
    if (call.end != CallEnd::kFinished) {
      ++summary.refused_by_organisation[organisation.name];
      continue;
    }
    ++summary.finished_by_organisation[organisation.name];
    cached +=
        static_cast<double>(std::min(call.cached_tokens, call.ideal_tokens));
    ideal += static_cast<double>(call.ideal_tokens);
    if (!organisation.large)
      small.push_back(Seconds(call.first_token));
  }
  summary.reuse_ratio = ideal > 0.0 ? cached / ideal : 0.0;
  for (const LoadSample& load : result.loads) {
    if (load.mean < kMinMeanLoad)
      continue;
    summary.load_max_over_mean =
        std::max(summary.load_max_over_mean, load.maximum / load.mean);
  }
  summary.control_bytes_per_s_max = result.control_bytes_per_s_max;
  summary.small_first_token_p95_s = Quantile(std::move(small), kTailQuantile);
  summary.jain_index = JainIndex(result.calls);
  return summary;
}

double RunSummary::SmallSlowdown() const {
  const auto alone = this->phases.find("alone");
  const auto surge = this->phases.find("surge");
  if (alone == this->phases.end() || surge == this->phases.end() ||
      alone->second.small_first_token_p95_s <= 0.0) {
    return 0.0;
  }
  return surge->second.small_first_token_p95_s /
         alone->second.small_first_token_p95_s;
}

void CountAdmissions(const LocalFleet& fleet,
                     const Deployment& deployment,
                     RunSummary& summary) {
  for (std::size_t i = 0; i < deployment.model_replicas; ++i) {
    std::ifstream file(fleet.Directory() /
                       ("draft-" + std::to_string(i) + ".log"));
    for (std::string text; std::getline(file, text);) {
      const auto line = nlohmann::json::parse(text, nullptr, false);
      if (!line.is_object() || line.value("event", "") != "admitted" ||
          !line.contains("bound")) {
        continue;
      }
      ++summary.admissions;
      if (line.value("count", 0.0) > line.value("bound", 0.0))
        ++summary.load_bound_violations;
    }
  }
}

nlohmann::ordered_json ToJson(const RunSummary& summary) {
  nlohmann::ordered_json phases;
  for (const auto& [name, phase] : summary.phases)
    phases[name] = ToJson(phase);
  return {{"deployment", summary.deployment},
          {"policy", summary.policy},
          {"routers", summary.routers},
          {"admissions", summary.admissions},
          {"load_bound_violations", summary.load_bound_violations},
          {"small_over_alone_p95", summary.SmallSlowdown()},
          {"phases", phases}};
}

void PrintTable(const std::vector<RunSummary>& runs) {
  std::printf("%-9s %-12s %3s %-12s %6s %8s %8s | %-29s | %-22s %7s %7s %6s\n",
              "deploy", "policy", "rtr", "phase", "reuse", "max/mean",
              "ctl B/s", "first token p95 s (u s b)", "kept share (u s b)",
              "jain", "refused", "failed");
  for (const RunSummary& run : runs) {
    for (const Phase& phase : Phases()) {
      const auto found = run.phases.find(phase.name);
      if (found == run.phases.end())
        continue;
      const PhaseSummary& summary = found->second;
      std::size_t refused = 0;
      std::size_t failed = 0;
      for (const RankSummary& rank : summary.ranks) {
        refused += rank.refused;
        failed += rank.failed;
      }
      const auto& ranks = summary.ranks;
      std::printf(
          "%-9s %-12s %3zu %-12s %6.3f %8.2f %8.0f | %9.3f %9.3f %9.3f | "
          "%7.2f %6.2f %6.2f  %7.3f %7zu %6zu\n",
          run.deployment.c_str(), run.policy.c_str(), run.routers,
          phase.name.c_str(), summary.reuse_ratio, summary.load_max_over_mean,
          summary.control_bytes_per_s_max, ranks[0].first_token_p95_s,
          ranks[1].first_token_p95_s, ranks[2].first_token_p95_s,
          ranks[0].kept_share, ranks[1].kept_share, ranks[2].kept_share,
          summary.jain_index, refused, failed);
    }
    std::printf(
        "%-9s %-12s %3zu small_over_alone_p95 %.2f, bound violations %zu of "
        "%zu admissions\n",
        run.deployment.c_str(), run.policy.c_str(), run.routers,
        run.SmallSlowdown(), run.load_bound_violations, run.admissions);
  }
}

}  // namespace buckthornpath
