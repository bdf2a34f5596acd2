/** @file log.h Log lines in JSON. */

#ifndef SRC_KERNEL_LOG_H_
#define SRC_KERNEL_LOG_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "table/log_table.h"

namespace buckthornpath {

enum class LogLevel {
  kDebug,
  kInfo,    ///< Decisions about single requests.
  kNotice,  ///< Start, stop, and changes of what the process believes.
  kWarning,
  kError
};

/** @return The level of a name in the settings; kInfo for any other. */
LogLevel ParseLogLevel(std::string_view name);

/**
 * Sends log lines to standard output, one JSON object a line, through a
 * bounded queue and a thread of their own, so that a reader that is slow or
 * gone never holds up the process. Lines that find no room are dropped, those
 * about single requests first, and counted in a later line `log_dropped`.
 * @param process Name that every line carries.
 * @param lowest Lines below this level are dropped.
 * @param bytes_per_second Most bytes a second of lines about requests.
 */
void StartLog(const std::string& process,
              LogLevel lowest,
              std::int64_t bytes_per_second);

/** Changes the lowest level. */
void SetLogLevel(LogLevel lowest);

/** Waits until all lines are written, or for the time given. */
void FlushLog(std::chrono::milliseconds timeout);

/** One member of a line. */
struct LogField {
  LogFieldName name;
  nlohmann::json value;
};

/**
 * Writes one line with the time, the level, the process and the event.
 * @param event What happened, by its name in the table of events.
 * @param fields Further members of the line.
 */
void LogLine(LogLevel level,
             LogEventName event,
             const std::vector<LogField>& fields = {});

}  // namespace buckthornpath

#endif  // SRC_KERNEL_LOG_H_
