/** @file admission_ratio.h Share of requests that an overloaded service gets.
 */

#ifndef BUCKTHORNPATH_ADMISSION_RATIO_H_
#define BUCKTHORNPATH_ADMISSION_RATIO_H_

#include <chrono>
#include <optional>

namespace buckthornpath {

/**
 * Admits a share of the requests for a service whose endpoints queue. Handles a
 * load beyond the capacity of a service that hundreds of gateways share, each
 * of which sends it a few requests a second: loads that are known late would
 * make all of them stop and start at the same time. Each gateway instead lowers
 * its share when its own responses are slow or its requests are refused, and
 * raises it otherwise (additive increase, multiplicative decrease). The
 * decrease follows the share of slow responses, as a single one is no sign of
 * overload: work differs in length. A wave of requests that has passed leaves
 * the share low for seconds; so nothing is refused while the requests at some
 * endpoint, by the loads that gateways exchange, hardly exceed its slots. Does
 * no I/O. Not thread-safe.
 */
class AdmissionRatio {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /**
   * Decides on a new request. Admitted requests are evenly spread.
   * @param requests_per_slot Estimate for the endpoint with the fewest; empty
   *     if unknown.
   * @return False if the request is to be refused at once.
   */
  bool TryAdmit(std::optional<double> requests_per_slot, TimePoint now);

  /** Records a response. @param target Time that it should have taken. */
  void RecordResponse(std::chrono::milliseconds took,
                      std::chrono::milliseconds target,
                      TimePoint now);

  /** Records that an endpoint refused a request as overloaded. */
  void RecordFull(TimePoint now);

  /** @return Share of the requests that is admitted, from above 0 to 1. */
  double Ratio() const { return this->ratio; }

 private:
  void Raise(TimePoint now);
  void AddToMean(bool is_overloaded);

  /** @param part Part of the ratio that is taken away. */
  void Lower(double part, TimePoint now);

  double ratio = 1.0;
  double credit = 1.0;  ///< Admissions that are due.
  /** Moving mean of the share of slow or refused ones among the responses. */
  double overload_share = 0.0;
  TimePoint raised_at{};
  TimePoint lowered_at{};
};

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_ADMISSION_RATIO_H_
