/** @file load_run.h Sends a workload to a fleet and records the results. */

#ifndef BENCH_LOAD_RUN_H_
#define BENCH_LOAD_RUN_H_

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "chat_book.h"
#include "harness/local_fleet.h"
#include "workload.h"

namespace buckthornpath {

enum class CallEnd { kFinished, kRefused, kFailed };

/** Result of one call. */
struct CallSample {
  std::size_t organisation = 0;
  Rank rank = Rank::kStandard;
  CallEnd end = CallEnd::kFailed;
  std::chrono::nanoseconds first_token{};
  std::chrono::nanoseconds total{};
  int tokens = 0;
  std::size_t cached_tokens = 0;
  std::size_t ideal_tokens = 0;
};

/** Calls running at an endpoint, over all model endpoints at one time. */
struct LoadSample {
  double maximum = 0.0;
  double mean = 0.0;
};

/** Samples of one phase. */
struct PhaseResult {
  std::string name;
  std::chrono::duration<double> length{};
  std::vector<CallSample> calls;
  std::vector<LoadSample> loads;
  double control_bytes_per_s_max = 0.0;  ///< Maximum over the daemons.
};

/** Fleet under load. */
class LoadRun {
 public:
  /** @param callers_echo Whether callers return the location hint. */
  LoadRun(const Deployment& deployment,
          const std::string& policy,
          std::size_t routers,
          bool callers_echo,
          std::uint64_t seed);

  /** Runs one phase until its last call ends, at most 60 s after it is due. */
  PhaseResult Run(const Phase& phase, std::chrono::seconds length);

  const LocalFleet& Fleet() const { return this->fleet; }
  const Deployment& ThisDeployment() const { return this->deployment; }

 private:
  Deployment deployment;
  std::size_t routers;
  std::uint64_t seed;
  LocalFleet fleet;
  ChatBook book;
};

}  // namespace buckthornpath

#endif  // BENCH_LOAD_RUN_H_
