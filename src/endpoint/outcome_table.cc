/** @file outcome_table.cc Table of the calls of an endpoint process by ticket.
 */

#include "endpoint/outcome_table.h"

#include <algorithm>

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kSweepInterval{1000};

/** Memory that an entry takes in addition to its ticket and answer. */
constexpr std::size_t kEntryOverheadBytes = 1024;

std::size_t EntryBytes(const std::string& text) {
  return text.size() + kEntryOverheadBytes;
}

}  // namespace

void OutcomeTable::Sweep(std::chrono::milliseconds now) {
  if (now < this->next_sweep)
    return;
  this->next_sweep = now + kSweepInterval;
  std::erase_if(this->entries, [&](const auto& item) {
    const bool old =
        item.second.forget_at <= now && item.second.record->HasEnded();
    if (old)
      this->memory->Give(EntryBytes(item.first));
    return old;
  });
}

TicketLookup OutcomeTable::Find(const std::string& text,
                                const Ticket& ticket,
                                std::chrono::milliseconds now) {
  this->Sweep(now);
  if (ticket.endpoint != this->endpoint ||
      ticket.incarnation != this->incarnation) {
    return {TicketAnswer::kUnknown, "endpoint_restarted", nullptr};
  }
  const auto found = this->entries.find(text);
  if (found != this->entries.end()) {
    return {TicketAnswer::kKnown, "", found->second.record};
  }
  if (now >= ticket.expiry + this->limits.retention) {
    return {TicketAnswer::kUnknown, "ticket_forgotten", nullptr};
  }
  if (now >= ticket.expiry) {
    return {TicketAnswer::kNotRun, "ticket_expired", nullptr};
  }
  if (ticket.issued <= this->closed_until) {
    return {TicketAnswer::kNotRun, "ticket_closed", nullptr};
  }
  return {TicketAnswer::kNew, "", nullptr};
}

bool OutcomeTable::HasRoom() const {
  return this->entries.size() < this->limits.entries &&
         this->memory->Held() < this->limits.bytes / 4 * 3;
}

std::shared_ptr<CallRecord> OutcomeTable::Add(const std::string& text,
                                              const Ticket& ticket,
                                              std::chrono::milliseconds now) {
  if (!this->HasRoom() || !this->memory->TryTake(EntryBytes(text)))
    return nullptr;
  const auto start_by = BootClock::now() + (ticket.expiry - now);
  auto record = std::make_shared<CallRecord>(start_by, this->memory);
  this->entries[text] = {record, ticket.expiry + this->limits.retention};
  return record;
}

TicketLookup OutcomeTable::Open(const std::string& text,
                                const Ticket& ticket,
                                std::chrono::milliseconds now) {
  const OrderedLock lock(this->mutex);
  TicketLookup lookup = this->Find(text, ticket, now);
  if (lookup.answer != TicketAnswer::kNew)
    return lookup;
  lookup.record = this->Add(text, ticket, now);
  if (lookup.record)
    return lookup;
  this->closed_until = std::max(this->closed_until, ticket.issued);
  return {TicketAnswer::kNotRun, "outcome_table_full", nullptr};
}

TicketLookup OutcomeTable::Close(const std::string& text,
                                 const Ticket& ticket,
                                 std::chrono::milliseconds now) {
  const OrderedLock lock(this->mutex);
  TicketLookup lookup = this->Find(text, ticket, now);
  if (lookup.answer != TicketAnswer::kNew)
    return lookup;
  if (auto record = this->Add(text, ticket, now)) {
    CallRefused refusal;
    refusal.outcome = OutcomeName(Outcome::kNotRun);
    refusal.reason = "never_arrived";
    record->Refuse(std::move(refusal));
  } else {
    this->closed_until = std::max(this->closed_until, ticket.issued);
  }
  return {TicketAnswer::kNotRun, "never_arrived", nullptr};
}

TicketLookup OutcomeTable::Cancel(const std::string& text,
                                  const Ticket& ticket,
                                  std::chrono::milliseconds now) {
  TicketLookup lookup = this->Close(text, ticket, now);
  if (lookup.record)
    lookup.record->Cancel();
  return lookup;
}

std::size_t OutcomeTable::Size() const {
  const OrderedLock lock(this->mutex);
  return this->entries.size();
}

}  // namespace buckthornpath
