/** @file log_table.h Table of all log events and their fields. */

#ifndef SRC_TABLE_LOG_TABLE_H_
#define SRC_TABLE_LOG_TABLE_H_

#include <algorithm>
#include <array>
#include <string_view>

namespace buckthornpath {

/** An event and the fields that its lines may have. */
struct LogEventRow {
  std::string_view name;
  std::string_view fields;  ///< Separated by single spaces.
  std::string_view meaning;
};

/** Fields of every line, in addition to those of its event. */
inline constexpr std::string_view kCommonLogFields =
    "time_ms level process event";

// clang-format off
inline constexpr std::array kLogEvents = std::to_array<LogEventRow>({
    // Requests through a gateway
    {"request", "request route organisation service configuration priority reason status total_ms attempts segments fingerprint quarantined stream_version published_age_ms taken_share unusable wait_ms sent_ms first_byte_ms", "A request has ended; lists the decisions made for it. Attempts state the software version of the endpoint, and uncached_tokens, the prompt tokens that it had to prefill; refused requests wait_ms, the wait that the queue then estimated"},
    {"stream_silent", "request endpoint silent_ms events choice reason", "An endpoint has paused a stream; it stays there, or another endpoint is asked to take it over (standby)"},
    {"attempt_failed", "endpoint reason", "An attempt to forward a request ended with an exception"},
    {"request_malformed", "reason", "The header of a request is invalid"},
    {"no_room_for_callers", "refused closed available_bytes connections max_connections", "Requests that were still arriving were refused, or connections closed, since the last such line, as the process has used up its bytes or connections; at most two lines a second"},
    // Fleet state known to a gateway
    {"configuration_in_force", "version routes revision digest source era", "A version of the configuration is active"},
    {"endpoint_up", "endpoint service address era", "An endpoint accepts requests"},
    {"endpoint_leaving", "endpoint service address era", "An endpoint accepts no new requests"},
    {"endpoint_gone", "endpoint era revision", "An endpoint is no longer published"},
    {"endpoint_says_leaving", "endpoint service", "An endpoint says in a response that it leaves; it is a last resort for a short time, then unused"},
    {"endpoint_closed", "endpoint service for_ms", "An endpoint has refused a request and wants none for this time"},
    {"endpoint_cold", "endpoint service reason for_ms may_send", "An endpoint has started, or may have; until it is warm, only gateways that the settings name send to it, at intervals"},
    {"domain_evacuated", "domain endpoints source era revision published_age_ms", "A failure domain is evacuated: its endpoints get no new requests. published_age_ms is the time since the source or another had confirmed that it was not"},
    {"domain_restored", "domain evacuated_ms source era revision published_age_ms", "The evacuation of a failure domain is over"},
    {"retry_after_ignored", "value", "The Retry-After of an endpoint is no number of seconds"},
    {"retry_after_bounded", "value", "The Retry-After of an endpoint is longer than the limit, which is used instead"},
    {"endpoint_crashed", "endpoint service unanswered", "An endpoint refuses connections after it has dropped requests that it had not answered"},
    {"segment_quarantined", "segments endpoints", "Endpoints have crashed under requests with these prompt segments or fingerprints; requests with all of them are refused"},
    {"segment_cleared", "segments endpoints", "An endpoint has answered on a segment in quarantine; it is admitted again"},
    {"quarantine_lifted", "segment", "An operator has ended a quarantine"},
    {"segment_expired", "segments endpoints", "The quarantine of segments is over; they are tried again"},
    {"item_unusable", "key reason", "A published item is ignored because its name or content cannot be used; not logged again until it has been usable or removed"},
    {"item_outdated", "key reason", "A published item is left out, as its writer has written a later one before; not logged again until another one is used"},
    {"item_unreadable", "key after reason", "An item of the store has no key, one that is too long, or no revision and is left out; logged once for each key, the first time for those without. after is the key before it in the response"},
    {"organisation_unusable", "organisation reason", "The keys of an organisation are not accepted, as its name cannot go into a header field; the rest of the configuration is in force"},
    {"list_incomplete", "items key", "The list of published items could not be read on after a key; no item counts as removed for not being listed. Changes are followed"},
    {"watch_cut", "reason read_ms", "A watch of the store failed after read_ms; it is repeated at once, and goes on where it was"},
    {"store_lost", "reason read_ms", "The store does not respond, and did not when the read was repeated; the failed read took read_ms"},
    {"store_regained", "", "The store responds again"},
    {"removal_deferred", "key for_ms", "The removal of an item is kept back for this time, as its owner may publish it again: this process could not read the store just before, or the store has come back from a copy"},
    {"store_history_lost", "reason", "Changes of the store were missed; all items are read again"},
    {"store_era_began", "source era revision held_era held_revision", "The store has come back from a copy; what it held only after that is lost, or is written again"},
    {"published_by_peer", "era revision", "A peer had a newer revision of the published items"},
    {"peer_found", "peer", "Another gateway was discovered"},
    {"peer_lost", "peer", "Nothing was received from a gateway for too long"},
    {"hub_role", "role hubs", "This gateway has become leader, hub or member of its failure domain"},
    {"hub_followed", "peer", "The published items are read from a hub"},
    {"hub_stale", "peer age_ms", "The hub that was followed does not confirm its items; age_ms is the time since the store's last answer to it, -1 if it does not read the store"},
    {"hub_lost", "peer reason", "The hub that was followed failed"},
    {"peer_unread", "peer reason", "The published items of a peer could not be read"},
    {"peer_message_unreadable", "reason", "A datagram from a peer could not be decoded and was dropped"},
    // Life cycle and faults of a process
    {"started", "role sequence request organisation rank cost", "A process or a queued call has started"},
    {"stopped", "", "A process exits"},
    {"drain_begun", "in_flight", "A process drains: it completes running calls before it exits"},
    {"out_of_rotation", "connections", "No more callers are sent to a draining gateway"},
    {"drain_waits", "requests in_flight", "A draining process waits for these calls; repeated every second"},
    {"drained", "", "A draining process has completed all calls"},
    {"cut_off", "reason requests open_exchanges", "Calls were still unfinished when the process ended"},
    {"settings_reloaded", "need_restart", "Settings were reloaded"},
    {"settings_refused", "reason", "Reloaded settings are invalid; the previous ones stay in use"},
    {"woke_after_pause", "", "The process or its VM was paused"},
    {"log_dropped", "lines", "Log lines were dropped"},
    {"task_failed", "reason", "A task ended with an exception"},
    {"service_restarted", "reason", "A task that lasts as long as the process threw an exception and is started again"},
    {"handler_failed", "reason", "A handler of the event loop threw an exception; the process goes on"},
    {"accept_failed", "reason", "A connection could not be accepted"},
    {"connection_failed", "reason", "A caller's connection ended with an exception"},
    {"exchange_failed", "target reason", "A handler of an HTTP server failed"},
    // Calls through routers and endpoint processes
    {"route", "organisation profile rank chat attempt candidates believed_loads choice reason", "A router chose an endpoint"},
    {"refused", "request organisation rank reason detail outcome count mean mean_known bound wait_ms", "A call was refused"},
    {"cancelled", "request outcome reason", "A call was cancelled"},
    {"endpoint_unreached", "endpoint reason", "A router could not reach an endpoint"},
    {"admitted", "sequence request organisation profile rank count mean mean_known mean_age_ms multiple_percent bound evicted wait_ms", "An endpoint process admitted a call"},
    {"released", "sequence request how", "A call has left its endpoint process"},
    {"engine_cancel_failed", "request reason", "The cancellation of a call could not be sent to the engine"},
    {"engine_met", "checks_fencing", "An endpoint process has reached its engine"},
    {"engine_state_fault", "reason", "An engine's state could not be read"},
    {"dialogue_ended", "reason", "A connection between processes was closed"},
    // Models
    {"model_placement", "service revision replicas models choice reason replicas_that_load load_delay_ms", "A model was assigned to a replica"},
    {"model_order", "fencing load outcome highest detail", "A model order was sent to an engine"},
    {"orders_superseded", "engine", "Another process now sends the model orders of this engine"},
    // Fleet
    {"configuration_conflict", "revision kept dropped", "Two different contents have the same revision"},
    {"configuration_stale", "revision in_force", "The configuration service has an older revision than the active one"},
    {"configuration_refused", "revision digest faults", "An invalid configuration was rejected"},
    {"configuration_fault", "reason", "The configuration service could not be read"},
    {"configuration_peer_fault", "reason", "A peer's configuration could not be read"},
    {"vm_list_fault", "reason", "The list of VMs could not be read"},
    {"vm_unusable", "vm reason", "An item of the list of VMs is left out, as its name or a field of it cannot be used; logged once for each name"},
    {"fleet_asked", "revision took_ms", "Peers were queried at the start or after a pause"},
    {"malformed_message", "reason", "A malformed message was dropped"},
    {"malformed_gossip", "reason", "A malformed gossip datagram was dropped"},
});
// clang-format on

/** @return True if a list separated by single spaces contains a word. */
constexpr bool ContainsWord(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(' '), list.size());
    if (list.substr(0, end) == word)
      return true;
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return false;
}

