/** @file outcome_table.cc The table loses no outcome and stays bounded. */

#include "endpoint/outcome_table.h"

#include <cppunit/TestAssert.h>

#include <boost/asio/co_spawn.hpp>
#include <set>

#include "harness/property.h"
#include "harness/story.h"
#include "router/request_state_machine.h"
#include "router/response_writer.h"
#include "wire/message_connection.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLifetime{1000};
constexpr milliseconds kRetention{2000};

OutcomeTable SmallTable(std::size_t entries = 8, std::size_t bytes = 64000) {
  return {EndpointId("e"), Incarnation{1}, {entries, bytes, kRetention}};
}

Ticket TicketAt(milliseconds issued, const std::string& nonce) {
  Ticket ticket;
  ticket.endpoint = EndpointId("e");
  ticket.incarnation = Incarnation{1};
  ticket.nonce = nonce;
  ticket.issued = issued;
  ticket.expiry = issued + kLifetime;
  return ticket;
}

void ClosedCallNeverStarts() {
  OutcomeTable table = SmallTable();
  const Ticket ticket = TicketAt(milliseconds(0), "a");
  CPPUNIT_ASSERT(table.FindOrClose("a", ticket, milliseconds(1)).status ==
                 TicketStatus::kNotRun);
  const TicketLookup late = table.FindOrCreate("a", ticket, milliseconds(2));
  CPPUNIT_ASSERT(late.status == TicketStatus::kKnown);
  CPPUNIT_ASSERT(!late.record->TryStart());
}

void FullTableRefusesTickets() {
  OutcomeTable table = SmallTable(2);
  for (const char* name : {"a", "b"}) {
    CPPUNIT_ASSERT(table
                       .FindOrCreate(name, TicketAt(milliseconds(0), name),
                                     milliseconds(0))
                       .status == TicketStatus::kNew);
  }
  const Ticket third = TicketAt(milliseconds(5), "c");
  CPPUNIT_ASSERT(table.FindOrCreate("c", third, milliseconds(6)).status ==
                 TicketStatus::kNotRun);
  // There is space again, but the refused ticket stays refused.
  for (const char* name : {"a", "b"}) {
    table.Cancel(name, TicketAt(milliseconds(0), name), milliseconds(7));
  }
  const milliseconds later = kLifetime + kRetention + milliseconds(1);
  table.FindOrCreate("d", TicketAt(later, "d"), later);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.Size());
  CPPUNIT_ASSERT(table.FindOrCreate("c", third, milliseconds(900)).status ==
                 TicketStatus::kNotRun);
}

void MemoryIsBounded() {
  OutcomeTable table = SmallTable(1000, 64000);
  std::size_t accepted = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string name = std::to_string(i);
    const TicketLookup lookup = table.FindOrCreate(
        name, TicketAt(milliseconds(i), name), milliseconds(i));
    if (lookup.status != TicketStatus::kNew)
      continue;
    ++accepted;
    lookup.record->TryStart();
    lookup.record->TryBeginSend();
    lookup.record->Append(std::string(5000, 'x'));
    lookup.record->Finish(200, "text/plain");
  }
  CPPUNIT_ASSERT(accepted > 0 && accepted < 100);
  CPPUNIT_ASSERT(table.Bytes() <= 64000);
  CPPUNIT_ASSERT_EQUAL(accepted, table.Size());
}

void OversizedAnswerIsIncomplete() {
  OutcomeTable table = SmallTable(10, 8000);
  const auto record =
      table.FindOrCreate("a", TicketAt(milliseconds(0), "a"), milliseconds(0))
          .record;
  record->TryStart();
  record->TryBeginSend();
  record->Append(std::string(9000, 'x'));
  record->Finish(200, "text/plain");
  CPPUNIT_ASSERT(record->Snapshot(0).state == CallState::kRefused);
  CPPUNIT_ASSERT_EQUAL(std::string("ran"), record->Snapshot(0).refused.outcome);
}

