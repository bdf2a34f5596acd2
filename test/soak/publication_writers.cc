/** @file publication_writers.cc The operator and the endpoints of a soak. */

#include "soak/publication_writers.h"

#include <algorithm>
#include <array>
#include <thread>

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::array<const char*, 2> kServices = {"ledger", "archive"};

/** Interval of the operator's changes. */
constexpr milliseconds kMinChange{300};
constexpr milliseconds kMaxChange{2500};

/** Time within which all is written again after the store has come back, and an
 * entry that nobody writes expires. */
constexpr milliseconds kMinWriteAgain{100};
constexpr milliseconds kMaxWriteAgain{1000};
constexpr milliseconds kMaxExpiry{1500};

json RouteOf(const json& sample,
             std::size_t index,
             const std::string& service) {
  json route = sample;
  route["name"] = "published-" + std::to_string(index);
  route["prefix"] = PublishedRoute(index);
  route["service"] = service;
  route["kind"] = index % 2 == 0 ? "idempotent" : "non_idempotent";
  return route;
}

}  // namespace

std::string PublishedRoute(std::size_t index) {
  return "/p" + std::to_string(index) + "/";
}

std::uint64_t PublicationOperator::Begin() {
  for (std::size_t i = 0; i < kPublishedRoutes; i += 2)
    this->routes[PublishedRoute(i)] = kServices.at(i / 2 % kServices.size());
  ++this->version;
  this->Write();
  return this->version;
}

void PublicationOperator::Write() {
  json configuration = StandardConfiguration(this->version);
  const json sample = configuration["routes"].back();
  configuration["services"].push_back({{"name", "archive"}, {"maxConns", 100}});
  for (std::size_t i = 0; i < kPublishedRoutes; ++i) {
    const auto route = this->routes.find(PublishedRoute(i));
    if (route != this->routes.end())
      configuration["routes"].push_back(RouteOf(sample, i, route->second));
  }
  const auto begun_at = Clock::now();
  this->fleet.Store().Put("op/config", configuration);
  this->history.RecordVersion(this->version, this->routes, begun_at,
                              Clock::now());
  this->timeline.Add("version " + std::to_string(this->version) + " " +
                     json(this->routes).dump());
}

void PublicationOperator::Change() {
  const std::string prefix =
      PublishedRoute(this->agenda.Below(kPublishedRoutes));
  const auto route = this->routes.find(prefix);
  if (route == this->routes.end())
    this->routes[prefix] = kServices.at(this->agenda.Below(kServices.size()));
  else if (this->agenda.OneIn(2))
    this->routes.erase(route);
  else
    route->second = route->second == kServices[0] ? kServices[1] : kServices[0];
  this->version += static_cast<std::uint64_t>(this->agenda.Between(1, 3));
  this->Write();
  this->agenda.Within(kMinChange, kMaxChange, [this] { this->Change(); });
}

PublicationEndpoints::PublicationEndpoints(GatewayFleet& fleet,
                                           PublicationHistory& history,
                                           Agenda& agenda,
                                           SoakTimeline& timeline,
                                           std::size_t count)
    : fleet(fleet), history(history), agenda(agenda), timeline(timeline) {
  this->endpoints.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    this->endpoints.push_back(std::make_unique<Endpoint>());
    this->endpoints.back()->service = kServices.at(i % kServices.size());
  }
}

std::string PublicationEndpoints::NameOf(std::size_t index) const {
  return "ledger-" + std::to_string(index) + "/" +
         std::to_string(this->endpoints[index]->process);
}

EndpointScript PublicationEndpoints::ScriptOf(std::size_t index) {
  return [this, index](ScriptedCall& call) {
    const Endpoint& endpoint = *this->endpoints[index];
    const std::string id = call.Id();
    if (id.starts_with(kPublicationPrefix)) {
      this->history.RecordArrival(id, this->NameOf(index), endpoint.service,
                                  Clock::now());
    }
    // Mostly short, some longer; the same for each try of a request.
    constexpr std::size_t kLongOneIn = 16;
    const std::size_t draw = std::hash<std::string>()(id);
    std::this_thread::sleep_for(
        milliseconds(draw % kLongOneIn == 0 ? 100 + draw % 200 : draw % 20));
    call.Answer(200, "answer to " + id);
  };
}

void PublicationEndpoints::Begin() {
  for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
    this->fleet.Ledger(i).SetScript(this->ScriptOf(i));
    this->StartProcess(i);
  }
}

void PublicationEndpoints::Live() {
  for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
    this->agenda.Within(milliseconds(500), milliseconds(8000),
                        [this, i] { this->Leave(i); });
    this->agenda.Within(milliseconds(100), milliseconds(1000),
                        [this, i] { this->BeatHeart(i); });
  }
}