/** @return The row of an event, or null. */
constexpr const LogEventRow* FindLogEvent(std::string_view name) {
  const auto* found =
      std::find_if(kLogEvents.begin(), kLogEvents.end(),
                   [&](const LogEventRow& row) { return row.name == name; });
  return found == kLogEvents.end() ? nullptr : found;
}

/** @return True if any event has a field of this name. */
constexpr bool IsLogField(std::string_view name) {
  return std::any_of(
      kLogEvents.begin(), kLogEvents.end(),
      [&](const LogEventRow& row) { return ContainsWord(row.fields, name); });
}

/** Name of an event, checked at compile time against kLogEvents. */
class LogEventName {
 public:
  consteval LogEventName(const char* name) : name(name) {
    if (FindLogEvent(this->name) == nullptr)
      throw "unknown log event: add it to kLogEvents";
  }

  constexpr std::string_view Text() const { return this->name; }

 private:
  std::string_view name;
};

/** Name of a field, checked at compile time against kLogEvents. */
class LogFieldName {
 public:
  consteval LogFieldName(const char* name) : name(name) {
    if (!IsLogField(this->name))
      throw "unknown log field: add it to kLogEvents";
  }

  constexpr std::string_view Text() const { return this->name; }

 private:
  std::string_view name;
};

}  // namespace buckthornpath

#endif  // SRC_TABLE_LOG_TABLE_H_