void ExpiredCallIsNotSent() {
  const auto memory = std::make_shared<AnswerMemoryBudget>(1000);
  CallRecord late(BootClock::now() - milliseconds(1), memory);
  CPPUNIT_ASSERT(!late.TryStart());
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                       late.Snapshot(0).refused.outcome);
  CallRecord paused(BootClock::now() + milliseconds(20), memory);
  CPPUNIT_ASSERT(paused.TryStart());
  const auto end = BootClock::now() + milliseconds(25);
  while (BootClock::now() < end) {
  }
  CPPUNIT_ASSERT(!paused.TryBeginSend());
  CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                       paused.Snapshot(0).refused.outcome);
}

void SentCallIsNeverNotRun() {
  const auto memory = std::make_shared<AnswerMemoryBudget>(1000);
  CallRecord record(BootClock::now() + milliseconds(10000), memory);
  record.TryStart();
  record.TryBeginSend();
  CallRefused refusal;
  refusal.outcome = "not_run";
  record.Refuse(refusal);
  CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                       record.Snapshot(0).refused.outcome);
}

/** Property: a call reported as not run never starts, in any event order. */
void NotRunCallNeverStarts() {
  OutcomeTable table = SmallTable(*rc::gen::inRange<std::size_t>(1, 6));
  std::set<int> refused;
  milliseconds now{0};
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 400));
    const int key = *rc::gen::inRange(0, 8);
    const std::string name = std::to_string(key);
    const Ticket ticket = TicketAt(milliseconds(key * 150), name);
    const int event = *rc::gen::inRange(0, 3);
    const TicketLookup lookup =
        event == 0   ? table.FindOrCreate(name, ticket, now)
        : event == 1 ? table.FindOrClose(name, ticket, now)
                     : table.Cancel(name, ticket, now);
    const bool starts = lookup.record && lookup.record->TryStart();
    RC_ASSERT(!starts || refused.count(key) == 0);
    if (lookup.status == TicketStatus::kNotRun)
      refused.insert(key);
    if (lookup.record &&
        lookup.record->Snapshot(0).state == CallState::kRefused &&
        lookup.record->Snapshot(0).refused.outcome == "not_run") {
      refused.insert(key);
    }
  }
}

/** Property: not_run is never reported after an attempt that may have run. */
void PossibleRunIsNeverNotRun() {
  const bool repeatable = *rc::gen::arbitrary<bool>();
  const bool holds_ticket = *rc::gen::arbitrary<bool>();
  RequestStateMachine machine({repeatable, holds_ticket});
  bool may_have_run = false;
  const int steps = *rc::gen::inRange(1, 20);
  for (int i = 0; i < steps; ++i) {
    if (!machine.CanFailOver() && i > 0)
      break;
    RC_ASSERT(i == 0 || !holds_ticket);
    RC_ASSERT(!may_have_run || repeatable);
    if (*rc::gen::arbitrary<bool>()) {
      machine.OnConnectFailed();
      may_have_run = may_have_run || holds_ticket;
      continue;
    }
    machine.OnDispatch();
    if (*rc::gen::arbitrary<bool>()) {
      machine.OnDisconnected();
      RC_ASSERT(machine.NeedsRecovery());
    }
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        machine.OnNotRun();
        break;
      case 1:
        machine.OnUnknown();
        may_have_run = true;
        break;
      default:
        machine.OnRan();
        may_have_run = true;
    }
    RC_ASSERT(!machine.NeedsRecovery());
  }
  RC_ASSERT(may_have_run == (machine.CurrentOutcome() != Outcome::kNotRun));
}

/** Records what a response writer sends. */
class RecordingExchange final : public HttpExchange {
 public:
  const HttpRequest& request() const override { return this->empty_request; }
  asio::awaitable<void> Send(HttpResponse response) override {
    this->text += response.body;
    co_return;
  }
  asio::awaitable<void> BeginStream(HttpResponse /*head*/) override {
    co_return;
  }
  asio::awaitable<void> WriteChunk(std::string_view data) override {
    this->text += data;
    co_return;
  }
  asio::awaitable<void> EndStream() override { co_return; }
  bool HasStartedResponse() const override { return !this->text.empty(); }

  HttpRequest empty_request;
  std::string text;
};

