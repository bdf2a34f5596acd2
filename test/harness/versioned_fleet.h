/** @file versioned_fleet.h A gateway and endpoints of several software
 * versions. */

#ifndef TEST_HARNESS_VERSIONED_FLEET_H_
#define TEST_HARNESS_VERSIONED_FLEET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "harness/gateway_fleet.h"

namespace buckthornpath {

/** Id of the last event of each stream of a VersionedFleet. */
inline constexpr int kLastVersionedEvent = 6;

/** Limit of what is done at once; the wait for an endpoint may take 2 s. */
inline constexpr std::chrono::milliseconds kAtOnce{500};

/** An answer and what of a stream is in it. */
struct VersionedAnswer {
  RawAnswer raw;
  std::chrono::milliseconds took{};
  std::vector<int> events;
  std::set<std::string> versions;  ///< Of the endpoints that made them.

  bool IsComplete() const { return this->raw.body.ends_with("0\r\n\r\n"); }

  /** @return True if it has the events from one on, each once and in order. */
  bool HasEvents(int first, int last) const;

  /** @return True if it is complete, and has the events from one on, each once,
   * of one version. */
  bool IsWhole(int first) const;
};

/** What a caller asks for. */
struct StreamCall {
  std::string id;
  std::string path = "/talk/x";
  std::string last_event{};  ///< Empty: not stated.
  std::string resumes{};     ///< Empty: not stated.

  std::string Text() const;
};

/** @return The request that takes a stream up after its second event. */
StreamCall TakeUp(const std::string& id, const std::string& resumes);

/** A request at an endpoint of some version. */
struct VersionedCall {
  ScriptedCall& call;
  std::size_t engine;
  std::string version;

  /** @return The id of the first event that is asked for. */
  int First() const;

  void Event(int id) const { this->call.Send(this->EventText(id)); }

  /** Sends a long comment and an event at once. */
  void CommentAndEvent(int id) const;
  void Events(int first, int last) const;

  /** Sends all events that are asked for. */
  void Serve() const;

  /** Sends events up to one and breaks off; none are sent to a request that
   * has them. */
  void ServeUntil(int last) const;

 private:
  std::string EventText(int id) const;
};

using VersionedScript = std::function<void(const VersionedCall&)>;

/** A gateway and engines, each of a version. */
class VersionedFleet {
 public:
  explicit VersionedFleet(std::vector<std::string> engine_versions,
                          const GatewayPlan& base = {});

  /** Sets what all engines do; at first, they serve. */
  void SetScript(const VersionedScript& script);

  void Publish(std::size_t engine,
               const std::string& version,
               const std::string& state = "ready");
  void Remove(std::size_t engine);

  /** Waits until the gateway has applied all that was published before. */
  void AwaitPublication() { this->Configure(this->limit); }

  /** Publishes the standard configuration with another limit of all routes, and
   * waits until the gateway uses it. */
  void Configure(std::chrono::milliseconds next_limit);

  VersionedAnswer Call(const StreamCall& call);

  /** Begins a stream that breaks off for good after two events.
   * @return The version that began it. */
  std::string BeginBrokenStream(const std::string& id);

  std::string VersionOf(std::size_t engine);

  /** @return Times that the engines have received a request. */
  std::size_t CountOf(const std::string& id);

  /** @return The engine that has received a request. */
  std::size_t EngineOf(const std::string& id);

  GatewayFleet& Parts() { return this->fleet; }

 private:
  std::size_t max_connections;  ///< Of each engine.
  std::chrono::milliseconds limit{4000};
  std::mutex mutex;
  std::vector<std::string> versions;
  std::uint64_t configuration = 1;
  GatewayFleet fleet;
};

/** Fails the test unless a stream is whole. */
void AssertWhole(const VersionedAnswer& answer, int first);

/** Fails the test unless a request is refused at once, as its version is not
 * known, and reaches no engine. */
void AssertUnknown(VersionedFleet& engines, const StreamCall& call);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_VERSIONED_FLEET_H_
