/** @file event_relay.h Passes a stream of events on, whole events only. */

#ifndef SRC_GATEWAY_EVENT_RELAY_H_
#define SRC_GATEWAY_EVENT_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornpath {

/**
 * Cuts a stream of server-sent events at the ends of events and remembers the
 * id of the last one, so that another run can go on after it. Does no I/O.
 */
class EventRelay {
 public:
  /**
   * Takes bytes of the stream as they arrive.
   * @return The whole events among them, without those passed on before.
   */
  std::string Feed(std::string_view bytes);

  /** @return What is left after the stream's proper end. */
  std::string Finish();

  /** Forgets an event that was cut off; another run of the stream follows. */
  void BeginRun() { this->pending.clear(); }

  /** @return Id of the last event passed on, if there was any. */
  const std::optional<std::uint64_t>& LastId() const { return this->last_id; }

 private:
  std::string pending;  ///< Event that has not arrived whole.
  std::optional<std::uint64_t> last_id;
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_EVENT_RELAY_H_
