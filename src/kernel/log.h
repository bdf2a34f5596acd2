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
  kNotice,  ///< Start, stop, and changes of the known fleet state.
  kWarning,
  kError
};

/** @return The level of a name in the settings; kInfo for any other. */
LogLevel ParseLogLevel(std::string_view name);

/**
 * Starts logging to standard output, one JSON object per line. A bounded queue
 * and a separate thread write the lines, so that a slow or closed reader never
 * blocks the process. Lines beyond the limits are dropped, those about single
 * requests first, and counted in a later line `log_dropped`.
 * @param process Process name in every line.
 * @param min_level Lines below this level are not logged.
 * @param bytes_per_second Maximum bytes per second of lines about requests.
 */
void StartLog(const std::string& process,
              LogLevel min_level,
              std::int64_t bytes_per_second);

void SetLogLevel(LogLevel min_level);

/** Waits until all lines are written or the timeout expires. */
void FlushLog(std::chrono::milliseconds timeout);

/** A field of a log line. */
struct LogField {
  LogFieldName name;
  nlohmann::json value;
};

/**
 * Logs one line with the time, the level, the process and the event. A text of
 * more than 1,024 bytes is cut.
 * @param event Name in kLogEvents.
 * @param fields Further fields of the line.
 */
void LogLine(LogLevel level,
             LogEventName event,
             const std::vector<LogField>& fields = {});

}  // namespace buckthornpath

#endif  // SRC_KERNEL_LOG_H_
