/** @file organisation_queue.cc Start-time fair queueing among organisations. */

#include "decision/organisation_queue.h"

#include <algorithm>

namespace buckthornpath {

void OrganisationQueue::Add(const WaitingCall& call) {
  Flow& flow = this->flows[call.organisation];
  flow.weight = static_cast<double>(std::max<std::int64_t>(1, call.weight));
  if (flow.calls.empty()) {
    flow.start_tag = std::max(this->virtual_time, flow.finish_tag);
  }
  flow.calls.push_back(call);
  flow.cost += static_cast<double>(call.cost);
  this->cost += static_cast<double>(call.cost);
  ++this->size;
}

void OrganisationQueue::Remove(const WaitingCall& call) {
  const auto found = this->flows.find(call.organisation);
  if (found == this->flows.end())
    return;
  Flow& flow = found->second;
  const auto removed = std::erase_if(flow.calls, [&](const WaitingCall& other) {
    return other.handle == call.handle;
  });
  if (removed == 0)
    return;
  flow.cost -= static_cast<double>(call.cost);
  this->cost -= static_cast<double>(call.cost);
  --this->size;
  this->DropIdleFlows();
}

OrganisationQueue::FlowMap::const_iterator OrganisationQueue::FrontFlow()
    const {
  auto best = this->flows.end();
  for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
    if (flow->second.calls.empty())
      continue;
    if (best == this->flows.end() ||
        flow->second.start_tag < best->second.start_tag) {
      best = flow;
    }
  }
  return best;
}

const WaitingCall& OrganisationQueue::Front() const {
  return this->FrontFlow()->second.calls.front();
}

WaitingCall OrganisationQueue::Take() {
  Flow& flow = this->flows.at(this->FrontFlow()->first);
  WaitingCall taken = flow.calls.front();
  flow.calls.pop_front();
  const auto work = static_cast<double>(taken.cost);
  this->virtual_time = flow.start_tag;
  flow.finish_tag = flow.start_tag + work / flow.weight;
  flow.start_tag = flow.finish_tag;
  flow.cost -= work;
  this->cost -= work;
  --this->size;
  this->DropIdleFlows();
  return taken;
}

std::optional<CallHandle> OrganisationQueue::EvictionCandidate(
    const WaitingCall* arrival) const {
  const auto calls_per_weight = [&](const FlowMap::value_type& entry) {
    const bool is_own =
        arrival != nullptr && entry.first == arrival->organisation;
    return static_cast<double>(entry.second.calls.size() + (is_own ? 1 : 0)) /
           entry.second.weight;
  };
  const Flow* candidate = nullptr;
  double max_per_weight =
      arrival == nullptr
          ? 0.0
          : 1.0 /
                static_cast<double>(std::max<std::int64_t>(1, arrival->weight));
  for (const auto& entry : this->flows) {
    if (entry.second.calls.empty() || calls_per_weight(entry) <= max_per_weight)
      continue;
    max_per_weight = calls_per_weight(entry);
    candidate = &entry.second;
  }
  if (candidate == nullptr)
    return std::nullopt;
  if (arrival != nullptr &&
      candidate->calls.back().organisation == arrival->organisation) {
    return std::nullopt;
  }
  return candidate->calls.back().handle;
}

double OrganisationQueue::WorkAhead(const WaitingCall& arrival) const {
  const auto own = this->flows.find(arrival.organisation);
  const double own_backlog = own == this->flows.end() ? 0.0 : own->second.cost;
  const auto weight =
      static_cast<double>(std::max<std::int64_t>(1, arrival.weight));
  const double fair_share =
      (own_backlog + static_cast<double>(arrival.cost)) / weight;
  double total = own_backlog;
  for (const auto& [organisation, flow] : this->flows) {
    if (organisation != arrival.organisation)
      total += std::min(flow.cost, fair_share * flow.weight);
  }
  return total;
}

void OrganisationQueue::DropIdleFlows() {
  std::erase_if(this->flows, [&](const auto& entry) {
    return entry.second.calls.empty() &&
           entry.second.finish_tag <= this->virtual_time;
  });
}

}  // namespace buckthornpath
