/** @file outcome_table.cc Every call that an endpoint process remembers. */

#include "endpoint/outcome_table.h"

#include <algorithm>

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kSweepInterval{1000};

}  // namespace

void OutcomeTable::Sweep(std::chrono::milliseconds now) {
  if (now < this->next_sweep)
    return;
  this->next_sweep = now + kSweepInterval;
  std::erase_if(this->entries, [&](const auto& item) {
    return item.second.forget_at <= now && item.second.record->HasEnded();
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

std::shared_ptr<CallRecord> OutcomeTable::Add(const std::string& text,
                                              const Ticket& ticket) {
  if (this->entries.size() >= this->limits.entries)
    return nullptr;
  auto record = std::make_shared<CallRecord>();
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
  lookup.record = this->Add(text, ticket);
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
  if (auto record = this->Add(text, ticket)) {
    CallRefused refusal;
    refusal.outcome = OutcomeName(Outcome::kNotRun);
    refusal.reason = "never_arrived";
    record->Refuse(std::move(refusal));
  } else {
    this->closed_until = std::max(this->closed_until, ticket.issued);
  }
  return {TicketAnswer::kNotRun, "never_arrived", nullptr};
}

std::size_t OutcomeTable::Size() const {
  const OrderedLock lock(this->mutex);
  return this->entries.size();
}

}  // namespace buckthornpath
