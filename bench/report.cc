/** @file report.cc Figures of a measured run. */

#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>

namespace buckthornpath {

namespace {

constexpr double kTailQuantile = 0.95;

/** Means below this many running calls say nothing of balance. */
constexpr double kLeastMeanLoad = 1.0;

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

/** @return Each organisation's max-min fair part of what was finished. */
std::vector<double> FairParts(const std::vector<double>& asked,
                              double finished) {
  std::vector<double> parts(asked.size(), 0.0);
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < asked.size(); ++i) {
    if (asked[i] > 0.0)
      open.push_back(i);
  }
  std::sort(open.begin(), open.end(),
            [&](std::size_t a, std::size_t b) { return asked[a] < asked[b]; });
  for (std::size_t done = 0; done < open.size(); ++done) {
    const double level = finished / static_cast<double>(open.size() - done);
    parts[open[done]] = std::min(asked[open[done]], level);
    finished -= parts[open[done]];
  }
  return parts;
}

/** Jain's fairness index (Jain, Chiu and Hawe 1984) of satisfied parts. */
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
  const std::vector<double> fair = FairParts(asked, total);
  double sum = 0.0;
  double squares = 0.0;
  double counted = 0.0;
  for (std::size_t i = 0; i < count; ++i) {
    if (fair[i] <= 0.0)
      continue;
    const double part = std::min(1.0, finished[i] / fair[i]);
    sum += part;
    squares += part * part;
    counted += 1.0;
  }
  return squares > 0.0 ? sum * sum / (counted * squares) : 0.0;
}

RankFigures FiguresOfRank(const std::vector<CallSample>& calls,
                          const BenchRank& rank) {
  RankFigures figures;
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
    ++figures.asked;
    asked_tokens += rank.answer_tokens;
    if (call.end == CallEnd::kRefused)
      ++figures.refused;
    if (call.end == CallEnd::kFailed)
      ++figures.failed;
    if (call.end != CallEnd::kFinished)
      continue;
    ++figures.finished;
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
  figures.first_token_p95_s = Quantile(std::move(first_tokens), kTailQuantile);
  figures.total_p95_s = Quantile(std::move(totals), kTailQuantile);
  figures.token_gap_p95_s = Quantile(std::move(gaps), kTailQuantile);
  figures.kept_share = minimum > 0.0 ? finished_tokens / minimum : 0.0;
  return figures;
}

nlohmann::ordered_json ToJson(const RankFigures& figures) {
  return {{"asked", figures.asked},
          {"finished", figures.finished},
          {"refused", figures.refused},
          {"failed", figures.failed},
          {"first_token_p95_s", figures.first_token_p95_s},
          {"total_p95_s", figures.total_p95_s},
          {"token_gap_p95_s", figures.token_gap_p95_s},
          {"kept_share", figures.kept_share}};
}

nlohmann::ordered_json ToJson(const PhaseFigures& figures) {
  nlohmann::ordered_json ranks;
  for (std::size_t i = 0; i < kRankCount; ++i)
    ranks[std::string(kRankNames.at(i))] = ToJson(figures.ranks.at(i));
  return {{"ranks", ranks},
          {"reuse_ratio", figures.reuse_ratio},
          {"load_max_over_mean", figures.load_max_over_mean},
          {"control_bytes_per_s_max", figures.control_bytes_per_s_max},
          {"small_first_token_p95_s", figures.small_first_token_p95_s},
          {"jain_index", figures.jain_index},
          {"finished_by_organisation", figures.finished_by_organisation},
          {"refused_by_organisation", figures.refused_by_organisation}};
}

}  // namespace

