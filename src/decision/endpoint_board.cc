/** @file endpoint_board.cc Choice of the endpoint for one request. */

#include "buckthornpath/endpoint_board.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Slots of an endpoint that states none. */
constexpr std::size_t kDefaultSlots = 16;

/** Time that an engine is believed to keep a part it has read. */
constexpr std::chrono::seconds kPartMemory{60};

/** Parts remembered of one endpoint; bounds memory, not cached tokens. */
constexpr std::size_t kMostParts = 4096;

/** First time of avoidance after a fault, and the longest. */
constexpr milliseconds kFirstShun{300};
constexpr milliseconds kLongestShun{4000};

/** Silence to a request after which an endpoint is in doubt. */
constexpr milliseconds kSilence{1500};

/** Age above which a stated load counts no longer. */
constexpr milliseconds kStatedAge{1500};

/** Weight of one request in the moving mean of failures. */
constexpr double kFailureWeight = 0.15;

/** Cost of one running request, in prompt tokens: a step lengthens by about
 * a hundredth of the time in which 100 tokens are read, for every stream. */
constexpr double kRunningCost = 150.0;

/** Cost of another failure domain, in prompt tokens: about half a
 * millisecond each way. */
constexpr double kOtherDomainCost = 100.0;

/** Cost of an endpoint all of whose requests fail, in prompt tokens. */
constexpr double kFailureCost = 60000.0;

/** Cost of an endpoint that is still slow after its start, in prompt tokens:
 * what a long prompt loses at half the speed of reading. */
constexpr double kColdCost = 10000.0;

/** Cost of reading a shared part again, in its tokens: it delays every stream
 * of the endpoint and displaces other parts. With it a chat's prompt of 700
 * tokens waits at its home behind one prompt of 12,000, about a tenth of a
 * second, and not behind two. */
constexpr double kReadAgainWeight = 25.0;

/** Part of that cost that is saved at a part's home while no reading of it is
 * known there. */
constexpr double kHomeCredit = 0.8;

/** @return The part that requests of one chat or document share. */
const PromptPart* SharedPart(std::span<const PromptPart> parts) {
  // The last part belongs to the request itself.
  return parts.size() < 2 ? nullptr : &parts[parts.size() - 2];
}

std::uint64_t HomeScore(std::uint64_t part, const EndpointId& id) {
  return XXH3_64bits_withSeed(id.str().data(), id.str().size(), part);
}

std::size_t SlotsOf(const EndpointBelief& endpoint) {
  const std::size_t slots = endpoint.Entry().slots;
  return slots > 0 ? slots : kDefaultSlots;
}

}  // namespace

std::int64_t EndpointBelief::Running() const {
  return this->own + this->peers;
}

void EndpointBoard::Publish(const EndpointEntry& entry) {
  EndpointHandle& endpoint = this->endpoints[entry.id];
  if (endpoint && endpoint->entry.service == entry.service &&
      endpoint->entry.address == entry.address) {
    endpoint->entry = entry;
    return;
  }
  if (endpoint)
    this->Unlist(endpoint);
  endpoint = std::make_shared<EndpointBelief>(entry);
  this->services[entry.service].push_back(endpoint);
}

void EndpointBoard::Withdraw(const EndpointId& id) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end())
    return;
  this->Unlist(found->second);
  this->endpoints.erase(found);
}

void EndpointBoard::Unlist(const EndpointHandle& endpoint) {
  endpoint->gone = true;
  std::erase(this->services[endpoint->entry.service], endpoint);
}

EndpointHandle EndpointBoard::Find(const EndpointId& id) const {
  const auto found = this->endpoints.find(id);
  return found == this->endpoints.end() ? nullptr : found->second;
}

const std::vector<EndpointHandle>& EndpointBoard::InService(
    const ServiceName& name) const {
  static const std::vector<EndpointHandle> kNone;
  const auto found = this->services.find(name);
  return found == this->services.end() ? kNone : found->second;
}

