/** @file published_table.h Schemas of the published documents. */

#ifndef SRC_TABLE_PUBLISHED_TABLE_H_
#define SRC_TABLE_PUBLISHED_TABLE_H_

#include "fleet/published_type.h"

namespace buckthornpath {

// clang-format off
inline constexpr FieldRow<Profile> kProfileRows[] = {
    // name, member, unit, default, minimum, maximum, choices, help
    {"name", &Profile::name, "", Required{}, 1, 64, "",
     "Name by which callers select the profile."},
    {"service", &Profile::service, "", Required{}, 1, 64, "",
     "Service that executes the calls."},
    {"rank", &Profile::rank, "", "standard", 1, 16, "urgent|standard|bulk",
     "Priority class of the calls."},
    {"repeatable", &Profile::repeatable, "", false, 0, 1, "",
     "Whether a call may run more than once."},
    {"deadline", &Profile::deadline, "ms", 30000, 10, 86400000, "",
     "Maximum time from the request to the first byte of the response."},
    {"minimum_share_percent", &Profile::minimum_share_percent, "%", 10, 0, 100, "",
     "Minimum share of an endpoint reserved for the rank under load from other ranks."},
    {"load_multiple_percent", &Profile::load_multiple_percent, "%", 150, 100, 1000, "",
     "Maximum load of one endpoint, relative to the mean of its service."},
};

inline constexpr FieldRow<Organisation> kOrganisationRows[] = {
    {"name", &Organisation::name, "", Required{}, 1, 64, "",
     "Name of the organisation."},
    {"credential_sha256", &Organisation::credential_sha256, "", Required{}, 64, 64, "",
     "SHA-256 of the credential that its callers present, in hexadecimal."},
    {"weight", &Organisation::weight, "", 1, 1, 1000, "",
     "Share of the capacity, relative to other organisations."},
};

inline constexpr FieldRow<Service> kServiceRows[] = {
    {"name", &Service::name, "", Required{}, 1, 64, "",
     "Name of the service."},
    {"kind", &Service::kind, "", Required{}, 1, 8, "model|plain",
     "Whether the endpoints run model engines or plain services."},
    {"model", &Service::model, "", "", 0, 128, "",
     "Model that the engines load if no model document names the service."},
    {"loads_per_minute", &Service::loads_per_minute, "", 30, 1, 100000, "",
     "Maximum number of model loads that the service may start per minute at the weight store."},
};

inline constexpr FieldRow<PublishedModel> kPublishedModelRows[] = {
    {"name", &PublishedModel::name, "", Required{}, 1, 64, "",
     "Name of the document."},
    {"service", &PublishedModel::service, "", Required{}, 1, 64, "",
     "Service whose replicas load the model."},
    {"model", &PublishedModel::model, "", Required{}, 1, 128, "",
     "Name by which the engines know the model."},
    {"version", &PublishedModel::version, "", "", 0, 64, "",
     "Version that the replicas load."},
    {"adapters", &PublishedModel::adapters, "", "", 0, 1024, "",
     "Comma-separated adapters that are loaded with the model."},
    {"share", &PublishedModel::share, "", 1, 0, 1000000, "",
     "Share of the service's replicas, relative to its other models."},
    {"minimum_replicas", &PublishedModel::minimum_replicas, "", 0, 0, 100000, "",
     "Minimum number of replicas, assigned before the rest is divided by share."},
};
// clang-format on

}  // namespace buckthornpath

#endif  // SRC_TABLE_PUBLISHED_TABLE_H_
