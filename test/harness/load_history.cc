/** @file load_history.cc Checks of admissions and starts in logs. */

#include "harness/load_history.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>

namespace buckthornpath {

namespace {

constexpr double kRoundingTolerance = 1e-9;

/** Computes the bound without the daemon's code, to check it independently. */
std::int64_t ExpectedBound(const nlohmann::json& admitted) {
  const double product = admitted.at("mean").get<double>() *
                         admitted.at("multiple_percent").get<double>() / 100.0;
  return std::max<std::int64_t>(
      1, static_cast<std::int64_t>(std::ceil(product - kRoundingTolerance)));
}

std::string EventName(const nlohmann::json& line) {
  return line.value("event", "");
}

}  // namespace

LoadHistory ReadLoadHistory(const std::filesystem::path& log) {
  LoadHistory history;
  std::ifstream file(log);
  for (std::string text; std::getline(file, text);) {
    auto line = nlohmann::json::parse(text, nullptr, false);
    if (line.is_object() && line.contains("sequence"))
      history.push_back(std::move(line));
  }
  std::sort(history.begin(), history.end(),
            [](const nlohmann::json& left, const nlohmann::json& right) {
              return left.at("sequence").get<std::uint64_t>() <
                     right.at("sequence").get<std::uint64_t>();
            });
  return history;
}

LoadCheckResult CheckLoadBound(const LoadHistory& history) {
  LoadCheckResult result;
  std::int64_t held = 0;
  for (const nlohmann::json& line : history) {
    if (EventName(line) == "released") {
      --held;
    } else if (EventName(line) == "admitted") {
      ++held;
      ++result.admitted;
      if (held != line.at("count").get<std::int64_t>() ||
          held > ExpectedBound(line) ||
          ExpectedBound(line) != line.at("bound").get<std::int64_t>()) {
        result.violations.push_back(line.dump());
      }
      held -= line.at("evicted").get<std::string>().empty() ? 0 : 1;
    }
  }
  return result;
}

std::size_t MostStartedBefore(const LoadHistory& history,
                              const std::string& by,
                              const std::string& waiting,
                              const std::string& started) {
  std::map<std::string, std::size_t> starts_while_waiting;
  std::size_t max_starts = 0;
  for (const nlohmann::json& line : history) {
    const std::string request = line.at("request").get<std::string>();
    const std::string kind = line.value(by, "");
    if (EventName(line) == "admitted" && kind == waiting) {
      starts_while_waiting[request] = 0;
    } else if (EventName(line) == "started" && kind == started) {
      for (auto& [name, count] : starts_while_waiting)
        ++count;
    } else if (starts_while_waiting.count(request) > 0) {
      max_starts = std::max(max_starts, starts_while_waiting[request]);
      starts_while_waiting.erase(request);
    }
  }
  return max_starts;
}

double ShareUnderFlood(const LoadHistory& history,
                       const std::string& rank,
                       const std::string& flood) {
  std::map<std::string, int> waiting_calls;
  double total_cost = 0;
  double rank_cost = 0;
  for (const nlohmann::json& line : history) {
    const std::string kind = line.value("rank", "");
    if (EventName(line) == "admitted") {
      ++waiting_calls[kind];
    } else if (EventName(line) == "started") {
      if (waiting_calls[rank] > 0 && waiting_calls[flood] > 0) {
        const double cost = line.at("cost").get<double>();
        total_cost += cost;
        rank_cost += kind == rank ? cost : 0.0;
      }
      --waiting_calls[kind];
    }
  }
  return total_cost > 0 ? rank_cost / total_cost : 1.0;
}

}  // namespace buckthornpath
