/** @file endpoint_board.cc Endpoint health, load and selection in a gateway. */

#include "buckthornpath/endpoint_board.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Slots of an endpoint that publishes no number. */
constexpr std::size_t kDefaultSlots = 16;

/** Time for which an engine is assumed to cache a prompt segment. */
constexpr std::chrono::seconds kPartMemory{60};

/** Maximum segments tracked per endpoint. Limits the memory of this process;
 * the cache of the engine may hold fewer or more. */
constexpr std::size_t kMostParts = 4096;

/** Initial and maximum back-off after a fault; consecutive connection failures
 * double it. */
constexpr milliseconds kFirstShun{300};
constexpr milliseconds kLongestShun{4000};

/** Time without response data after which an endpoint is suspect. */
constexpr milliseconds kSilence{1500};

/** Maximum age of a load report. */
constexpr milliseconds kStatedAge{1500};

/** Smoothing factor of the failure rate, per request. */
constexpr double kFailureWeight = 0.15;

/** Cost of one running request, in prompt tokens: it lengthens each decode
 * step, for every stream, by about a hundredth of the prefill time of 100
 * tokens. */
constexpr double kRunningCost = 150.0;

/** Cost of a different failure domain, in prompt tokens: about half a
 * millisecond of latency each way. */
constexpr double kOtherDomainCost = 100.0;

/** Cost of a failure rate of 1, in prompt tokens. */
constexpr double kFailureCost = 60000.0;

/** Cost of an endpoint that is warming up, in prompt tokens: the delay of a
 * long prompt at half the prefill speed. */
constexpr double kColdCost = 10000.0;

/** Cost of each token of a shared prefix that is not cached, in prompt tokens:
 * prefilling it again delays every stream of the endpoint and evicts other
 * segments. With this weight a chat's prompt of 700 tokens waits at its home
 * endpoint behind one prompt of 12,000 tokens, about 0.1 s, but not behind
 * two. */
constexpr double kReadAgainWeight = 25.0;

/** Fraction of that cost that is waived at a segment's home endpoint while the
 * segment is not known to be cached there. */
constexpr double kHomeCredit = 0.8;

/** @return The last segment that requests of one chat or document share, or
 * null. */
const PromptPart* SharedPart(std::span<const PromptPart> parts) {
  // The last segment is unique to the request.
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
  // Rendezvous hashing: all gateways compute the same home endpoint without
  // communication.
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
  // Endpoints within the load bound first, then lowest cost, then least
  // recently used.
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