PhaseFigures FiguresOf(const PhaseResult& result) {
  PhaseFigures figures;
  for (std::size_t i = 0; i < kRankCount; ++i)
    figures.ranks.at(i) = FiguresOfRank(result.calls, BenchRanks().at(i));
  double cached = 0.0;
  double ideal = 0.0;
  std::vector<double> small;
  for (const CallSample& call : result.calls) {
    const BenchOrganisation& organisation =
        BenchOrganisations().at(call.organisation);
    if (call.end != CallEnd::kFinished) {
      ++figures.refused_by_organisation[organisation.name];
      continue;
    }
    ++figures.finished_by_organisation[organisation.name];
    cached +=
        static_cast<double>(std::min(call.cached_tokens, call.ideal_tokens));
    ideal += static_cast<double>(call.ideal_tokens);
    if (!organisation.large)
      small.push_back(Seconds(call.first_token));
  }
  figures.reuse_ratio = ideal > 0.0 ? cached / ideal : 0.0;
  for (const LoadSample& load : result.loads) {
    if (load.mean < kLeastMeanLoad)
      continue;
    figures.load_max_over_mean =
        std::max(figures.load_max_over_mean, load.maximum / load.mean);
  }
  figures.control_bytes_per_s_max = result.control_bytes_per_s_max;
  figures.small_first_token_p95_s = Quantile(std::move(small), kTailQuantile);
  figures.jain_index = JainIndex(result.calls);
  return figures;
}

double RunFigures::SmallOverAlone() const {
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
                     RunFigures& figures) {
  for (std::size_t i = 0; i < deployment.model_replicas; ++i) {
    std::ifstream file(fleet.Directory() /
                       ("draft-" + std::to_string(i) + ".log"));
    for (std::string text; std::getline(file, text);) {
      const auto line = nlohmann::json::parse(text, nullptr, false);
      if (!line.is_object() || line.value("event", "") != "admitted" ||
          !line.contains("bound")) {
        continue;
      }
      ++figures.admissions;
      if (line.value("count", 0.0) > line.value("bound", 0.0))
        ++figures.load_bound_violations;
    }
  }
}

nlohmann::ordered_json ToJson(const RunFigures& figures) {
  nlohmann::ordered_json phases;
  for (const auto& [name, phase] : figures.phases)
    phases[name] = ToJson(phase);
  return {{"deployment", figures.deployment},
          {"policy", figures.policy},
          {"routers", figures.routers},
          {"admissions", figures.admissions},
          {"load_bound_violations", figures.load_bound_violations},
          {"small_over_alone_p95", figures.SmallOverAlone()},
          {"phases", phases}};
}

void PrintTable(const std::vector<RunFigures>& runs) {
  std::printf("%-9s %-12s %3s %-12s %6s %8s %8s | %-29s | %-22s %7s %7s %6s\n",
              "deploy", "policy", "rtr", "phase", "reuse", "max/mean",
              "ctl B/s", "first token p95 s (u s b)", "kept share (u s b)",
              "jain", "refused", "failed");
  for (const RunFigures& run : runs) {
    for (const Phase& phase : Phases()) {
      const auto found = run.phases.find(phase.name);
      if (found == run.phases.end())
        continue;
      const PhaseFigures& figures = found->second;
      std::size_t refused = 0;
      std::size_t failed = 0;
      for (const RankFigures& rank : figures.ranks) {
        refused += rank.refused;
        failed += rank.failed;
      }
      const auto& ranks = figures.ranks;
      std::printf(
          "%-9s %-12s %3zu %-12s %6.3f %8.2f %8.0f | %9.3f %9.3f %9.3f | "
          "%7.2f %6.2f %6.2f  %7.3f %7zu %6zu\n",
          run.deployment.c_str(), run.policy.c_str(), run.routers,
          phase.name.c_str(), figures.reuse_ratio, figures.load_max_over_mean,
          figures.control_bytes_per_s_max, ranks[0].first_token_p95_s,
          ranks[1].first_token_p95_s, ranks[2].first_token_p95_s,
          ranks[0].kept_share, ranks[1].kept_share, ranks[2].kept_share,
          figures.jain_index, refused, failed);
    }
    std::printf(
        "%-9s %-12s %3zu small_over_alone_p95 %.2f, bound violations %zu of "
        "%zu admissions\n",
        run.deployment.c_str(), run.policy.c_str(), run.routers,
        run.SmallOverAlone(), run.load_bound_violations, run.admissions);
  }
}

}  // namespace buckthornpath
