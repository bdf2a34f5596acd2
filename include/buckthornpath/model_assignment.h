/** @file model_assignment.h Assigns models to the replicas of a service. */

#ifndef BUCKTHORNPATH_MODEL_ASSIGNMENT_H_
#define BUCKTHORNPATH_MODEL_ASSIGNMENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "buckthornpath/strong_id_type.h"

namespace buckthornpath {

/** Requested share and minimum number of replicas of a model. */
struct ModelDemand {
  ModelName name;
  double share = 1.0;  ///< Share of the replicas, relative to other models.
  std::size_t minimum_replicas = 0;  ///< Allocated before the shares.
};

/** A replica that can hold one model. */
struct Replica {
  EndpointId id;
  FailureDomainId failure_domain;
};

/** Model assigned to one replica. */
struct ModelAssignment {
  EndpointId endpoint;
  ModelName model;

  bool operator==(const ModelAssignment&) const = default;
};

/**
 * Divides replicas among models: minimums first, the rest in proportion to the
 * shares by the largest remainder method.
 * @param replicas Number of replicas.
 * @return Replicas of each model, in input order. Their sum is `replicas`,
 *     unless there is no model or no share above zero. If the minimums exceed
 *     `replicas`, earlier models are served first.
 */
std::vector<std::size_t> DivideReplicas(const std::vector<ModelDemand>& models,
                                        std::size_t replicas);

/**
 * Assigns a model to each replica. Deterministic and independent of the input
 * order, so all processes that know the same models and replicas compute the
 * same assignment. Spreads a model's replicas over failure domains. A replica
 * that joins or leaves changes the model of few others.
 * @return One entry for each replica, sorted by id; empty without models.
 */
std::vector<ModelAssignment> AssignModels(std::vector<ModelDemand> models,
                                          std::vector<Replica> replicas);

/** @return The model assigned to a replica; an empty name if there is none. */
ModelName AssignedModel(const std::vector<ModelAssignment>& assignments,
                        const EndpointId& endpoint);

/**
 * @return Replicas whose model differs between the assignments, or that are
 *     only in `after`, in the order of `after`.
 */
std::vector<EndpointId> ChangedReplicas(
    const std::vector<ModelAssignment>& before,
    const std::vector<ModelAssignment>& after);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_MODEL_ASSIGNMENT_H_