void PublicationEndpoints::StartProcess(std::size_t index) {
  Endpoint& endpoint = *this->endpoints[index];
  endpoint.state = State::kReady;
  endpoint.sequence = 0;
  endpoint.born_ms = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
  this->WriteEntry(index);
}

void PublicationEndpoints::WriteEntry(std::size_t index) {
  Endpoint& endpoint = *this->endpoints[index];
  const bool is_draining = endpoint.state == State::kDraining;
  json entry =
      this->fleet.EntryOf("ledger", index, is_draining ? "draining" : "ready");
  entry["service"] = endpoint.service;
  entry["born"] = endpoint.born_ms;
  entry["sequence"] = ++endpoint.sequence;
  entry["slots"] = endpoint.slots;
  this->fleet.Store().Put("servers/ledger-" + std::to_string(index), entry);
  if (is_draining)
    this->history.RecordLeaving(this->NameOf(index), Clock::now());
  this->timeline.Add(this->NameOf(index) + " writes " +
                     entry["state"].get<std::string>() + ", sequence " +
                     std::to_string(endpoint.sequence));
}

void PublicationEndpoints::RemoveEntry(std::size_t index) {
  this->fleet.Store().Remove("servers/ledger-" + std::to_string(index));
  this->history.RecordLeaving(this->NameOf(index), Clock::now());
  this->timeline.Add(this->NameOf(index) + " is removed");
}

bool PublicationEndpoints::MayLeave(std::size_t index) const {
  const Endpoint& leaving = *this->endpoints[index];
  return std::any_of(
      this->endpoints.begin(), this->endpoints.end(), [&](const auto& other) {
        return other.get() != &leaving && other->service == leaving.service &&
               other->state == State::kReady;
      });
}

void PublicationEndpoints::Leave(std::size_t index) {
  if (!this->MayLeave(index)) {
    this->agenda.After(milliseconds(500),
                       [this, index] { this->Leave(index); });
    return;
  }
  Endpoint& endpoint = *this->endpoints[index];
  const auto remove = [this, index] {
    this->endpoints[index]->state = State::kRemoved;
    this->RemoveEntry(index);
  };
  if (this->agenda.OneIn(3)) {
    remove();
    this->agenda.Within(milliseconds(2200), milliseconds(9000),
                        [this, index] { this->Exit(index); });
    return;
  }
  endpoint.state = State::kDraining;
  this->WriteEntry(index);
  const milliseconds until_removal(this->agenda.Between(2200, 7000));
  this->agenda.After(until_removal, remove);
  this->agenda.Within(until_removal + milliseconds(10),
                      until_removal + milliseconds(3000),
                      [this, index] { this->Exit(index); });
}

void PublicationEndpoints::Exit(std::size_t index) {
  this->endpoints[index]->state = State::kExited;
  this->history.RecordExit(this->NameOf(index), Clock::now());
  this->fleet.Ledger(index).Crash();
  this->timeline.Add(this->NameOf(index) + " exits");
  this->agenda.Within(milliseconds(200), milliseconds(2000), [this, index] {
    ++this->endpoints[index]->process;
    this->fleet.Ledger(index).Recover();
    this->StartProcess(index);
    this->agenda.Within(milliseconds(500), milliseconds(8000),
                        [this, index] { this->Leave(index); });
  });
}

void PublicationEndpoints::BeatHeart(std::size_t index) {
  constexpr std::size_t kSlots = 8;
  Endpoint& endpoint = *this->endpoints[index];
  if (endpoint.state == State::kReady || endpoint.state == State::kDraining) {
    endpoint.slots = kSlots + this->agenda.Below(3);
    this->WriteEntry(index);
  }
  this->agenda.Within(milliseconds(200), milliseconds(2000),
                      [this, index] { this->BeatHeart(index); });
}

void PublicationEndpoints::WriteAgain() {
  for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
    const Endpoint& endpoint = *this->endpoints[i];
    if (endpoint.state == State::kReady || endpoint.state == State::kDraining) {
      this->agenda.Within(kMinWriteAgain, kMaxWriteAgain, [this, i] {
        const State state = this->endpoints[i]->state;
        if (state == State::kReady || state == State::kDraining)
          this->WriteEntry(i);
      });
      continue;
    }
    this->agenda.Within(
        kMinWriteAgain, kMaxExpiry,
        [this, i, process = endpoint.process.load()] {
          const Endpoint& present = *this->endpoints[i];
          const bool is_the_same = present.process == process;
          const auto items = this->fleet.Store().TakeCopy().items;
          if (is_the_same &&
              items.contains("servers/ledger-" + std::to_string(i)))
            this->RemoveEntry(i);
        });
  }
}

}  // namespace buckthornpath
