/** @file workload.h Deployments, phases and calls of the benchmark. */

#ifndef BENCH_WORKLOAD_H_
#define BENCH_WORKLOAD_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "buckthornpath/rank_type.h"

namespace buckthornpath {

/** Maximum batch size of an engine, in requests. */
inline constexpr int kEngineBatch = 8;

/** Replica counts of a deployment that the users run. */
struct Deployment {
  std::string name;
  std::size_t model_replicas = 0;
  std::size_t plain_replicas = 0;
};

struct BenchOrganisation {
  std::string name;
  double rate = 1.0;  ///< Call rate relative to a small organisation.
  bool large = false;
  std::size_t chats = 1;  ///< Chats that its callers continue.

  std::string Credential() const { return this->name + "-credential"; }
};

/** Calls of one priority class. */
struct BenchRank {
  Rank rank = Rank::kStandard;
  std::string profile;
  int answer_tokens = 0;
  std::chrono::milliseconds deadline{};
  int minimum_share_percent = 0;
  double share = 0.0;  ///< Of all calls outside the flood.
};

/** Period of the benchmark with one kind of load. */
struct Phase {
  std::string name;
  bool large_organisations = true;
  double large_factor = 1.0;  ///< Factor on their call rate.
  std::optional<Rank> flood;  ///< Class of the additional calls.
  bool flapping = false;      ///< One engine in ten leaves and returns.
};

/** One turn of a chat, scheduled to be sent. */
struct Turn {
  std::size_t organisation = 0;
  std::size_t chat = 0;  ///< Index into the organisation's chats.
  BenchRank rank;
  std::chrono::nanoseconds at{};  ///< Since the start of the phase.
};

const std::vector<Deployment>& Deployments();

/** @return Ten organisations, two of them large. */
const std::vector<BenchOrganisation>& BenchOrganisations();

/** @return The kinds of call, one for each priority class. */
const std::array<BenchRank, kRankCount>& BenchRanks();

/** @return All phases in running order. */
const std::vector<Phase>& Phases();

/** @return Configuration documents of the organisations and call profiles. */
std::map<std::string, nlohmann::json> BenchDocuments();

/** @return Command-line arguments of the fake model engines. */
std::vector<std::string> EngineArguments();

/** @return Estimate of the calls per second that the model replicas finish. */
double CapacityPerSecond(const Deployment& deployment);

/** Draws the arrivals of a phase as a Poisson process, sorted by time. */
std::vector<Turn> DrawArrivals(const Deployment& deployment,
                               const Phase& phase,
                               std::chrono::seconds length,
                               std::uint64_t seed);

}  // namespace buckthornpath

#endif  // BENCH_WORKLOAD_H_
