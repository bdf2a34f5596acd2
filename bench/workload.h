/** @file workload.h Deployments, phases and chats that are measured. */

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

/** Requests that an engine runs at once. */
inline constexpr int kEngineBatch = 8;

/** One of the users' deployments. */
struct Deployment {
  std::string name;
  std::size_t model_replicas = 0;
  std::size_t plain_replicas = 0;
};

/** One organisation of the workload. */
struct BenchOrganisation {
  std::string name;
  double rate = 1.0;  ///< Calls, relative to a small organisation.
  bool large = false;
  std::size_t chats = 1;  ///< Chats that return by turns.

  std::string Credential() const { return this->name + "-credential"; }
};

/** Calls of one rank. */
struct BenchRank {
  Rank rank = Rank::kStandard;
  std::string profile;
  int answer_tokens = 0;
  std::chrono::milliseconds deadline{};
  int minimum_share_percent = 0;
  double share = 0.0;  ///< Of the calls when nothing floods.
};

/** A stretch of time under one kind of load. */
struct Phase {
  std::string name;
  bool large_organisations = true;
  double large_factor = 1.0;  ///< On the large organisations' rate.
  std::optional<Rank> flood;  ///< Rank that floods.
  bool flapping = false;      ///< One engine in ten comes and goes.
};

/** One turn of a chat, about to be asked. */
struct Turn {
  std::size_t organisation = 0;
  std::size_t chat = 0;  ///< Index into the organisation's chats.
  BenchRank rank;
  std::chrono::nanoseconds at{};  ///< Since the start of the phase.
};

/** @return The users' deployments. */
const std::vector<Deployment>& Deployments();

/** @return Ten organisations, two of them large. */
const std::vector<BenchOrganisation>& BenchOrganisations();

/** @return The kinds of call, one for each rank. */
const std::array<BenchRank, kRankCount>& BenchRanks();

/** @return All phases in the order in which they are run. */
const std::vector<Phase>& Phases();

/** @return The documents that the workload needs. */
std::map<std::string, nlohmann::json> BenchDocuments();

/** @return Arguments of the fake model engines. */
std::vector<std::string> EngineArguments();

/** @return Calls a second that the model replicas can finish, estimated. */
double CapacityPerSecond(const Deployment& deployment);

/** Draws the arrivals of a phase: a Poisson process. */
std::vector<Turn> DrawArrivals(const Deployment& deployment,
                               const Phase& phase,
                               std::chrono::seconds length,
                               std::uint64_t seed);

}  // namespace buckthornpath

#endif  // BENCH_WORKLOAD_H_
