/** @file call_server.h Serves calls of routers at an endpoint process. */

#ifndef SRC_ENDPOINT_CALL_SERVER_H_
#define SRC_ENDPOINT_CALL_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "endpoint/admission_controller.h"
#include "endpoint/outcome_table.h"
#include "fleet/fleet_state.h"
#include "kernel/boot_clock.h"
#include "kernel/in_flight_calls.h"
#include "kernel/role.h"
#include "wire/message_connection.h"
#include "wire/ticket.h"

namespace buckthornpath {

/** Accepts connections of routers and runs their calls at the engine. */
class CallServer {
 public:
  /** Binds and listens on the setting `dialogue_address`. */
  CallServer(const RoleContext& context, const FleetState& fleet);

  void Start();

  /** Refuses new calls from now on; calls already admitted still run. */
  void BeginDrain() { this->admission.BeginDrain(); }

  /** Accepts no further connections; open ones stay open. */
  void StopAccepting();

  /** @return Tickets of the admitted calls and of the answers being sent. */
  std::vector<std::string> InFlight() const;

  /** @return Number of messages being handled and of admitted calls. */
  std::size_t OpenExchanges() const {
    return this->admission.Running() + this->admission.Queued() +
           this->messages_in_progress;
  }

  AdmissionController& Admission() { return this->admission; }
  const AdmissionController& Admission() const { return this->admission; }
  std::size_t OutcomeCount() const { return this->outcome_table.Size(); }
  Incarnation ThisIncarnation() const { return this->incarnation; }

 private:
  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> ServeConnection(
      std::shared_ptr<MessageConnection> connection,
      Strand strand);

  /** Response to a request: the answer of a call or a refusal. */
  struct CallOrRefusal {
    std::shared_ptr<CallRecord> record;  ///< Null for a refusal.
    CallRefused refusal;
  };

  /** @return The ticket, if it is authentic and belongs to the
   *     organisation. */
  std::optional<Ticket> VerifyTicket(const std::string& encoded_ticket,
                                     const std::string& organisation) const;

  /** @return The refusal for a lookup that gave no usable record. */
  CallRefused RefusalFor(const TicketLookup& lookup) const;

  /** Finds a call or submits it for admission. */
  CallOrRefusal Resolve(const CallRequest& request);

  /** Finds a call; an unknown ticket is closed, so that a late request with it
   * cannot run. */
  CallOrRefusal Resolve(const ResumeRequest& request);

  /** Looks up or submits the call and sends its answer or a refusal. */
  template <class Request>
  asio::awaitable<void> HandleRequest(MessageConnection& connection,
                                      const Strand& strand,
                                      Request request);

  /** Cancels a call. @return Its state after that. */
  CallRefused Cancel(const CancelRequest& request);

  /** Sends the chunks after a sequence number as they become available, then
   * the end of the call; heartbeats while there is nothing to send. */
  asio::awaitable<void> SendAnswer(MessageConnection& connection,
                                   const Strand& strand,
                                   std::shared_ptr<CallRecord> record,
                                   std::uint32_t attempt,
                                   std::uint64_t after);

  /** @return Time since the start, suspended time included. */
  std::chrono::milliseconds TimeSinceStart() const;

  RoleContext context;
  const FleetState& fleet;
  AdmissionController admission;
  TicketCodec ticket_codec;
  Incarnation incarnation;
  BootClock::time_point started = BootClock::now();
  OutcomeTable outcome_table;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<std::size_t> messages_in_progress =
      0;                            ///< Messages being handled.
  InFlightCalls answers_in_flight;  ///< Being sent to routers.
  std::atomic<bool> is_accepting = true;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_CALL_SERVER_H_
