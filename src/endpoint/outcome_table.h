/** @file outcome_table.h Table of the calls of an endpoint process by ticket.
 */

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

/** Limits of the table. */
struct OutcomeLimits {
  std::size_t max_entries = 0;
  std::size_t max_bytes = 0;
  std::chrono::milliseconds retention{};  ///< After the ticket's expiry.
};

/** Result of looking up a ticket. */
enum class TicketStatus {
  kNew,      ///< Not seen before; the call may start.
  kKnown,    ///< The record holds its state.
  kNotRun,   ///< The call never ran and never will.
  kUnknown,  ///< The call may have run; there is no record.
};

struct TicketLookup {
  TicketStatus status = TicketStatus::kUnknown;
  std::string reason;                  ///< Name of a problem type.
  std::shared_ptr<CallRecord> record;  ///< For kNew and kKnown.
};

/**
 * Stores calls by ticket, so that a repeated request does not run twice. A
 * record stays until the retention after its ticket's expiry has passed; until
 * then, a missing record proves that the call never ran.
 */
class OutcomeTable {
 public:
  OutcomeTable(EndpointId endpoint,
               Incarnation incarnation,
               OutcomeLimits limits)
      : endpoint(std::move(endpoint)),
        incarnation(incarnation),
        limits(limits),
        memory(std::make_shared<AnswerMemoryBudget>(limits.max_bytes)) {}

  /**
   * Finds the record of a ticket. Creates one if the ticket is new and valid.
   * @param now Uptime of this incarnation.
   */
  TicketLookup FindOrCreate(const std::string& encoded_ticket,
                            const Ticket& ticket,
                            std::chrono::milliseconds now);

  /**
   * Finds the record of a ticket. A ticket not seen before is closed
   * permanently, so that a request with it that arrives later cannot run.
   */
  TicketLookup FindOrClose(const std::string& encoded_ticket,
                           const Ticket& ticket,
                           std::chrono::milliseconds now);

  /**
   * Cancels the call of a ticket; see CallRecord::Cancel(). A ticket not seen
   * before is closed as by FindOrClose().
   */
  TicketLookup Cancel(const std::string& encoded_ticket,
                      const Ticket& ticket,
                      std::chrono::milliseconds now);

  std::size_t Size() const;

  /** @return Bytes that tickets and answers take. */
  std::size_t Bytes() const { return this->memory->Reserved(); }

 private:
  struct Entry {
    std::shared_ptr<CallRecord> record;
    std::chrono::milliseconds expires_at{};
  };

  /** Looks up without creating a record. @pre The mutex is held. */
  TicketLookup Find(const std::string& encoded_ticket,
                    const Ticket& ticket,
                    std::chrono::milliseconds now);

  /** Removes ended calls past their retention, at most once per
   * kRemoveExpiredInterval. @pre The mutex is held. */
  void RemoveExpired(std::chrono::milliseconds now);

  /** Adds a record. @pre The mutex is held.
   * @return Null if the table is full. */
  std::shared_ptr<CallRecord> Add(const std::string& encoded_ticket,
                                  const Ticket& ticket,
                                  std::chrono::milliseconds now);

  /** @return True if there is a free entry and memory for an answer: a quarter
   *     of the budget is kept for answers of calls already in the table. */
  bool HasRoom() const;

  EndpointId endpoint;
  Incarnation incarnation;
  OutcomeLimits limits;
  std::shared_ptr<AnswerMemoryBudget> memory;
  mutable OrderedMutex mutex{LockRank::kOutcomeTable};
  std::unordered_map<std::string, Entry> entries;
  std::chrono::milliseconds next_removal{};
  /** Tickets issued up to this uptime and not in the table may not start: a
   * full table could not store that they were refused or closed. */
  std::chrono::milliseconds closed_until{-1};
};

}  // namespace buckthornpath

#endif  // SRC_ENDPOINT_OUTCOME_TABLE_H_
