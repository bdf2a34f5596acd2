/** @file outcome_table.cc Table of the calls of an endpoint process by ticket.
 */

#include "endpoint/outcome_table.h"

#include <algorithm>

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kRemoveExpiredInterval{1000};

/** Memory that an entry takes in addition to its ticket and answer. */
constexpr std::size_t kEntryOverheadBytes = 1024;

std::size_t EntryBytes(const std::string& encoded_ticket) {
  return encoded_ticket.size() + kEntryOverheadBytes;
}

}  // namespace

void OutcomeTable::RemoveExpired(std::chrono::milliseconds now) {
  if (now < this->next_removal)
    return;
  this->next_removal = now + kRemoveExpiredInterval;
  std::erase_if(this->entries, [&](const auto& item) {
    const bool is_expired =
        item.second.expires_at <= now && item.second.record->HasEnded();
    if (is_expired)
      this->memory->Release(EntryBytes(item.first));
    return is_expired;
  });
}

TicketLookup OutcomeTable::Find(const std::string& encoded_ticket,
                                const Ticket& ticket,
                                std::chrono::milliseconds now) {
  this->RemoveExpired(now);
  if (ticket.endpoint != this->endpoint ||
      ticket.incarnation != this->incarnation) {
    return {TicketStatus::kUnknown, "endpoint_restarted", nullptr};
  }
  const auto found = this->entries.find(encoded_ticket);
  if (found != this->entries.end()) {
    return {TicketStatus::kKnown, "", found->second.record};
  }
  if (now >= ticket.expiry + this->limits.retention) {
    return {TicketStatus::kUnknown, "ticket_forgotten", nullptr};
  }
  if (now >= ticket.expiry) {
    return {TicketStatus::kNotRun, "ticket_expired", nullptr};
  }
  if (ticket.issued <= this->closed_until) {
    return {TicketStatus::kNotRun, "ticket_closed", nullptr};
  }
  return {TicketStatus::kNew, "", nullptr};
}

bool OutcomeTable::HasRoom() const {
  return this->entries.size() < this->limits.max_entries &&
         this->memory->Reserved() < this->limits.max_bytes / 4 * 3;
}

std::shared_ptr<CallRecord> OutcomeTable::Add(const std::string& encoded_ticket,
                                              const Ticket& ticket,
                                              std::chrono::milliseconds now) {
  if (!this->HasRoom() || !this->memory->TryReserve(EntryBytes(encoded_ticket)))
    return nullptr;
  const auto start_deadline = BootClock::now() + (ticket.expiry - now);
  auto record = std::make_shared<CallRecord>(start_deadline, this->memory);
  this->entries[encoded_ticket] = {record,
                                   ticket.expiry + this->limits.retention};
  return record;
}

TicketLookup OutcomeTable::FindOrCreate(const std::string& encoded_ticket,
                                        const Ticket& ticket,
                                        std::chrono::milliseconds now) {
  const OrderedLock lock(this->mutex);
  TicketLookup lookup = this->Find(encoded_ticket, ticket, now);
  if (lookup.status != TicketStatus::kNew)
    return lookup;
  lookup.record = this->Add(encoded_ticket, ticket, now);
  if (lookup.record)
    return lookup;
  this->closed_until = std::max(this->closed_until, ticket.issued);
  return {TicketStatus::kNotRun, "outcome_table_full", nullptr};
}

TicketLookup OutcomeTable::FindOrClose(const std::string& encoded_ticket,
                                       const Ticket& ticket,
                                       std::chrono::milliseconds now) {
  const OrderedLock lock(this->mutex);
  TicketLookup lookup = this->Find(encoded_ticket, ticket, now);
  if (lookup.status != TicketStatus::kNew)
    return lookup;
  if (auto record = this->Add(encoded_ticket, ticket, now)) {
    CallRefused refusal;
    refusal.outcome = OutcomeName(Outcome::kNotRun);
    refusal.reason = "never_arrived";
    record->Refuse(std::move(refusal));
  } else {
    this->closed_until = std::max(this->closed_until, ticket.issued);
  }
  return {TicketStatus::kNotRun, "never_arrived", nullptr};
}

TicketLookup OutcomeTable::Cancel(const std::string& encoded_ticket,
                                  const Ticket& ticket,
                                  std::chrono::milliseconds now) {
  TicketLookup lookup = this->FindOrClose(encoded_ticket, ticket, now);
  if (lookup.record)
    lookup.record->Cancel();
  return lookup;
}

std::size_t OutcomeTable::Size() const {
  const OrderedLock lock(this->mutex);
  return this->entries.size();
}

}  // namespace buckthornpath
