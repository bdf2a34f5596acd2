/** @file entry_confirmation.cc Waits for word that entries are current. */

#include "gateway/entry_confirmation.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = EndpointConnection::Clock;

/** Limit of the wait: changes are applied in this time if the store answers.
 * Callers leave after two seconds without an event. */
constexpr milliseconds kMaxWait{400};
constexpr milliseconds kCheckInterval{10};

}  // namespace

asio::awaitable<void> AwaitConfirmedEntry(GatewayState& state,
                                          Clock::time_point opened_at,
                                          std::function<bool()> is_ended) {
  const auto start = Clock::now();
  while (!state.incarnations.IsConfirmed(opened_at) &&
         Clock::now() < start + kMaxWait && state.failed_check_at < start &&
         !is_ended()) {
    if (state.confirm_entries)
      state.confirm_entries(EndpointIncarnations::ConfirmedBy(opened_at));
    co_await SleepFor(kCheckInterval);
  }
}

}  // namespace buckthornpath
