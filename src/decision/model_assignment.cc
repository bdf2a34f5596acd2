/** @file model_assignment.cc Assigns models to replicas of a service. */

#include "buckthornpath/model_assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace buckthornpath {

namespace {

constexpr std::size_t kNoModelIndex = static_cast<std::size_t>(-1);

/** Score of a model on a replica; depends only on their names. */
struct PairScore {
  XXH64_hash_t score = 0;
  std::size_t model = 0;
  std::size_t replica = 0;
};

/** @return All pairs of model and replica, highest score first. */
std::vector<PairScore> RankedPairs(const std::vector<ModelDemand>& models,
                                   const std::vector<Replica>& replicas) {
  std::vector<PairScore> pairs;
  pairs.reserve(models.size() * replicas.size());
  for (std::size_t m = 0; m < models.size(); ++m) {
    const std::string& model = models[m].name.str();
    const XXH64_hash_t seed = XXH3_64bits(model.data(), model.size());
    for (std::size_t r = 0; r < replicas.size(); ++r) {
      const std::string& id = replicas[r].id.str();
      pairs.push_back({XXH3_64bits_withSeed(id.data(), id.size(), seed), m, r});
    }
  }
  std::sort(
      pairs.begin(), pairs.end(), [](const PairScore& a, const PairScore& b) {
        if (a.score != b.score)
          return a.score > b.score;
        return a.model != b.model ? a.model < b.model : a.replica < b.replica;
      });
  return pairs;
}

std::size_t CountDomains(const std::vector<Replica>& replicas) {
  std::vector<FailureDomainId> domains;
  domains.reserve(replicas.size());
  for (const Replica& replica : replicas)
    domains.push_back(replica.failure_domain);
  std::sort(domains.begin(), domains.end());
  return static_cast<std::size_t>(std::unique(domains.begin(), domains.end()) -
                                  domains.begin());
}

/** Greedy matching of replicas to models by score, limited to the number of
 * replicas of each model. */
class ReplicaMatcher {
 public:
  ReplicaMatcher(const std::vector<ModelDemand>& models,
                 const std::vector<Replica>& replicas)
      : replicas(replicas),
        target_counts(DivideReplicas(models, replicas.size())),
        domains(std::max<std::size_t>(CountDomains(replicas), 1)),
        domain_counts(models.size()),
        assigned_model(replicas.size(), kNoModelIndex) {}

  /** @param spread If true, a model gets at most its even share of the replicas
   * in each failure domain. */
  void AssignReplicas(const std::vector<PairScore>& pairs, bool spread) {
    for (const PairScore& pair : pairs) {
      if (this->assigned_model[pair.replica] != kNoModelIndex ||
          this->assigned_counts[pair.model] >=
              this->target_counts[pair.model]) {
        continue;
      }
      const FailureDomainId& domain =
          this->replicas[pair.replica].failure_domain;
      std::size_t& in_domain = this->domain_counts[pair.model][domain];
      if (spread && in_domain >= this->MaxPerDomain(pair.model))
        continue;
      ++in_domain;
      ++this->assigned_counts[pair.model];
      this->assigned_model[pair.replica] = pair.model;
    }
  }

  std::size_t ModelOf(std::size_t replica) const {
    return this->assigned_model[replica];
  }

 private:
  std::size_t MaxPerDomain(std::size_t model) const {
    return (this->target_counts[model] + this->domains - 1) / this->domains;
  }

  const std::vector<Replica>& replicas;
  std::vector<std::size_t> target_counts;
  std::size_t domains;
  std::vector<std::map<FailureDomainId, std::size_t>> domain_counts;
  std::map<std::size_t, std::size_t> assigned_counts;
  std::vector<std::size_t> assigned_model;
};

}  // namespace

std::vector<std::size_t> DivideReplicas(const std::vector<ModelDemand>& models,
                                        std::size_t replicas) {
  std::vector<std::size_t> counts(models.size(), 0);
  std::size_t remaining = replicas;
  double shares = 0;
  for (std::size_t i = 0; i < models.size(); ++i) {
    counts[i] = std::min(models[i].minimum_replicas, remaining);
    remaining -= counts[i];
    shares += models[i].share;
  }
  if (models.empty() || shares <= 0)
    return counts;
  std::vector<double> remainders(models.size());
  std::size_t allocated = 0;
  for (std::size_t i = 0; i < models.size(); ++i) {
    const double quota =
        static_cast<double>(remaining) * models[i].share / shares;
    const double base = std::floor(quota);
    remainders[i] = quota - base;
    counts[i] += static_cast<std::size_t>(base);
    allocated += static_cast<std::size_t>(base);
  }
  std::vector<std::size_t> order(models.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return remainders[a] > remainders[b];
                   });
  for (std::size_t i = 0; allocated < remaining; ++i, ++allocated)
    ++counts[order[i % order.size()]];
  return counts;
}

std::vector<ModelAssignment> AssignModels(std::vector<ModelDemand> models,
                                          std::vector<Replica> replicas) {
  if (models.empty())
    return {};
  std::sort(models.begin(), models.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  std::sort(replicas.begin(), replicas.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  const std::vector<PairScore> pairs = RankedPairs(models, replicas);
  ReplicaMatcher matcher(models, replicas);
  matcher.AssignReplicas(pairs, /*spread=*/true);
  matcher.AssignReplicas(pairs, /*spread=*/false);
  std::vector<ModelAssignment> assignments;
  assignments.reserve(replicas.size());
  for (std::size_t r = 0; r < replicas.size(); ++r) {
    const std::size_t model = matcher.ModelOf(r);
    assignments.push_back({replicas[r].id, model == kNoModelIndex
                                               ? ModelName()
                                               : models[model].name});
  }
  return assignments;
}

ModelName AssignedModel(const std::vector<ModelAssignment>& assignments,
                        const EndpointId& endpoint) {
  for (const ModelAssignment& assignment : assignments) {
    if (assignment.endpoint == endpoint)
      return assignment.model;
  }
  return {};
}

std::vector<EndpointId> ChangedReplicas(
    const std::vector<ModelAssignment>& before,
    const std::vector<ModelAssignment>& after) {
  std::map<EndpointId, ModelName> models_before;
  for (const ModelAssignment& assignment : before)
    models_before[assignment.endpoint] = assignment.model;
  std::vector<EndpointId> changed;
  for (const ModelAssignment& assignment : after) {
    const auto found = models_before.find(assignment.endpoint);
    if (found == models_before.end() || found->second != assignment.model)
      changed.push_back(assignment.endpoint);
  }
  return changed;
}

}  // namespace buckthornpath
