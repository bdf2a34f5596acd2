/** @file placement.cc Selects the endpoints for a call. */

#include "router/placement.h"

#include <stdexcept>

namespace buckthornpath {

namespace {

/** @return The ticket's endpoint, from the member list if it is there. */
Member MemberOfTicket(const Ticket& ticket, const MemberList& members) {
  for (const Member& member : members.AllMembers()) {
    if (member.id == ticket.endpoint)
      return member;
  }
  Member member;
  member.id = ticket.endpoint;
  member.address = ParseSocketAddress(ticket.address);
  return member;
}

std::string ChatKey(const CallerRequest& request) {
  if (request.chat.empty())
    return "";
  return request.organisation.str() + "/" + request.chat.str();
}

PlacementRandom& ThreadRandom() {
  thread_local PlacementRandom random{std::random_device()()};
  return random;
}

}  // namespace

Placement::Placement(const Settings& settings,
                     const MemberList& members,
                     const TicketCodec& ticket_codec)
    : members(members),
      policy(FindPlacementPolicy(settings.placement_policy)),
      hints(ticket_codec),
      chat_cache(static_cast<std::size_t>(settings.chat_memory_entries)),
      loads(settings.load_report_age) {
  if (this->policy == nullptr) {
    throw std::invalid_argument("no placement policy '" +
                                settings.placement_policy + "'");
  }
}

EndpointId Placement::LastEndpoint(const CallerRequest& request) const {
  if (request.chat.empty())
    return {};
  const auto hinted =
      this->hints.Decode(request.organisation, request.chat, request.hint);
  if (hinted)
    return *hinted;
  return this->chat_cache.Find(ChatKey(request)).value_or(EndpointId());
}

std::vector<PlacementCandidate> Placement::BuildCandidates(
    const std::vector<Member>& live) const {
  const auto now = std::chrono::steady_clock::now();
  std::vector<PlacementCandidate> candidates;
  std::vector<bool> known;
  double known_load = 0.0;
  std::size_t known_count = 0;
  for (const Member& member : live) {
    const auto estimate = this->loads.EstimatedLoad(member.id, now);
    candidates.push_back({member.id.str(), 1.0, estimate.value_or(0.0)});
    known.push_back(estimate.has_value());
    known_load += estimate.value_or(0.0);
    known_count += estimate.has_value() ? 1 : 0;
  }
  if (known_count == 0)
    return candidates;
  // An endpoint without a recent report is assumed to have the mean load.
  const double mean = known_load / static_cast<double>(known_count);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!known[i])
      candidates[i].estimated_load = mean;
  }
  return candidates;
}

PlacementDecision Placement::Place(const CallerRequest& request) const {
  if (request.ticket) {
    return {{MemberOfTicket(*request.ticket, this->members)}, {0.0}, "ticket"};
  }
  const std::vector<Member> live =
      this->members.UsableMembers(ServiceName(request.service.name));
  const std::vector<PlacementCandidate> candidates =
      this->BuildCandidates(live);
  const std::string key = ChatKey(request);
  const EndpointId last = this->LastEndpoint(request);
  constexpr double kPercent = 100.0;
  const PlacementQuery query{
      key, last.str(),
      static_cast<double>(request.profile.load_multiple_percent) / kPercent};
  const PlacementOrder order =
      this->policy->place(query, candidates, ThreadRandom());
  PlacementDecision decision;
  decision.reason = PlacementReasonName(order.reason);
  for (const std::size_t index : order.candidates) {
    decision.candidates.push_back(live[index]);
    decision.estimated_loads.push_back(candidates[index].estimated_load);
  }
  return decision;
}

std::string Placement::RecordAdmission(const CallerRequest& request,
                                       const EndpointId& endpoint,
                                       std::int64_t load) {
  this->loads.RecordReport(endpoint, load, std::chrono::steady_clock::now());
  if (request.chat.empty())
    return "";
  this->chat_cache.Record(ChatKey(request), endpoint);
  return this->hints.Encode(request.organisation, request.chat, endpoint);
}

}  // namespace buckthornpath
