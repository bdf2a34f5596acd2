/** @file endpoint_speed.h How long work takes at an endpoint at present. */

#ifndef BUCKTHORNPATH_ENDPOINT_SPEED_H_
#define BUCKTHORNPATH_ENDPOINT_SPEED_H_

#include <chrono>

namespace buckthornpath {

/**
 * Time that work takes on the machine under an endpoint, relative to the usual
 * time, by the endpoint's own figures. Answers one load pattern: endpoints
 * share their machines with other programs, which slow some of them down for
 * moments. The figure changes many times a second, so what it says fades
 * within half a second; then all endpoints count as usual. Does no I/O. Not
 * thread-safe.
 */
class EndpointSpeed {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Records a figure of the endpoint.
   * @param factor 1: as usual; 2: work takes twice as long; 0: not stated. */
  void Record(double factor, TimePoint now);

  /** @return Expected factor; 1 if nothing is known, or nothing of late. */
  double SpeedFactor(TimePoint now) const;

 private:
  double figure = 1;
  TimePoint recorded_at{};  ///< Zero: no figure yet.
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ENDPOINT_SPEED_H_
