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
  /** One call; in flight while this object lives. */
  class Mark {
   public:
    /** @param name Request id, or what is known of the call before it. */
    Mark(InFlightCalls& calls, std::string name);
    ~Mark();
    Mark(const Mark&) = delete;
    Mark& operator=(const Mark&) = delete;

    /** Gives the call the name under which its caller knows it. */
    void SetName(std::string name);

   private:
    InFlightCalls& calls;
    std::uint64_t number;
  };

  /** @return Number of calls in flight. */
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
