/** @file log.cc Log lines in JSON through Boost.Log. */

#include "kernel/log.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/formatting_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <iostream>

namespace buckthornpath {

namespace {

namespace logging = boost::log;

constexpr std::array<const char*, 4> kLevelNames = {"debug", "info", "warning",
                                                    "error"};

/** What every line of this process carries; set once, before any thread. */
struct LogIdentity {
  std::string process;
  std::atomic<LogLevel> lowest = LogLevel::kWarning;
};

LogIdentity& Identity() {
  static LogIdentity identity;
  return identity;
}

}  // namespace

void StartLog(const std::string& process, LogLevel lowest) {
  Identity().process = process;
  Identity().lowest = lowest;
  using Backend = logging::sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink =
      boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend);
  sink->set_formatter(
      [](const logging::record_view& record, logging::formatting_ostream& out) {
        out << record[logging::expressions::smessage];
      });
  logging::core::get()->add_sink(sink);
}

void LogLine(LogLevel level,
             std::string_view event,
             const nlohmann::json& fields) {
  if (level < Identity().lowest)
    return;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  nlohmann::ordered_json line = {
      {"time_ms", now.count()},
      {"level", kLevelNames.at(static_cast<std::size_t>(level))},
      {"process", Identity().process},
      {"event", event}};
  for (const auto& [name, value] : fields.items())
    line[name] = value;
  static thread_local logging::sources::logger logger;
  BOOST_LOG(logger) << line.dump(-1, ' ', false,
                                 nlohmann::json::error_handler_t::replace);
}

}  // namespace buckthornpath
