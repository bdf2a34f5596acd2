/** @file in_flight_calls.h The calls that a process has in flight, by name. */

#ifndef SRC_KERNEL_IN_FLIGHT_CALLS_H_
#define SRC_KERNEL_IN_FLIGHT_CALLS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/lock_order.h"

namespace buckthornpath {

/** Thread-safe table of calls in flight; a drain waits until it is empty. */
class InFlightCalls {
 public:
  /** Registers a call for the lifetime of this object. */
  class ScopedCall {
   public:
    /** @param name Ticket, or a provisional name if it is not yet known. */
    ScopedCall(InFlightCalls& calls, std::string name);
    ~ScopedCall();
    ScopedCall(const ScopedCall&) = delete;
    ScopedCall& operator=(const ScopedCall&) = delete;

    /** Replaces a provisional name by the one that the caller knows. */
    void SetName(std::string name);

   private:
    InFlightCalls& calls;
    std::uint64_t number;
  };

  std::size_t Size() const;

  /** @return Their names, oldest first. */
  std::vector<std::string> Names() const;

 private:
  mutable OrderedMutex mutex{LockRank::kInFlightCalls};
  std::uint64_t next_number = 0;
  std::map<std::uint64_t, std::string> names;  ///< By order of arrival.
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_IN_FLIGHT_CALLS_H_
