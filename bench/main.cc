/** @file main.cc Compares placement policies on the same arrivals. */

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "report.h"

namespace buckthornpath {

namespace {

constexpr const char* kUsage =
    R"(measure: compares placement policies on the same arrivals.

Usage:
  measure [--seed=<n>] [--seconds=<n>] [--out=<file>] [--deployments=<list>]
          [--policies=<list>] [--routers=<list>] [--phases=<list>]
          [--no-echo]

Options:
  --seed=<n>            Seed of the arrivals [default: 1].
  --seconds=<n>         Duration of a phase [default: 6].
  --out=<file>          File for the results [default: build/measure.json].
  --deployments=<list>  Deployments, comma-separated [default: kingston,dalea].
  --policies=<list>     Policies [default: hint,hash,least_load,random].
  --routers=<list>      Router counts, comma-separated; all but the first
                        are run with the first policy only
                        [default: 3,30].
  --phases=<list>       Phases, comma-separated, or all [default: all].
  --no-echo             Callers do not return the location hint.
)";

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');)
    items.push_back(item);
  return items;
}

bool Contains(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

/** Options of a benchmark. */
struct MeasurePlan {
  std::uint64_t seed = 1;
  std::chrono::seconds length{6};
  std::vector<std::string> deployments;
  std::vector<std::string> policies;
  std::vector<std::string> routers;
  std::vector<std::string> phases;
  bool callers_echo = true;
};

RunSummary MeasureOne(const MeasurePlan& plan,
                      const Deployment& deployment,
                      const std::string& policy,
                      std::size_t routers) {
  std::cerr << deployment.name << " " << policy << " " << routers
            << " routers\n";
  RunSummary summary;
  summary.deployment = deployment.name;
  summary.policy = policy;
  summary.routers = routers;
  LoadRun run(deployment, policy, routers, plan.callers_echo, plan.seed);
  for (const Phase& phase : Phases()) {
    if (!Contains(plan.phases, "all") && !Contains(plan.phases, phase.name))
      continue;
    summary.phases[phase.name] = SummarisePhase(run.Run(phase, plan.length));
  }
  CountAdmissions(run.Fleet(), deployment, summary);
  return summary;
}

std::vector<RunSummary> MeasureAll(const MeasurePlan& plan) {
  std::vector<RunSummary> runs;
  for (const Deployment& deployment : Deployments()) {
    if (!Contains(plan.deployments, deployment.name))
      continue;
    for (const std::string& policy : plan.policies) {
      runs.push_back(MeasureOne(plan, deployment, policy,
                                std::stoul(plan.routers.front())));
    }
    for (std::size_t i = 1; i < plan.routers.size(); ++i) {
      runs.push_back(MeasureOne(plan, deployment, plan.policies.front(),
                                std::stoul(plan.routers[i])));
    }
  }
  return runs;
}

int Main(const std::vector<std::string>& arguments) {
  auto options = docopt::docopt(kUsage, arguments);
  MeasurePlan plan;
  plan.seed = static_cast<std::uint64_t>(options["--seed"].asLong());
  plan.length = std::chrono::seconds(options["--seconds"].asLong());
  plan.deployments = SplitList(options["--deployments"].asString());
  plan.policies = SplitList(options["--policies"].asString());
  plan.routers = SplitList(options["--routers"].asString());
  plan.phases = SplitList(options["--phases"].asString());
  plan.callers_echo = !options["--no-echo"].asBool();
  const std::vector<RunSummary> runs = MeasureAll(plan);
  nlohmann::ordered_json document = {{"seed", plan.seed},
                                     {"phase_seconds", plan.length.count()},
                                     {"callers_echo", plan.callers_echo},
                                     {"runs", nlohmann::json::array()}};
  for (const RunSummary& summary : runs)
    document["runs"].push_back(ToJson(summary));
  std::ofstream(options["--out"].asString()) << document.dump(2) << "\n";
  PrintTable(runs);
  return 0;
}

}  // namespace

}  // namespace buckthornpath

int main(int argc, char** argv) {
  return buckthornpath::Main({argv + 1, argv + argc});
}
