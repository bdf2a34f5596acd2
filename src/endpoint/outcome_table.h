/** @file outcome_table.h Every call that an endpoint process remembers. */

#ifndef SRC_ENDPOINT_OUTCOME_TABLE_H_
#define SRC_ENDPOINT_OUTCOME_TABLE_H_

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>

#include "buckthornpath/outcome_type.h"
#include "endpoint/call_record.h"
#include "wire/ticket.h"

namespace buckthornpath {

/** Bounds of the table. */
struct OutcomeLimits {
  std::size_t entries = 0;
  std::size_t bytes = 0;
  std::chrono::milliseconds retention{};  ///< After the ticket's expiry.
};

/** What the table says of a ticket. */
enum class TicketAnswer {
  kNew,      ///< Never seen, and it may start now.
  kKnown,    ///< The record holds its state.
  kNotRun,   ///< Never seen and never to be run.
  kUnknown,  ///< The table cannot tell.
};

struct TicketLookup {
  TicketAnswer answer = TicketAnswer::kUnknown;
  std::string reason;                  ///< Name of a problem type.
  std::shared_ptr<CallRecord> record;  ///< For kNew and kKnown.
};

/**
 * Remembers calls by ticket. A record stays until its ticket's expiry and the
 * retention have passed, so a missing record proves that the call never ran.
 */
class OutcomeTable {
 public:
  OutcomeTable(EndpointId endpoint,
               Incarnation incarnation,
               OutcomeLimits limits)
      : endpoint(std::move(endpoint)),
        incarnation(incarnation),
        limits(limits),
        memory(std::make_shared<AnswerMemory>(limits.bytes)) {}

  /**
   * Finds a ticket's record or, if it may still start, makes one.
   * @param now Age of the incarnation.
   */
  TicketLookup Open(const std::string& text,
                    const Ticket& ticket,
                    std::chrono::milliseconds now);

  /**
   * Finds a ticket's record without making one that could run. A ticket not
   * seen before is closed for good, so that its late request cannot run.
   */
  TicketLookup Close(const std::string& text,
                     const Ticket& ticket,
                     std::chrono::milliseconds now);

  /**
   * Ends a ticket's call if it has not left for the engine, else asks it to
   * stop. One not seen before is closed as by Close().
   */
  TicketLookup Cancel(const std::string& text,
                      const Ticket& ticket,
                      std::chrono::milliseconds now);

  /** @return Number of records. */
  std::size_t Size() const;

  /** @return Bytes held by tickets and answers. */
  std::size_t Bytes() const { return this->memory->Held(); }

 private:
  struct Entry {
    std::shared_ptr<CallRecord> record;
    std::chrono::milliseconds forget_at{};
  };

  /** Looks up without making a record. @pre The mutex is held. */
  TicketLookup Find(const std::string& text,
                    const Ticket& ticket,
                    std::chrono::milliseconds now);

  /** Drops what is past its retention. @pre The mutex is held. */
  void Sweep(std::chrono::milliseconds now);

  /** Adds a record. @pre The mutex is held. @return Null if it is full. */
  std::shared_ptr<CallRecord> Add(const std::string& text,
                                  const Ticket& ticket,
                                  std::chrono::milliseconds now);

  /** @return True if a new call may be taken, with room for its answer. */
  bool HasRoom() const;

  EndpointId endpoint;
  Incarnation incarnation;
  OutcomeLimits limits;
  std::shared_ptr<AnswerMemory> memory;
  mutable OrderedMutex mutex{LockRank::kOutcomeTable};
  std::unordered_map<std::string, Entry> entries;
  std::chrono::milliseconds next_sweep{};
  /** Tickets issued up to here and not in the table may not start. */
  std::chrono::milliseconds closed_until{-1};
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_OUTCOME_TABLE_H_