bool EndpointBoard::HasUsable(const ServiceName& service) const {
  const auto& all = this->InService(service);
  return std::any_of(all.begin(), all.end(), [](const auto& endpoint) {
    return !endpoint->entry.leaving;
  });
}

bool EndpointBoard::MayUse(const EndpointBelief& endpoint,
                           const EndpointQuery& query) const {
  if (endpoint.entry.leaving)
    return false;
  if (std::find(query.excluded.begin(), query.excluded.end(),
                endpoint.entry.id) != query.excluded.end()) {
    return false;
  }
  const auto slots = static_cast<double>(SlotsOf(endpoint));
  const double most =
      query.priority == 0 ? slots : slots * (1 - this->limits.urgent_reserve);
  return static_cast<double>(endpoint.Running()) + 1 <= std::max(most, 1.0);
}

bool EndpointBoard::IsDoubtful(const EndpointBelief& endpoint,
                               TimePoint now) const {
  if (now < endpoint.shunned_until)
    return true;
  const bool is_silent = endpoint.own > 0 &&
                         endpoint.asked_at > endpoint.heard_at &&
                         now - endpoint.asked_at > kSilence &&
                         now - endpoint.sent_at < kLongestShun;
  return is_silent && endpoint.heard_at != TimePoint{};
}

double EndpointBoard::MeanRunning(const ServiceName& service) const {
  double total = 0;
  double count = 0;
  for (const EndpointHandle& endpoint : this->InService(service)) {
    if (endpoint->entry.leaving)
      continue;
    total += static_cast<double>(endpoint->Running());
    ++count;
  }
  return count > 0 ? total / count : 0;
}

double EndpointBoard::TakenShare(const ServiceName& service) const {
  double taken = 0;
  double slots = 0;
  for (const EndpointHandle& endpoint : this->InService(service)) {
    if (endpoint->entry.leaving)
      continue;
    taken += static_cast<double>(endpoint->Running());
    slots += static_cast<double>(SlotsOf(*endpoint));
  }
  return slots > 0 ? taken / slots : 1.0;
}

double EndpointBoard::Cost(const EndpointBelief& endpoint,
                           const EndpointQuery& query,
                           bool is_home,
                           TimePoint now) const {
  double cost = static_cast<double>(endpoint.UnreadTokens());
  const auto running = static_cast<double>(
      now - endpoint.stated_at < kStatedAge
          ? std::max(endpoint.Running(),
                     endpoint.stated + endpoint.own - endpoint.own_at_stated)
          : endpoint.Running());
  cost += kRunningCost * running;
  if (endpoint.entry.failure_domain != this->own_domain)
    cost += kOtherDomainCost;
  cost += kFailureCost * endpoint.failure_share;
  if (endpoint.entry.cold_remaining > milliseconds(0))
    cost += kColdCost;
  const PromptPart* shared = SharedPart(query.parts);
  if (shared == nullptr)
    return cost;
  double shared_tokens = 0;
  for (const PromptPart& part : query.parts.first(query.parts.size() - 1))
    shared_tokens += part.tokens;
  const auto read = endpoint.parts_read.find(shared->id);
  if (read != endpoint.parts_read.end() && now - read->second < kPartMemory)
    return cost;
  const double credit = is_home ? kHomeCredit : 0.0;
  return cost + (1 - credit) * kReadAgainWeight * shared_tokens;
}

EndpointHandle EndpointBoard::ChooseFrom(
    const std::vector<EndpointHandle>& usable,
    const EndpointQuery& query,
    TimePoint now) const {
  const double bound =
      this->limits.mean_multiple * this->MeanRunning(query.service) +
      this->limits.mean_slack;
  const PromptPart* shared = SharedPart(query.parts);
  // All gateways agree on the home, so none needs to tell the others.
  const EndpointHandle* home = nullptr;
  std::uint64_t best_score = 0;
  for (const EndpointHandle& endpoint : usable) {
    if (shared == nullptr)
      break;
    const std::uint64_t score = HomeScore(shared->id, endpoint->entry.id);
    if (home == nullptr || score > best_score) {
      home = &endpoint;
      best_score = score;
    }
  }
  // Within the bound first, then by cost, then the one used least recently.
  const auto key = [&](const EndpointHandle& endpoint) {
    return std::make_tuple(static_cast<double>(endpoint->Running()) + 1 > bound,
                           this->Cost(*endpoint, query, &endpoint == home, now),
                           endpoint->sent_at);
  };
  const EndpointHandle* best = nullptr;
  decltype(key(usable.front())) best_key;
  for (const EndpointHandle& endpoint : usable) {
    const auto own_key = key(endpoint);
    if (best == nullptr || own_key < best_key) {
      best = &endpoint;
      best_key = own_key;
    }
  }
  return best == nullptr ? nullptr : *best;
}

