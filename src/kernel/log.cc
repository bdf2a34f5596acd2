/** @file log.cc Log lines in JSON through Boost.Log. */

#include "kernel/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/formatting_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

namespace buckthornpath {

namespace {

namespace logging = boost::log;
using std::chrono::steady_clock;

constexpr std::array<const char*, 5> kLevelNames = {"debug", "info", "notice",
                                                    "warning", "error"};

/** Maximum number of lines in the queue. */
constexpr std::size_t kMaxQueuedLines = 4096;

/** Queued lines from which on lines about single requests are dropped. */
constexpr std::int64_t kRequestLineLimit = kMaxQueuedLines / 2;

/** Maximum bytes of a text in a line; others may have written it. */
constexpr std::size_t kMaxTextBytes = 1024;

/** Minimum time between two log_dropped lines. */
constexpr std::chrono::milliseconds kMinDropReportInterval{1000};

/** Interval at which FlushLog() checks the queue. */
constexpr std::chrono::milliseconds kFlushPollInterval{5};

/** Process name, limits and queue state of the log. */
struct LogState {
  std::string process;
  std::atomic<LogLevel> min_level = LogLevel::kWarning;
  std::int64_t bytes_per_second = 0;
  std::atomic<std::int64_t> queued_lines = 0;
  std::mutex mutex;  ///< Guards what follows; innermost in lock order.
  std::int64_t dropped = 0;
  std::int64_t bytes_left = 0;
  steady_clock::time_point window_start{};
  steady_clock::time_point last_drop_report{};
};

LogState& State() {
  static LogState state;
  return state;
}

/**
 * Checks a line against the limits of queue and rate, and counts it.
 * @return False if the line is to be dropped.
 */
bool AdmitLine(LogLevel level, std::size_t bytes) {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  const auto now = steady_clock::now();
  if (now - state.window_start >= std::chrono::seconds(1)) {
    state.window_start = now;
    state.bytes_left = state.bytes_per_second;
  }
  const bool is_request = level <= LogLevel::kInfo;
  const std::int64_t limit = is_request
                                 ? kRequestLineLimit
                                 : static_cast<std::int64_t>(kMaxQueuedLines);
  if (state.queued_lines >= limit || (is_request && state.bytes_left <= 0)) {
    ++state.dropped;
    return false;
  }
  state.bytes_left -= static_cast<std::int64_t>(bytes);
  return true;
}

/** @return Lines dropped since the last log_dropped line, 0 if none is due. */
std::int64_t TakeDroppedCount() {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  const auto now = steady_clock::now();
  if (state.dropped == 0 || state.queued_lines >= kRequestLineLimit ||
      now - state.last_drop_report < kMinDropReportInterval) {
    return 0;
  }
  state.last_drop_report = now;
  return std::exchange(state.dropped, 0);
}

/** @return The value of a field; a long text is cut. */
nlohmann::json Shorten(const nlohmann::json& value) {
  const auto* text = value.get_ptr<const std::string*>();
  if (text == nullptr || text->size() <= kMaxTextBytes)
    return value;
  return text->substr(0, kMaxTextBytes) + "...";
}

std::string Format(LogLevel level,
                   LogEventName event,
                   const std::vector<LogField>& fields) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  nlohmann::ordered_json line = {
      {"time_ms", now.count()},
      {"level", kLevelNames.at(static_cast<std::size_t>(level))},
      {"process", State().process},
      {"event", event.Text()}};
  for (const LogField& field : fields)
    line[std::string(field.name.Text())] = Shorten(field.value);
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void Write(const std::string& line) {
  ++State().queued_lines;
  static thread_local logging::sources::logger logger;
  BOOST_LOG(logger) << line;
}

}  // namespace

LogLevel ParseLogLevel(std::string_view name) {
  const auto found = std::find(kLevelNames.begin(), kLevelNames.end(), name);
  return found == kLevelNames.end()
             ? LogLevel::kInfo
             : static_cast<LogLevel>(found - kLevelNames.begin());
}

void StartLog(const std::string& process,
              LogLevel min_level,
              std::int64_t bytes_per_second) {
  State().process = process;
  State().min_level = min_level;
  State().bytes_per_second = bytes_per_second;
  using Backend = logging::sinks::text_ostream_backend;
  using Queue =
      logging::sinks::bounded_fifo_queue<2 * kMaxQueuedLines,
                                         logging::sinks::drop_on_overflow>;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink =
      boost::make_shared<logging::sinks::asynchronous_sink<Backend, Queue>>(
          backend);
  sink->set_formatter(
      [](const logging::record_view& record, logging::formatting_ostream& out) {
        out << record[logging::expressions::smessage];
        --State().queued_lines;
      });
  logging::core::get()->add_sink(sink);
}

void SetLogLevel(LogLevel min_level) {
  State().min_level = min_level;
}

void FlushLog(std::chrono::milliseconds timeout) {
  const auto deadline = steady_clock::now() + timeout;
  while (State().queued_lines > 0 && steady_clock::now() < deadline)
    std::this_thread::sleep_for(kFlushPollInterval);
  // A line leaves the count when formatted; wait one interval for its write.
  std::this_thread::sleep_for(kFlushPollInterval);
}

void LogLine(LogLevel level,
             LogEventName event,
             const std::vector<LogField>& fields) {
  if (level < State().min_level)
    return;
  const std::string line = Format(level, event, fields);
  if (!AdmitLine(level, line.size()))
    return;
  Write(line);
  if (const std::int64_t dropped = TakeDroppedCount(); dropped > 0)
    Write(Format(LogLevel::kWarning, "log_dropped", {{"lines", dropped}}));
}

}  // namespace buckthornpath
