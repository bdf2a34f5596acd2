/** @file engine_faults.h Faults of a fake model engine. */

#ifndef TEST_FAKES_ENGINE_FAULTS_H_
#define TEST_FAKES_ENGINE_FAULTS_H_

#include <cstdint>
#include <nlohmann/json.hpp>

namespace buckthornpath {

/** Faults set by a control request; each fault applied lowers its count. */
struct EngineFaults {
  std::int64_t fail_next = 0;    ///< Requests answered 503 and not run.
  std::int64_t break_next = 0;   ///< Streams cut off.
  std::int64_t break_after = 0;  ///< Tokens sent before a stream is cut off.
  std::int64_t empty_next = 0;   ///< Streams that end without a token.
  std::int64_t hang_next = 0;    ///< Streams that stay open without data.
  std::int64_t slow_factor = 1;  ///< Multiple of the step time.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineFaults,
                                                fail_next,
                                                break_next,
                                                break_after,
                                                empty_next,
                                                hang_next,
                                                slow_factor)

/** Lowers a count by one. @return False if it is zero. */
inline bool ConsumeFault(std::int64_t& count) {
  return count > 0 && count-- > 0;
}

}  // namespace buckthornpath

#endif  // TEST_FAKES_ENGINE_FAULTS_H_
