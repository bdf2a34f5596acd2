/** @file versioned_fleet.cc A gateway and endpoints of several software
 * versions. */

#include "harness/versioned_fleet.h"

#include <cppunit/TestAssert.h>

#include <sstream>
#include <utility>

#include "harness/caller.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

VersionedAnswer ReadVersions(RawAnswer raw) {
  VersionedAnswer answer;
  answer.raw = std::move(raw);
  std::istringstream lines(answer.raw.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("id: "))
      answer.events.push_back(std::stoi(line.substr(4)));
    if (line.starts_with("data: "))
      answer.versions.insert(line.substr(6));
  }
  return answer;
}

std::string ChunkOf(const std::string& text) {
  std::ostringstream size;
  size << std::hex << text.size();
  return size.str() + "\r\n" + text + "\r\n";
}

GatewayPlan PlanOf(GatewayPlan plan, std::size_t engines) {
  plan.engines = engines;
  return plan;
}

}  // namespace

bool VersionedAnswer::HasEvents(int first, int last) const {
  std::vector<int> expected;
  for (int id = first; id <= last; ++id)
    expected.push_back(id);
  return this->events == expected;
}

bool VersionedAnswer::IsWhole(int first) const {
  return this->raw.status == 200 && this->IsComplete() &&
         this->HasEvents(first, kLastVersionedEvent) &&
         this->versions.size() == 1;
}

std::string StreamCall::Text() const {
  CallerText text;
  text.path = this->path;
  text.id = this->id;
  if (!this->last_event.empty())
    text.more_fields += "Last-Event-Id: " + this->last_event + "\r\n";
  if (!this->resumes.empty())
    text.more_fields += "Resumes: " + this->resumes + "\r\n";
  return TextOf(text);
}

StreamCall TakeUp(const std::string& id, const std::string& resumes) {
  return {.id = id,
          .path = "/talk/" + resumes,
          .last_event = "2",
          .resumes = resumes};
}

int VersionedCall::First() const {
  const std::string last = this->call.Field("Last-Event-Id");
  return last.empty() ? 1 : std::stoi(last) + 1;
}

std::string VersionedCall::EventText(int id) const {
  return ChunkOf("id: " + std::to_string(id) + "\ndata: " + this->version +
                 "\n\n");
}

void VersionedCall::CommentAndEvent(int id) const {
  constexpr std::size_t kCommentBytes = 5000;
  this->call.Send(ChunkOf(": " + std::string(kCommentBytes, 'c') + "\n\n") +
                  this->EventText(id));
}

void VersionedCall::Events(int first, int last) const {
  for (int id = first; id <= last; ++id)
    this->Event(id);
}

void VersionedCall::Serve() const {
  this->call.BeginEvents();
  this->Events(this->First(), kLastVersionedEvent);
  this->call.EndEvents();
}

void VersionedCall::ServeUntil(int last) const {
  if (this->First() <= last) {
    this->call.BeginEvents();
    this->Events(this->First(), last);
  }
  this->call.Close(false);
}

VersionedFleet::VersionedFleet(std::vector<std::string> engine_versions,
                               const GatewayPlan& base)
    : max_connections(base.max_connections),
      versions(std::move(engine_versions)),
      fleet(PlanOf(base, this->versions.size())) {
  this->SetScript([](const VersionedCall& call) { call.Serve(); });
  for (std::size_t i = 0; i < this->versions.size(); ++i)
    this->Publish(i, this->VersionOf(i));
  this->AwaitPublication();
}

void VersionedFleet::SetScript(const VersionedScript& script) {
  for (std::size_t i = 0; i < this->versions.size(); ++i) {
    this->fleet.Engine(i).SetScript([this, i, script](ScriptedCall& call) {
      script({call, i, this->VersionOf(i)});
    });
  }
}

void VersionedFleet::Publish(std::size_t engine,
                             const std::string& version,
                             const std::string& state) {
  const std::lock_guard lock(this->mutex);
  this->versions[engine] = version;
  nlohmann::json entry = this->fleet.EntryOf("engine", engine, state);
  entry["version"] = version;
  this->fleet.Store().Put("servers/engine-" + std::to_string(engine), entry);
}

void VersionedFleet::Remove(std::size_t engine) {
  this->fleet.Store().Remove("servers/engine-" + std::to_string(engine));
}

void VersionedFleet::Configure(milliseconds next_limit) {
  this->limit = next_limit;
  nlohmann::json next = StandardConfiguration(++this->configuration);
  for (nlohmann::json& route : next["routes"])
    route["timeoutMs"] = this->limit.count();
  for (nlohmann::json& service : next["services"])
    service["maxConns"] = this->max_connections;
  this->fleet.Store().Put("op/config", next);
  CPPUNIT_ASSERT(WaitUntil([&] {
    return LocalFleet::StatusOf(this->fleet.Operator(0))
               .value("configuration", std::uint64_t{0}) == this->configuration;
  }));
}

VersionedAnswer VersionedFleet::Call(const StreamCall& call) {
  const auto start = Clock::now();
  VersionedAnswer answer = ReadVersions(this->fleet.Call(0, call.Text()));
  answer.took = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
  return answer;
}

std::string VersionedFleet::BeginBrokenStream(const std::string& id) {
  this->SetScript([](const VersionedCall& call) { call.ServeUntil(2); });
  const VersionedAnswer answer = this->Call({.id = id, .path = "/talk/" + id});
  this->SetScript([](const VersionedCall& call) { call.Serve(); });
  CPPUNIT_ASSERT(!answer.IsComplete());
  CPPUNIT_ASSERT(answer.HasEvents(1, 2));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.versions.size());
  return *answer.versions.begin();
}

std::string VersionedFleet::VersionOf(std::size_t engine) {
  const std::lock_guard lock(this->mutex);
  return this->versions[engine];
}

std::size_t VersionedFleet::CountOf(const std::string& id) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < this->versions.size(); ++i)
    count += this->fleet.Engine(i).CountOf(id);
  return count;
}

std::size_t VersionedFleet::EngineOf(const std::string& id) {
  for (std::size_t i = 0; i < this->versions.size(); ++i) {
    if (this->fleet.Engine(i).CountOf(id) > 0)
      return i;
  }
  CPPUNIT_FAIL("no engine has received " + id);
  return 0;
}

void AssertWhole(const VersionedAnswer& answer, int first) {
  CPPUNIT_ASSERT_EQUAL(200U, answer.raw.status);
  CPPUNIT_ASSERT(answer.IsComplete());
  CPPUNIT_ASSERT(answer.HasEvents(first, kLastVersionedEvent));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.versions.size());
}

void AssertUnknown(VersionedFleet& engines, const StreamCall& call) {
  const VersionedAnswer answer = engines.Call(call);
  CPPUNIT_ASSERT_EQUAL(503U, answer.raw.status);
  CPPUNIT_ASSERT(answer.raw.body.find("version_unknown") != std::string::npos);
  CPPUNIT_ASSERT(answer.took < kAtOnce);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, engines.CountOf(call.id));
}

}  // namespace buckthornpath
