/** @file read_pauses.h Pauses between reads that fail in a row. */

#ifndef SRC_GATEWAY_READ_PAUSES_H_
#define SRC_GATEWAY_READ_PAUSES_H_

#include <chrono>
#include <random>

namespace buckthornpath {

/**
 * Pauses before a failed read of the platform's store is repeated. They double
 * from fault to fault until the store has answered a watch that waited; short
 * answers in between change nothing, as each of them could be followed by the
 * same fault. Does no I/O.
 */
class ReadPauses {
 public:
  /** The longest pause; each is shorter by up to a half, at random. */
  static constexpr std::chrono::milliseconds kMax{800};

  /** Pause after the first fault that may be an outage. */
  static constexpr std::chrono::milliseconds kFirst{100};

  explicit ReadPauses(std::mt19937_64::result_type seed) : random(seed) {}

  /** Records an answer to a watch that waited. */
  void Reset() { this->faults = 0; }

  /**
   * @param read_time Time that the read took, which counts as a part of the
   * pause.
   * @return Pause after a fault that is none of the store as such: a watch that
   * was cut, or a history that is lost. The first one is followed at once.
   */
  std::chrono::milliseconds AfterFault(std::chrono::milliseconds read_time);

  /** @return Pause after a fault of the store. */
  std::chrono::milliseconds AfterOutage();

 private:
  std::chrono::milliseconds Next();

  std::mt19937_64 random;
  int faults = 0;  ///< Since the last reset.
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_READ_PAUSES_H_
