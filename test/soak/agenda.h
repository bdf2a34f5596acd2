/** @file agenda.h Actions of a soak, each at its time. */

#ifndef TEST_SOAK_AGENDA_H_
#define TEST_SOAK_AGENDA_H_

#include <chrono>
#include <functional>
#include <map>
#include <random>

namespace buckthornpath {

/** Runs actions on one thread, in the order of their times. Actions add others,
 * so that several series overlap. */
class Agenda {
 public:
  using Clock = std::chrono::steady_clock;
  using Milliseconds = std::chrono::milliseconds;
  using Action = std::function<void()>;

  explicit Agenda(std::uint64_t seed) : random(seed) {}

  /** @return A number from first to last, each as likely. */
  std::int64_t Between(std::int64_t first, std::int64_t last) {
    return std::uniform_int_distribution<std::int64_t>(first,
                                                       last)(this->random);
  }
  std::size_t Below(std::size_t limit) {
    return static_cast<std::size_t>(
        this->Between(0, static_cast<std::int64_t>(limit) - 1));
  }
  bool OneIn(std::int64_t count) { return this->Between(1, count) == 1; }

  void After(Milliseconds delay, Action action) {
    this->actions.emplace(Clock::now() + delay, std::move(action));
  }

  /** Adds an action at a random time. */
  void Within(Milliseconds first, Milliseconds last, Action action) {
    this->After(Milliseconds(this->Between(first.count(), last.count())),
                std::move(action));
  }

  /** Runs all actions that are due. */
  void RunDue() {
    while (!this->actions.empty() &&
           this->actions.begin()->first <= Clock::now()) {
      const Action action = std::move(this->actions.begin()->second);
      this->actions.erase(this->actions.begin());
      action();
    }
  }

 private:
  std::mt19937_64 random;
  std::multimap<Clock::time_point, Action> actions;
};

}  // namespace buckthornpath

#endif  // TEST_SOAK_AGENDA_H_
