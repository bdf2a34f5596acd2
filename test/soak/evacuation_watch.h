/** @file evacuation_watch.h Judges where requests arrive while failure domains
 * are evacuated and restored. */

#ifndef TEST_SOAK_EVACUATION_WATCH_H_
#define TEST_SOAK_EVACUATION_WATCH_H_

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace buckthornpath {

/** Time limit until no gateway that has been in touch with the store sends a
 * request to an evacuated domain, and until a restored one gets requests. */
inline constexpr std::chrono::milliseconds kMaxEvacuationTime{5000};

/** Thread-safe record of evacuations and of requests that reach endpoints. It
 * uses nothing that a gateway says of itself. */
class EvacuationWatch {
 public:
  using Clock = std::chrono::steady_clock;

  explicit EvacuationWatch(std::size_t gateways) : gateways(gateways) {}

  /** Records that the store holds the evacuation of a domain. */
  void RecordBegin(const std::string& domain);

  /** Records that the evacuation is about to be removed. */
  void RecordEnd(const std::string& domain);

  /** Records that a request has reached an endpoint of a domain. */
  void RecordArrival(const std::string& id, const std::string& domain);

  /** @return True if every restored domain has got requests of all gateways
   * since. */
  bool HaveAllReturned();

  /** @return One text for each request that arrived too late, and for each
   * restored domain that has not got one of every gateway since. */
  std::vector<std::string> Violations();

 private:
  const std::size_t gateways;
  std::mutex mutex;
  std::map<std::string, Clock::time_point> evacuated_since;
  /** Gateways whose requests have arrived since a domain was restored. */
  std::map<std::string, std::set<std::size_t>> returned;
  std::vector<std::string> late_arrivals;
};

}  // namespace buckthornpath

#endif  // TEST_SOAK_EVACUATION_WATCH_H_