std::int64_t EndpointBoard::NoteStart(EndpointBelief& endpoint,
                                      std::span<const PromptPart> parts,
                                      TimePoint now) {
  if (endpoint.own == 0 || endpoint.asked_at <= endpoint.heard_at)
    endpoint.asked_at = now;
  ++endpoint.own;
  endpoint.sent_at = now;
  std::int64_t unread = 0;
  const PromptPart* shared = SharedPart(parts);
  if (endpoint.parts_read.size() > kMostParts)
    endpoint.parts_read.clear();
  bool is_cached = true;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    auto [read, added] = endpoint.parts_read.try_emplace(parts[i].id, now);
    const bool is_new = added || now - read->second >= kPartMemory;
    is_cached = is_cached && !is_new;
    if (is_new && &parts[i] == shared)
      this->new_parts.push_back({endpoint.entry.id, shared->id});
    if (!is_cached)
      unread += parts[i].tokens;
    read->second = now;
  }
  endpoint.own_unread += unread;
  return unread;
}

void EndpointBoard::NotePart(const PartPlace& place, TimePoint now) {
  const auto found = this->endpoints.find(place.endpoint);
  if (found == this->endpoints.end())
    return;
  auto& parts = found->second->parts_read;
  if (parts.size() > kMostParts)
    parts.clear();
  parts[place.part] = now;
}

std::vector<PartPlace> EndpointBoard::TakeNewParts() {
  return std::exchange(this->new_parts, {});
}

void EndpointBoard::NoteUnreadEnd(EndpointBelief& endpoint,
                                  std::int64_t tokens) {
  endpoint.own_unread -= tokens;
}

void EndpointBoard::NoteHeard(EndpointBelief& endpoint, TimePoint now) {
  endpoint.heard_at = now;
}

void EndpointBoard::NoteMisdirected(EndpointBelief& endpoint, TimePoint now) {
  endpoint.shun_time = kLongestShun;
  endpoint.shunned_until = now + kLongestShun;
}

void EndpointBoard::NoteEnd(EndpointBelief& endpoint) {
  --endpoint.own;
}

void EndpointBoard::NoteVerdict(EndpointBelief& endpoint,
                                EndpointVerdict verdict,
                                TimePoint now) {
  const bool failed =
      verdict != EndpointVerdict::kServed && verdict != EndpointVerdict::kFull;
  endpoint.failure_share +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - endpoint.failure_share);
  if (verdict == EndpointVerdict::kUnreachable) {
    endpoint.shun_time =
        std::clamp(endpoint.shun_time * 2, kFirstShun, kLongestShun);
    endpoint.shunned_until = now + endpoint.shun_time;
    return;
  }
  if (verdict != EndpointVerdict::kBroken)
    endpoint.heard_at = now;
  if (verdict == EndpointVerdict::kServed)
    endpoint.shun_time = milliseconds(0);
}

void EndpointBoard::NoteStated(EndpointBelief& endpoint,
                               StatedLoad load,
                               TimePoint now) {
  endpoint.stated = load.running + load.waiting;
  endpoint.own_at_stated = endpoint.own;
  endpoint.stated_at = now;
}

void EndpointBoard::NotePeers(const EndpointId& id,
                              std::int64_t requests,
                              std::int64_t unread_tokens) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end())
    return;
  found->second->peers = requests;
  found->second->peer_unread = unread_tokens;
}

}  // namespace buckthornpath
