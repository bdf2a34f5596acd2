/** @file load_history.cc Checks of admissions and starts in logs. */

#include "harness/load_history.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>

namespace buckthornpath {

namespace {

constexpr double kRounding = 1e-9;

/** Computes the bound without the daemon's code, to check it independently. */
std::int64_t BoundOf(const nlohmann::json& admitted) {
  const double product = admitted.at("mean").get<double>() *
                         admitted.at("multiple_percent").get<double>() / 100.0;
  return std::max<std::int64_t>(
      1, static_cast<std::int64_t>(std::ceil(product - kRounding)));
}

std::string EventOf(const nlohmann::json& line) {
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
    if (EventOf(line) == "released") {
      --held;
    } else if (EventOf(line) == "admitted") {
      ++held;
      ++result.admitted;
      if (held != line.at("count").get<std::int64_t>() ||
          held > BoundOf(line) ||
          BoundOf(line) != line.at("bound").get<std::int64_t>()) {
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
  std::map<std::string, std::size_t> before;
  std::size_t most = 0;
  for (const nlohmann::json& line : history) {
    const std::string request = line.at("request").get<std::string>();
    const std::string kind = line.value(by, "");
    if (EventOf(line) == "admitted" && kind == waiting) {
      before[request] = 0;
    } else if (EventOf(line) == "started" && kind == started) {
      for (auto& [name, count] : before)
        ++count;
    } else if (before.count(request) > 0) {
      most = std::max(most, before[request]);
      before.erase(request);
    }
  }
  return most;
}

double ShareUnderFlood(const LoadHistory& history,
                       const std::string& rank,
                       const std::string& flood) {
  std::map<std::string, int> waits;
  double total = 0;
  double own = 0;
  for (const nlohmann::json& line : history) {
    const std::string kind = line.value("rank", "");
    if (EventOf(line) == "admitted") {
      ++waits[kind];
    } else if (EventOf(line) == "started") {
      if (waits[rank] > 0 && waits[flood] > 0) {
        const double cost = line.at("cost").get<double>();
        total += cost;
        own += kind == rank ? cost : 0.0;
      }
      --waits[kind];
    }
  }
  return total > 0 ? own / total : 1.0;
}

}  // namespace buckthornpath
