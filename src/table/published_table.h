/** @file published_table.h Every field of the published documents. */

#ifndef SRC_TABLE_PUBLISHED_TABLE_H_
#define SRC_TABLE_PUBLISHED_TABLE_H_

#include "fleet/published_type.h"

namespace buckthornpath {

// clang-format off
inline constexpr FieldRow<Profile> kProfileRows[] = {
    // name, member, unit, default, minimum, maximum, choices, help
    {"name", &Profile::name, "", Required{}, 1, 64, "",
     "Name by which callers pick the profile."},
    {"service", &Profile::service, "", Required{}, 1, 64, "",
     "Service that does the work."},
    {"rank", &Profile::rank, "", "standard", 1, 16, "urgent|standard|bulk",
     "How urgent the work is."},
    {"repeatable", &Profile::repeatable, "", false, 0, 1, "",
     "Whether a call may run more than once."},
    {"deadline", &Profile::deadline, "ms", 30000, 10, 86400000, "",
     "Longest time from the request to its first byte."},
    {"minimum_share_percent", &Profile::minimum_share_percent, "%", 10, 0, 100, "",
     "Share of an endpoint kept for the rank while others flood."},
    {"load_multiple_percent", &Profile::load_multiple_percent, "%", 150, 100, 1000, "",
     "Most load of one endpoint, relative to the mean of its service."},
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
     "Whether model engines or plain services stand behind it."},
    {"model", &Service::model, "", "", 0, 128, "",
     "Model that the engines hold if no model document names the service."},
    {"loads_per_minute", &Service::loads_per_minute, "", 30, 1, 100000, "",
     "Most loads that the weight store allows the service to begin."},
};

inline constexpr FieldRow<PublishedModel> kPublishedModelRows[] = {
    {"name", &PublishedModel::name, "", Required{}, 1, 64, "",
     "Name of the document."},
    {"service", &PublishedModel::service, "", Required{}, 1, 64, "",
     "Service whose replicas hold the model."},
    {"model", &PublishedModel::model, "", Required{}, 1, 128, "",
     "Name by which the engines know the model."},
    {"version", &PublishedModel::version, "", "", 0, 64, "",
     "Version that the replicas hold."},
    {"adapters", &PublishedModel::adapters, "", "", 0, 1024, "",
     "Adapters loaded beside it, separated by commas."},
    {"share", &PublishedModel::share, "", 1, 0, 1000000, "",
     "Share of the service's replicas, relative to its other models."},
    {"minimum_replicas", &PublishedModel::minimum_replicas, "", 0, 0, 100000, "",
     "Replicas that it keeps before the others are shared out."},
};
// clang-format on

}  // namespace buckthornpath

#endif  // SRC_TABLE_PUBLISHED_TABLE_H_
