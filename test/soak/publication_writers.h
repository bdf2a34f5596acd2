/** @file publication_writers.h The operator and the endpoints of a soak. */

#ifndef TEST_SOAK_PUBLICATION_WRITERS_H_
#define TEST_SOAK_PUBLICATION_WRITERS_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "harness/gateway_fleet.h"
#include "soak/agenda.h"
#include "soak/publication_history.h"
#include "soak/soak_timeline.h"

namespace buckthornpath {

/** Prefixes of the routes that the operator adds and drops, and the services
 * that they lead to. */
inline constexpr std::size_t kPublishedRoutes = 6;
std::string PublishedRoute(std::size_t index);

/** Prefix of the ids of the callers' requests. */
inline constexpr const char* kPublicationPrefix = "pub-";

/** Writes versions of the configuration. */
class PublicationOperator {
 public:
  PublicationOperator(GatewayFleet& fleet,
                      PublicationHistory& history,
                      Agenda& agenda,
                      SoakTimeline& timeline)
      : fleet(fleet), history(history), agenda(agenda), timeline(timeline) {}

  /** Writes the first version of the run. @return Its number. */
  std::uint64_t Begin();

  /** Adds, drops or moves a route, and goes on with that. */
  void Change();

  /** Writes the newest version. */
  void Write();

 private:
  GatewayFleet& fleet;
  PublicationHistory& history;
  Agenda& agenda;
  SoakTimeline& timeline;
  std::uint64_t version = 1;
  PublicationHistory::Routes routes;
};

/** Endpoints of two services that write their entries, leave and start again.
 */
class PublicationEndpoints {
 public:
  PublicationEndpoints(GatewayFleet& fleet,
                       PublicationHistory& history,
                       Agenda& agenda,
                       SoakTimeline& timeline,
                       std::size_t count);

  /** Sets the scripts and writes the first entries. */
  void Begin();

  /** Lets the endpoints live on. */
  void Live();

  /** Each writes its entry again, or its entry expires, after the store has
   * come back. */
  void WriteAgain();

 private:
  enum class State { kReady, kDraining, kRemoved, kExited };
  struct Endpoint {
    std::string service;
    State state = State::kReady;
    std::atomic<std::uint64_t> process = 1;
    std::int64_t born_ms = 0;
    std::int64_t sequence = 0;
    std::size_t slots = 8;
  };

  std::string NameOf(std::size_t index) const;
  void StartProcess(std::size_t index);
  void WriteEntry(std::size_t index);
  void RemoveEntry(std::size_t index);
  bool MayLeave(std::size_t index) const;
  void Leave(std::size_t index);
  void Exit(std::size_t index);
  void BeatHeart(std::size_t index);
  EndpointScript ScriptOf(std::size_t index);

  GatewayFleet& fleet;
  PublicationHistory& history;
  Agenda& agenda;
  SoakTimeline& timeline;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
};

}  // namespace buckthornpath

#endif  // TEST_SOAK_PUBLICATION_WRITERS_H_
