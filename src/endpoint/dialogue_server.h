/** @file dialogue_server.h Answers routers at an endpoint process. */

#ifndef SRC_ENDPOINT_DIALOGUE_SERVER_H_
#define SRC_ENDPOINT_DIALOGUE_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "endpoint/admission.h"
#include "endpoint/outcome_table.h"
#include "fleet/fleet_state.h"
#include "kernel/boot_clock.h"
#include "kernel/in_flight_calls.h"
#include "kernel/role.h"
#include "wire/dialogue_connection.h"
#include "wire/ticket.h"

namespace buckthornpath {

/** Accepts dialogues from routers and runs their calls at the engine. */
class DialogueServer {
 public:
  /** Binds the dialogue address. */
  DialogueServer(const RoleContext& context, const FleetState& fleet);

  void Start();

  /** Refuses new calls from now on. */
  void BeginDrain() { this->admission.BeginDrain(); }

  /** Accepts no further dialogues; those that are open go on. */
  void StopAccepting();

  /** @return Calls admitted and answers on their way to routers. */
  std::vector<std::string> InFlight() const;

  /** @return Messages of routers not yet dealt with, and admitted calls. */
  std::size_t OpenExchanges() const {
    return this->admission.Running() + this->admission.Queued() +
           this->handling;
  }

  Admission& Calls() { return this->admission; }
  const Admission& Calls() const { return this->admission; }
  std::size_t Outcomes() const { return this->outcomes.Size(); }
  Incarnation ThisIncarnation() const { return this->incarnation; }

 private:
  asio::awaitable<void> AcceptAll();
  asio::awaitable<void> Serve(std::shared_ptr<DialogueConnection> connection,
                              Strand strand);

  /** What is to be sent for a request: a call's answer or a refusal. */
  struct Verdict {
    std::shared_ptr<CallRecord> record;  ///< Null for a refusal.
    CallRefused refusal;
  };

  /** @return The ticket, if it is genuine and the organisation's own. */
  std::optional<Ticket> OwnTicket(const std::string& text,
                                  const std::string& organisation) const;

  /** @return What the table's answer means without a record. */
  CallRefused RefusalOf(const TicketLookup& lookup) const;

  /** Finds a call or submits it for admission. */
  Verdict Judge(const CallRequest& request);

  /** Finds a call; one that never arrived is closed for good. */
  Verdict Judge(const ResumeRequest& request);

  /** Judges a request and sends what follows from it. */
  template <class Request>
  asio::awaitable<void> Handle(DialogueConnection& connection,
                               const Strand& strand,
                               Request request);

  /** Stops a call. @return What is known of it now. */
  CallRefused Cancel(const CancelRequest& request);

  /** Sends the answer of a call as it comes, after a sequence number. */
  asio::awaitable<void> SendAnswer(DialogueConnection& connection,
                                   const Strand& strand,
                                   std::shared_ptr<CallRecord> record,
                                   std::uint32_t attempt,
                                   std::uint64_t after);

  /** @return Age of this incarnation, suspended time included. */
  std::chrono::milliseconds Age() const;

  RoleContext context;
  const FleetState& fleet;
  Admission admission;
  TicketMint mint;
  Incarnation incarnation;
  BootClock::time_point started = BootClock::now();
  OutcomeTable outcomes;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<std::size_t> handling = 0;  ///< Messages not yet dealt with.
  InFlightCalls answers;                  ///< On their way to routers.
  std::atomic<bool> accepting = true;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_DIALOGUE_SERVER_H_
