/** @file endpoint_reservation.h A request that is counted at an endpoint. */

#ifndef SRC_GATEWAY_ENDPOINT_RESERVATION_H_
#define SRC_GATEWAY_ENDPOINT_RESERVATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "buckthornpath/endpoint_selector.h"

namespace buckthornpath {

/** Counts a request and its prompt at an endpoint for as long as it exists, or
 * until Release(). */
class EndpointReservation {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Reserves nothing. */
  EndpointReservation() = default;

  /** @param prompt The tokens that the endpoint has to read count until
   * ReleasePrefill().
   * @param output_tokens Expected length of the response; 0 if unknown. */
  EndpointReservation(EndpointSelector& selector,
                      EndpointHandle endpoint,
                      const std::vector<PromptSegment>& prompt,
                      std::int64_t output_tokens,
                      TimePoint now)
      : selector(&selector),
        endpoint(std::move(endpoint)),
        version(this->endpoint->Entry().version),
        time(now),
        is_away_from_cache(
            selector.IsCachedOnlyElsewhere(*this->endpoint, prompt, now)),
        prefill_tokens(
            selector.RecordStart(*this->endpoint, prompt, now, output_tokens)),
        uncached_tokens(this->prefill_tokens),
        prefill_backlog(this->endpoint->PrefillBacklog()) {}

  EndpointReservation(EndpointReservation&& other) noexcept
      : selector(other.selector),
        endpoint(std::exchange(other.endpoint, nullptr)),
        version(std::move(other.version)),
        time(other.time),
        is_away_from_cache(other.is_away_from_cache),
        prefill_tokens(std::exchange(other.prefill_tokens, 0)),
        uncached_tokens(other.uncached_tokens),
        prefill_backlog(other.prefill_backlog) {}

  EndpointReservation& operator=(EndpointReservation&& other) noexcept {
    if (this == &other)
      return *this;
    this->Release();
    this->selector = other.selector;
    this->endpoint = std::exchange(other.endpoint, nullptr);
    this->version = std::move(other.version);
    this->time = other.time;
    this->is_away_from_cache = other.is_away_from_cache;
    this->uncached_tokens = other.uncached_tokens;
    this->prefill_tokens = std::exchange(other.prefill_tokens, 0);
    this->prefill_backlog = other.prefill_backlog;
    return *this;
  }

  ~EndpointReservation() { this->Release(); }

  explicit operator bool() const { return this->endpoint != nullptr; }
  const EndpointHandle& Endpoint() const { return this->endpoint; }
  TimePoint Time() const { return this->time; }

  /** @return Software version of the endpoint when it was reserved. */
  const std::string& Version() const { return this->version; }

  /** @return Prompt tokens that waited at the endpoint when the request was
   * sent, its own included. */
  std::int64_t PrefillBacklog() const { return this->prefill_backlog; }

  /** @return Prompt tokens that the endpoint has not cached. */
  std::int64_t UncachedTokens() const { return this->uncached_tokens; }

  /** @return True if only other endpoints have the prompt's shared part
   * cached. */
  bool IsAwayFromCache() const { return this->is_away_from_cache; }

  /** Takes the prompt's tokens off the endpoint's prefill backlog. */
  void ReleasePrefill() {
    if (this->endpoint) {
      this->selector->RecordPrefillEnd(*this->endpoint,
                                       std::exchange(this->prefill_tokens, 0));
    }
  }

  void Release() {
    if (!this->endpoint)
      return;
    this->ReleasePrefill();
    this->selector->RecordEnd(*this->endpoint);
    this->endpoint = nullptr;
  }

 private:
  EndpointSelector* selector = nullptr;
  EndpointHandle endpoint;
  std::string version;
  TimePoint time{};
  bool is_away_from_cache = false;
  std::int64_t prefill_tokens = 0;  ///< Those that wait for prefill.
  std::int64_t uncached_tokens = 0;
  std::int64_t prefill_backlog = 0;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_ENDPOINT_RESERVATION_H_
