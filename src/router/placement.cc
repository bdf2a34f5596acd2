/** @file placement.cc Chooses the endpoints for a call. */

#include "router/placement.h"

#include "buckthornpath/rendezvous.h"

namespace buckthornpath {

namespace {

/** @return The endpoint that a ticket names, from the list if it is there. */
Member TicketMember(const Ticket& ticket, const MemberList& members) {
  for (const Member& member : members.All()) {
    if (member.id == ticket.endpoint)
      return member;
  }
  Member member;
  member.id = ticket.endpoint;
  member.address = ParseSocketAddress(ticket.address);
  return member;
}

}  // namespace

PlacementDecision PlaceCall(const CallerRequest& request,
                            const MemberList& members) {
  if (request.ticket) {
    return {{TicketMember(*request.ticket, members)}, "ticket"};
  }
  const std::vector<Member> live =
      members.LiveMembers(ServiceName(request.service.name));
  std::vector<RendezvousSite> sites;
  sites.reserve(live.size());
  for (const Member& member : live)
    sites.push_back({member.id.str(), 1.0});
  const std::string key = request.chat.empty() ? TicketMint::NewNonce()
                                               : request.organisation.str() +
                                                     "/" + request.chat.str();
  PlacementDecision decision;
  decision.reason = request.chat.empty() ? "random" : "chat_hash";
  for (const std::size_t index : RendezvousOrder(key, sites)) {
    decision.candidates.push_back(live[index]);
  }
  return decision;
}

}  // namespace buckthornpath
