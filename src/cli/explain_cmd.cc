/** @file explain_cmd.cc Prints the log lines that explain one request. */

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "cli/command.h"
#include "table/log_table.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

/** State changes up to this long before a request can explain its routing. */
constexpr std::chrono::milliseconds kStateChangeWindow{10000};

/** One line of a log. */
struct LogEntry {
  std::chrono::milliseconds time{};
  json line;
};

/** Entries of all files, and the number of lines that are not valid. */
struct ParsedLogs {
  std::vector<LogEntry> entries;
  std::size_t invalid_lines = 0;
};

/** @return True if a member is absent or has a type. */
bool HasType(const json& object,
             const char* name,
             bool (json::*is_type)() const) {
  const auto found = object.find(name);
  return found == object.end() || ((*found).*is_type)();
}

/** @return True for an object whose members have the types of a log line. Other
 * programs may write to the same file. */
bool IsLogLine(const json& line) {
  if (!line.is_object() || !HasType(line, "attempts", &json::is_array))
    return false;
  for (const char* name : {"process", "event", "request", "endpoint"}) {
    if (!HasType(line, name, &json::is_string))
      return false;
  }
  for (const char* name : {"time_ms", "total_ms", "lines"}) {
    if (!HasType(line, name, &json::is_number_integer))
      return false;
  }
  const json attempts = line.value("attempts", json::array());
  return std::all_of(attempts.begin(), attempts.end(), [](const json& attempt) {
    return attempt.is_object() &&
           HasType(attempt, "endpoint", &json::is_string);
  });
}

/** @throws std::runtime_error If a file cannot be read. */
ParsedLogs ReadLogs(const std::vector<std::string>& files) {
  ParsedLogs logs;
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (!file)
      throw std::runtime_error(path + " cannot be read");
    for (std::string text; std::getline(file, text);) {
      // A log collector may have added a prefix to the line.
      const std::size_t begin = text.find("{\"time_ms\"");
      json line = begin == std::string::npos
                      ? json()
                      : json::parse(text.substr(begin), nullptr, false);
      if (!IsLogLine(line)) {
        ++logs.invalid_lines;
        continue;
      }
      const std::chrono::milliseconds time(
          line.value("time_ms", std::int64_t{0}));
      logs.entries.push_back({time, std::move(line)});
    }
  }
  std::stable_sort(logs.entries.begin(), logs.entries.end(),
                   [](const LogEntry& left, const LogEntry& right) {
                     return left.time < right.time;
                   });
  return logs;
}

/** Processes that handled a request, endpoints that were tried, and when. */
struct RequestTrace {
  std::set<std::string> processes;
  std::set<std::string> endpoints;
  std::chrono::milliseconds started_at{};
  std::chrono::milliseconds ended_at{};
  json quarantined;  ///< Prompt segments for which it was refused; or null.
  bool is_found = false;
};

RequestTrace FindTrace(const ParsedLogs& logs, const std::string& id) {
  RequestTrace trace;
  for (const LogEntry& entry : logs.entries) {
    if (entry.line.value("request", "") != id)
      continue;
    const std::chrono::milliseconds started_at =
        entry.time - std::chrono::milliseconds(
                         entry.line.value("total_ms", std::int64_t{0}));
    trace.started_at =
        trace.is_found ? std::min(trace.started_at, started_at) : started_at;
    trace.is_found = true;
    trace.ended_at = entry.time;
    trace.processes.insert(entry.line.value("process", ""));
    if (entry.line.contains("quarantined"))
      trace.quarantined = entry.line["quarantined"];
    for (const json& attempt : entry.line.value("attempts", json::array()))
      trace.endpoints.insert(attempt.value("endpoint", ""));
  }
  return trace;
}

/**
 * @return True if the line reports a change of state around the time of the
 *     request, in a process that handled it, and concerns no endpoint that the
 *     request did not try.
 */
bool IsRelatedStateChange(const LogEntry& entry, const RequestTrace& trace) {
  if (entry.line.value("event", "") == "request" ||
      entry.time < trace.started_at - kStateChangeWindow ||
      entry.time > trace.ended_at ||
      !trace.processes.contains(entry.line.value("process", ""))) {
    return false;
  }
  const std::string endpoint = entry.line.value("endpoint", "");
  return endpoint.empty() || trace.endpoints.contains(endpoint);
}