/** @return True if the task throws an exception of this type. */
template <class Fault>
bool Throws(asio::awaitable<void> task) {
  asio::io_context io;
  bool thrown = false;
  asio::co_spawn(io, std::move(task), [&](const std::exception_ptr& fault) {
    if (!fault)
      return;
    try {
      std::rethrow_exception(fault);
    } catch (const Fault&) {
      thrown = true;
    }
  });
  io.run();
  return thrown;
}

void GenerationsAreNotSpliced() {
  RecordingExchange exchange;
  ResponseWriter writer(exchange, true, 0);
  CPPUNIT_ASSERT(!Throws<ResponseMismatch>(writer.WriteChunk({1, 1, "one"})));
  CPPUNIT_ASSERT(!Throws<ResponseMismatch>(writer.WriteChunk({1, 2, "two"})));
  writer.Restart();
  CPPUNIT_ASSERT(!Throws<ResponseMismatch>(writer.WriteChunk({2, 1, "one"})));
  CPPUNIT_ASSERT(Throws<ResponseMismatch>(writer.WriteChunk({2, 2, "other"})));
}

void ShorterGenerationIsIncomplete() {
  RecordingExchange exchange;
  ResponseWriter writer(exchange, true, 0);
  Throws<ResponseMismatch>(writer.WriteChunk({1, 1, "one"}));
  Throws<ResponseMismatch>(writer.WriteChunk({1, 2, "two"}));
  writer.Restart();
  Throws<ResponseMismatch>(writer.WriteChunk({2, 1, "one"}));
  CallFinished finished;
  finished.chunks = 1;
  CPPUNIT_ASSERT(Throws<ResponseMismatch>(writer.Finish(finished)));
}

/** An endpoint process of an earlier release passes on what a service in
 * trouble has sent. */
void StatusThatEndsNoExchangeIsNotSent() {
  for (const std::uint32_t status : {0U, 99U, 100U, 101U, 199U, 600U}) {
    RecordingExchange exchange;
    ResponseWriter writer(exchange, false, 0);
    Throws<ConnectionLost>(writer.WriteChunk({1, 1, "not-an-answer"}));
    CallFinished finished;
    finished.chunks = 1;
    finished.status = status;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(status),
                           Throws<std::runtime_error>(writer.Finish(finished)));
    CPPUNIT_ASSERT_EQUAL(std::string(), exchange.text);
  }
}

void PlainBodyIsRestarted() {
  RecordingExchange exchange;
  ResponseWriter writer(exchange, false, 0);
  Throws<ConnectionLost>(writer.WriteChunk({1, 1, "half of one"}));
  writer.Restart();
  Throws<ConnectionLost>(writer.WriteChunk({2, 1, "another"}));
  CallFinished finished;
  finished.chunks = 1;
  CPPUNIT_ASSERT(!Throws<ResponseMismatch>(writer.Finish(finished)));
  CPPUNIT_ASSERT_EQUAL(std::string("another"), exchange.text);
}

const Story kStory("outcome_table", [] {
  return Section(
      "given the outcome table of an endpoint process",
      {Section("when a ticket is closed before its request arrives",
               {Then("the late request never starts", ClosedCallNeverStarts),
                Always("a call reported as not run never starts",
                       NotRunCallNeverStarts)}),
       Section("when the table is full",
               {Then("it refuses a new ticket permanently",
                     FullTableRefusesTickets),
                Then("its size in bytes stays bounded", MemoryIsBounded),
                Then("an oversized answer is not complete",
                     OversizedAnswerIsIncomplete)}),
       Section("when a call is to be sent",
               {Then("a call that has expired meanwhile is not sent",
                     ExpiredCallIsNotSent),
                Then("a call that has been sent is never not_run",
                     SentCallIsNeverNotRun)}),
       Section("when a router tries several endpoints",
               {Always("it never reports not_run if the call may have run",
                       PossibleRunIsNeverNotRun),
                Then("different generations are not spliced into one stream",
                     GenerationsAreNotSpliced),
                Then("a shorter generation is not complete",
                     ShorterGenerationIsIncomplete),
                Then("an answer whose status ends no exchange is not sent",
                     StatusThatEndsNoExchangeIsNotSent),
                Then("a plain body holds one response only",
                     PlainBodyIsRestarted)})});
});

}  // namespace

}  // namespace buckthornpath
