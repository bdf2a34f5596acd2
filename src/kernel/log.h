/** @file log.h Log lines in JSON. */

#ifndef SRC_KERNEL_LOG_H_
#define SRC_KERNEL_LOG_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace buckthornpath {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/**
 * Sends log lines to standard error, one JSON object a line.
 * @param process Name that every line carries.
 * @param lowest Lines below this level are dropped.
 */
void StartLog(const std::string& process, LogLevel lowest);

/**
 * Writes one line with the time, the level, the process and the event.
 * @param event Name of what happened.
 * @param fields Further members of the line; an object.
 */
void LogLine(LogLevel level,
             std::string_view event,
             const nlohmann::json& fields);

}  // namespace buckthornpath

#endif  // SRC_KERNEL_LOG_H_