/** @return True if the line says why a gateway refuses the request's prompt.
 * The crashes may be long ago and may have been seen by other gateways. */
bool IsQuarantineOf(const LogEntry& entry, const RequestTrace& trace) {
  return !trace.quarantined.is_null() && entry.time <= trace.ended_at &&
         entry.line.value("event", "") == "segment_quarantined" &&
         entry.line.value("segments", json()) == trace.quarantined;
}

/** A dependency of a process, and the events of its loss and return. */
struct DependencyRow {
  const char* lost;
  const char* regained;  ///< Separated by blanks.
  const char* text;      ///< What the loss means for a request.
};

constexpr std::array<DependencyRow, 2> kDependencies = {{
    {"hub_lost", "hub_followed hub_role started",
     "followed no hub: loads of others were late"},
    {"store_lost", "store_regained started",
     "did not reach the store: what is published may have been out of date"},
}};

/** @return True if a process lacked a dependency when the request ended. */
bool IsLost(const DependencyRow& dependency,
            const std::string& process,
            const ParsedLogs& logs,
            const RequestTrace& trace,
            std::chrono::milliseconds& lost_at) {
  bool is_lost = false;
  for (const LogEntry& entry : logs.entries) {
    if (entry.time > trace.ended_at)
      break;
    if (entry.line.value("process", "") != process)
      continue;
    const std::string event = entry.line.value("event", "");
    if (ContainsWord(dependency.regained, event)) {
      is_lost = false;
    } else if (event == dependency.lost && !is_lost) {
      is_lost = true;
      lost_at = entry.time;
    }
  }
  return is_lost;
}

/** Prints which dependencies the processes of the request lacked when it ended,
 * however long before they lost them. */
void PrintLostDependencies(const ParsedLogs& logs, const RequestTrace& trace) {
  for (const std::string& process : trace.processes) {
    for (const DependencyRow& dependency : kDependencies) {
      std::chrono::milliseconds lost_at{};
      if (IsLost(dependency, process, logs, trace, lost_at))
        std::cout << process << " " << dependency.text << ", for "
                  << (trace.ended_at - lost_at).count() << " ms\n";
    }
  }
}

void PrintEntry(const LogEntry& entry, const RequestTrace& trace) {
  json other_fields = json::object();
  for (const auto& [name, value] : entry.line.items()) {
    if (!ContainsWord(kCommonLogFields, name))
      other_fields[name] = value;
  }
  std::cout << (entry.time - trace.started_at).count() << " ms  "
            << entry.line.value("process", "") << "  "
            << entry.line.value("event", "") << "  " << other_fields.dump()
            << "\n";
}

CommandResult Explain(const CommandOptions& options) {
  const std::string id = options.Text("<id>").value_or("");
  const ParsedLogs logs = ReadLogs(options.TextList("<log>"));
  const RequestTrace trace = FindTrace(logs, id);
  std::size_t dropped_lines = 0;
  for (const LogEntry& entry : logs.entries) {
    if (entry.line.value("event", "") == "log_dropped")
      dropped_lines += entry.line.value("lines", std::size_t{0});
    if (trace.is_found &&
        (entry.line.value("request", "") == id ||
         IsRelatedStateChange(entry, trace) || IsQuarantineOf(entry, trace))) {
      PrintEntry(entry, trace);
    }
  }
  PrintLostDependencies(logs, trace);
  if (dropped_lines > 0)
    std::cout << dropped_lines
              << " lines of these logs were dropped under load\n";
  if (logs.invalid_lines > 0)
    std::cout << logs.invalid_lines
              << " lines are not valid log lines and were skipped\n";
  if (trace.is_found)
    return CommandResult::kSuccess;
  std::cout << "no log line mentions the request " << id << "\n";
  return CommandResult::kFailure;
}

const Command kCommand(
    "explain",
    "<id> <log>...",
    "Prints what the log files of the processes say about one request.",
    Explain);

}  // namespace

}  // namespace buckthornpath
