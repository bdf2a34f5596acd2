/** @file dialogue_server.h Answers routers at an endpoint process. */

#ifndef SRC_ENDPOINT_DIALOGUE_SERVER_H_
#define SRC_ENDPOINT_DIALOGUE_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "endpoint/engine_driver.h"
#include "endpoint/outcome_table.h"
#include "fleet/configuration_store.h"
#include "kernel/boot_clock.h"
#include "kernel/role.h"
#include "wire/dialogue_connection.h"
#include "wire/ticket.h"

namespace buckthornpath {

/** Accepts dialogues from routers and runs their calls at the engine. */
class DialogueServer {
 public:
  /** Binds the dialogue address. */
  DialogueServer(const RoleContext& context,
                 const ConfigurationStore& configuration);

  void Start();

  /** Refuses new calls from now on. */
  void BeginDrain() { this->draining = true; }

  /** @return Calls at the engine and answers on their way to routers. */
  std::size_t InFlight() const { return this->running + this->sending; }
  std::size_t Running() const { return this->running; }
  std::size_t Outcomes() const { return this->outcomes.Size(); }
  Incarnation ThisIncarnation() const { return this->incarnation; }

 private:
  asio::awaitable<void> AcceptAll();
  asio::awaitable<void> Serve(std::shared_ptr<DialogueConnection> connection,
                              Strand strand);

  asio::awaitable<void> HandleCall(DialogueConnection& connection,
                                   const Strand& strand,
                                   CallRequest request);
  asio::awaitable<void> HandleResume(DialogueConnection& connection,
                                     const Strand& strand,
                                     ResumeRequest request);

  /** Sends the answer of a call as it comes, after a sequence number. */
  asio::awaitable<void> SendAnswer(DialogueConnection& connection,
                                   const Strand& strand,
                                   std::shared_ptr<CallRecord> record,
                                   std::uint32_t attempt,
                                   std::uint64_t after);

  /** Starts a new call or refuses it in its record. */
  void Admit(const CallRequest& request,
             const std::shared_ptr<CallRecord>& record);

  asio::awaitable<void> RunCall(const EngineDriver* driver, EngineCall call);

  CallRefused Refusal(const std::string& outcome,
                      const std::string& reason) const;

  /** @return Age of this incarnation, suspended time included. */
  std::chrono::milliseconds Age() const;

  RoleContext context;
  const ConfigurationStore& configuration;
  TicketMint mint;
  Incarnation incarnation;
  BootClock::time_point started = BootClock::now();
  OutcomeTable outcomes;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<std::size_t> running = 0;  ///< Calls at the engine.
  std::atomic<std::size_t> sending = 0;  ///< Answers on their way to routers.
  std::atomic<bool> draining = false;
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_DIALOGUE_SERVER_H_
