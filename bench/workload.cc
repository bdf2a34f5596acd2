/** @file workload.cc Deployments, phases and calls of the benchmark. */

#include "workload.h"

#include "wire/ticket.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kStepTime{20};
constexpr int kPrefillTokensPerSecond = 4000;
constexpr int kCacheTokens = 60000;

/** Offered load without a flood or surge, as a share of the capacity. */
constexpr double kBaseLoadShare = 0.35;

/** Additional load of a flood, as a share of the capacity. */
constexpr double kFloodLoadShare = 2.0;

/** Factor on the call rate of large organisations in a surge. */
constexpr double kSurgeFactor = 4.0;

double MeanAnswerTokens() {
  double tokens = 0.0;
  for (const BenchRank& rank : BenchRanks())
    tokens += rank.share * rank.answer_tokens;
  return tokens;
}

/** Draws an index with probability proportional to its weight. */
std::size_t DrawIndex(const std::vector<double>& weights,
                      std::mt19937_64& random) {
  return std::discrete_distribution<std::size_t>(weights.begin(),
                                                 weights.end())(random);
}

std::vector<double> OrganisationRates(const Phase& phase) {
  std::vector<double> rates;
  for (const BenchOrganisation& organisation : BenchOrganisations()) {
    double rate = organisation.rate;
    if (organisation.large)
      rate *= phase.large_organisations ? phase.large_factor : 0.0;
    rates.push_back(rate);
  }
  return rates;
}

double Sum(const std::vector<double>& values) {
  double sum = 0.0;
  for (const double value : values)
    sum += value;
  return sum;
}

/** Draws the arrival times of a Poisson process. */
std::vector<std::chrono::nanoseconds> DrawTimes(double per_second,
                                                std::chrono::seconds length,
                                                std::mt19937_64& random) {
  std::exponential_distribution<double> gap(per_second);
  std::vector<std::chrono::nanoseconds> times;
  std::chrono::duration<double> at{gap(random)};
  while (at < length) {
    times.push_back(std::chrono::duration_cast<std::chrono::nanoseconds>(at));
    at += std::chrono::duration<double>(gap(random));
  }
  return times;
}

}  // namespace

const std::vector<Deployment>& Deployments() {
  static const std::vector<Deployment> kDeployments = {{"kingston", 20, 3},
                                                       {"dalea", 12, 3}};
  return kDeployments;
}

const std::vector<BenchOrganisation>& BenchOrganisations() {
  static const std::vector<BenchOrganisation> kOrganisations = {
      {"hospital", 50.0, true, 80}, {"chain", 20.0, true, 40},
      {"parish-1", 1.0, false, 4},  {"parish-2", 1.0, false, 4},
      {"parish-3", 1.0, false, 4},  {"parish-4", 1.0, false, 4},
      {"parish-5", 1.0, false, 4},  {"parish-6", 1.0, false, 4},
      {"parish-7", 1.0, false, 4},  {"parish-8", 1.0, false, 4}};
  return kOrganisations;
}

const std::array<BenchRank, kRankCount>& BenchRanks() {
  using std::chrono::milliseconds;
  static const std::array<BenchRank, kRankCount> kRanks = {
      {{Rank::kUrgent, "bench-counter", 16, milliseconds(770), 50, 0.3},
       {Rank::kStandard, "bench-chat", 24, milliseconds(3000), 30, 0.4},
       {Rank::kBulk, "bench-draft", 64, milliseconds(30000), 15, 0.3}}};
  return kRanks;
}

const std::vector<Phase>& Phases() {
  static const std::vector<Phase> kPhases = {
      {"alone", false, 1.0, std::nullopt, false},
      {"quiet", true, 1.0, std::nullopt, false},
      {"surge", true, kSurgeFactor, std::nullopt, false},
      {"flood_bulk", true, 1.0, Rank::kBulk, false},
      {"flood_urgent", true, 1.0, Rank::kUrgent, false},
      {"flap", true, 1.0, std::nullopt, true}};
  return kPhases;
}

std::map<std::string, nlohmann::json> BenchDocuments() {
  std::map<std::string, nlohmann::json> documents;
  for (const BenchOrganisation& organisation : BenchOrganisations()) {
    documents["organisations/" + organisation.name] = {
        {"name", organisation.name},
        {"credential_sha256", Sha256Hex(organisation.Credential())}};
  }
  for (const BenchRank& rank : BenchRanks()) {
    documents["profiles/" + rank.profile] = {
        {"name", rank.profile},
        {"service", "drafting"},
        {"rank", RankName(rank.rank)},
        {"repeatable", true},
        {"deadline", rank.deadline.count()},
        {"minimum_share_percent", rank.minimum_share_percent},
        {"load_multiple_percent", 150}};
  }
  return documents;
}

std::vector<std::string> EngineArguments() {
  return {"--max-batch=" + std::to_string(kEngineBatch),
          "--step-ms=" + std::to_string(kStepTime.count()),
          "--prefill-tokens-per-s=" + std::to_string(kPrefillTokensPerSecond),
          "--cache-tokens=" + std::to_string(kCacheTokens)};
}

double CapacityPerSecond(const Deployment& deployment) {
  const std::chrono::duration<double> step = kStepTime;
  const double tokens_per_second = kEngineBatch / step.count();
  return static_cast<double>(deployment.model_replicas) * tokens_per_second /
         MeanAnswerTokens();
}

std::vector<Turn> DrawArrivals(const Deployment& deployment,
                               const Phase& phase,
                               std::chrono::seconds length,
                               std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const std::vector<double> rates = OrganisationRates(phase);
  const double base_rate = kBaseLoadShare * CapacityPerSecond(deployment) *
                           Sum(rates) / Sum(OrganisationRates(Phase()));
  std::vector<double> shares;
  for (const BenchRank& rank : BenchRanks())
    shares.push_back(rank.share);
  std::vector<Turn> turns;
  const auto draw = [&](double per_second, std::optional<Rank> rank) {
    for (const auto at : DrawTimes(per_second, length, random)) {
      Turn turn;
      turn.at = at;
      turn.organisation = DrawIndex(rates, random);
      const std::size_t last_chat =
          BenchOrganisations().at(turn.organisation).chats - 1;
      turn.chat =
          std::uniform_int_distribution<std::size_t>(0, last_chat)(random);
      turn.rank = BenchRanks().at(rank ? static_cast<std::size_t>(*rank)
                                       : DrawIndex(shares, random));
      turns.push_back(turn);
    }
  };
  draw(base_rate, std::nullopt);
  if (phase.flood) {
    const double tokens =
        BenchRanks().at(static_cast<std::size_t>(*phase.flood)).answer_tokens;
    draw(kFloodLoadShare * CapacityPerSecond(deployment) * MeanAnswerTokens() /
             tokens,
         phase.flood);
  }
  std::sort(turns.begin(), turns.end(),
            [](const Turn& a, const Turn& b) { return a.at < b.at; });
  return turns;
}

}  // namespace buckthornpath
