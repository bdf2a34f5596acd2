/** @file model_assignment.h Which model each replica of a service holds. */

#ifndef BUCKTHORNPATH_MODEL_ASSIGNMENT_H_
#define BUCKTHORNPATH_MODEL_ASSIGNMENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** How many replicas a model asks for. */
struct ModelDemand {
  ModelName name;
  double share = 1.0;  ///< Of the replicas, relative to other models.
  std::size_t minimum_replicas = 0;  ///< Kept before shares are given out.
};

/** A replica that can hold one model. */
struct ReplicaSite {
  EndpointId id;
  FailureDomainId failure_domain;
};

/** The model that one replica is to hold. */
struct ModelChoice {
  EndpointId endpoint;
  ModelName model;

  bool operator==(const ModelChoice&) const = default;
};

/**
 * Divides replicas among models: minimums first, the rest by share with the
 * largest remainders rounded up.
 * @param replicas Number of replicas.
 * @return Replicas of each model, in the order given; their sum is replicas
 *     unless there is no model. Minimums that do not fit are cut in order.
 */
std::vector<std::size_t> ReplicaCounts(const std::vector<ModelDemand>& models,
                                       std::size_t replicas);

/**
 * Assigns a model to each replica. A pure function: every process that knows
 * the same models and replicas comes to the same result, in whatever order
 * they are given. A model's replicas are spread over failure domains. A
 * replica that joins or leaves moves few others.
 * @return One choice for each replica in the order of their ids; none without
 *     models.
 */
std::vector<ModelChoice> AssignModels(std::vector<ModelDemand> models,
                                      std::vector<ReplicaSite> replicas);

/** @return The choice for one replica; an empty name if there is none. */
ModelName ChoiceFor(const std::vector<ModelChoice>& choices,
                    const EndpointId& endpoint);

/**
 * @return Replicas whose model differs between two assignments, or that only
 *     the second one names, in the order of their ids.
 */
std::vector<EndpointId> ChangedReplicas(const std::vector<ModelChoice>& before,
                                        const std::vector<ModelChoice>& after);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_MODEL_ASSIGNMENT_H_
