/** @file stream_fleet.h Gateways whose streams are begun by endpoints of two
 * software versions. */

#ifndef TEST_HARNESS_STREAM_FLEET_H_
#define TEST_HARNESS_STREAM_FLEET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"

namespace buckthornpath {

/** Streams that a StreamFleet begins, and its engines. */
inline constexpr std::size_t kStreams = 6;
inline constexpr std::size_t kManyStreams = 200;
inline constexpr std::size_t kEngines = 2;

/** Gateways, and one engine of each of two software versions. An engine sends
 * one event of a stream that begins, and all others of one that is taken up. */
class StreamFleet {
 public:
  StreamFleet(std::size_t gateways, std::vector<std::string> domains);

  /** Begins streams at a gateway and keeps their connections open. */
  void Begin(std::size_t gateway, std::size_t streams = kStreams);

  /** Kills a gateway once others have been told of its streams. */
  void KillAfterAnnouncement(std::size_t gateway);

  void CloseCallers() { this->callers.clear(); }

  RawAnswer TakeUp(std::size_t gateway, const std::string& begun_by) const;

  /** Takes all streams up; fails unless each goes on to its end at the version
   * that began it. */
  void AssertTheyGoOn(std::size_t gateway);

  /** Fails unless the answer holds the rest of a stream, from the version that
   * began it. */
  void AssertItWentOn(std::size_t i, const RawAnswer& answer);

  nlohmann::json Gossip(std::size_t gateway) const;

  /** @return Gateways with a role, among some. */
  std::vector<std::size_t> WithRole(
      const std::string& role,
      const std::vector<std::size_t>& among) const;

  /** Waits until each gateway has the witnesses of a fleet whose gateways all
   * live. */
  void AwaitWitnesses() const;

  /** Waits until a gateway has records of all streams; fails if it is not told
   * of them. */
  void AwaitRecords(std::size_t gateway) const;

  /** @return Lookups of a gateway that have ended in a way. */
  std::uint64_t LookupsOf(std::size_t gateway, const std::string& result) const;

  static std::string IdOf(std::size_t stream) {
    return "stream-" + std::to_string(stream);
  }

  GatewayFleet& Fleet() { return this->fleet; }

 private:
  /** Publishes room for many streams, and waits until it is in force, as is
   * what has been published before. */
  void PublishConfiguration();

  static GatewayPlan PlanOf(std::size_t gateways,
                            std::vector<std::string> domains);

  std::size_t gateways;
  GatewayFleet fleet;
  std::vector<std::unique_ptr<ByteConnection>> callers;
};

}  // namespace buckthornpath

#endif  // TEST_HARNESS_STREAM_FLEET_H_
