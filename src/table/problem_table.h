/** @file problem_table.h Table of all problem types that callers receive. */

#ifndef SRC_TABLE_PROBLEM_TABLE_H_
#define SRC_TABLE_PROBLEM_TABLE_H_

#include "router/problem.h"

namespace buckthornpath {

inline constexpr ProblemRow kProblemRows[] = {
    {"credential_missing", 401, "A valid credential is required"},
    {"profile_unknown", 400, "The profile is not published"},
    {"request_malformed", 400, "The request cannot be understood"},
    {"header_too_large", 431, "The header of the request is too large"},
    {"body_too_large", 413, "The body of the request is too large"},
    {"request_too_slow", 408, "The request did not arrive in time"},
    {"too_many_connections", 429, "Too many connections are open"},
    {"method_not_allowed", 405, "The method is not allowed here"},
    {"not_found", 404, "There is no such resource"},
    {"ticket_refused", 403, "The ticket is not valid for this caller"},
    {"ticket_expired", 409, "The ticket expired before the call started"},
    {"ticket_closed", 409, "The ticket can no longer start a call"},
    {"ticket_forgotten", 410, "The ticket's outcome is no longer remembered"},
    {"ticket_needed", 400, "The call takes a ticket"},
    {"ticket_reused", 409, "The ticket belongs to another request"},
    {"cancelled", 409, "The call was cancelled"},
    {"answer_memory_full", 507, "The answer is too long to be kept"},
    {"answer_differs", 502, "The answer broke off and cannot go on"},
    {"engine_unreachable", 503, "The engine cannot be reached"},
    {"never_arrived", 409, "The call never reached its endpoint"},
    {"outcome_table_full", 503, "The endpoint cannot take more calls"},
    {"endpoint_busy", 503, "The endpoints are busy"},
    {"endpoint_over_bound", 503, "The endpoints carry their share of the load"},
    {"deadline_unmet", 503, "The call could not start before its deadline"},
    {"queue_full", 503, "Too many calls wait at the endpoint"},
    {"endpoint_leaving", 503, "The endpoint is leaving"},
    {"endpoint_restarted", 503, "The endpoint process restarted"},
    {"endpoint_unreachable", 503, "The endpoint cannot be reached"},
    {"no_endpoint", 503, "No endpoint of the service is known"},
    {"no_configuration", 503, "No configuration is in force yet"},
    {"router_draining", 503, "The router is shutting down"},
    {"engine_failed", 502, "The engine failed during the call"},
    {"service_failed", 502, "The service failed during the call"},
    {"internal_error", 500, "Internal error"},
};

}  // namespace buckthornpath

#endif  // SRC_TABLE_PROBLEM_TABLE_H_
