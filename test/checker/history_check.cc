/** @file history_check.cc Checks histories of calls. */

#include "checker/history_check.h"

#include <algorithm>
#include <fstream>
#include <set>

#include "fakes/generation.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

/** Everything that a history records about one call. */
struct CallHistory {
  bool invoked = false;
  bool repeatable = false;
  bool streamed = false;
  std::string path;
  std::size_t runs = 0;
  std::vector<std::string> outcomes;
  std::vector<json> answers;
};

std::vector<std::string> ExpectedStream(const std::string& body) {
  const auto prompt = PromptTokens(body);
  std::vector<std::string> chunks;
  for (std::size_t i = 0; i < TokensWanted(body); ++i)
    chunks.push_back(TokenEvent(GeneratedToken(prompt, i)));
  return chunks;
}

/** @return True if an answer equals what the fake generates for a body. */
bool IsExpectedAnswer(const std::string& body,
                      const CallHistory& call,
                      const json& answer) {
  if (call.streamed) {
    return answer.at("chunks").get<std::vector<std::string>>() ==
           ExpectedStream(body);
  }
  const json text =
      json::parse(answer.at("text").get<std::string>(), nullptr, false);
  return text.is_object() && text.value("echo", "") == body &&
         text.value("path", "") == call.path;
}

void AddLine(const json& line, std::map<std::string, CallHistory>& calls) {
  const std::string event = line.value("event", "");
  if (!line.contains("body"))
    return;
  CallHistory& call = calls[line.at("body").get<std::string>()];
  if (event == "invoke") {
    call.invoked = true;
    call.repeatable = line.at("repeatable").get<bool>();
    call.streamed = line.at("streamed").get<bool>();
    call.path = line.value("path", "");
  } else if (event == "told") {
    call.outcomes.push_back(line.at("outcome").get<std::string>());
  } else if (event == "answer") {
    call.answers.push_back(line);
  } else if (event == "engine_run" || event == "service_run") {
    ++call.runs;
  }
}

void CheckCall(const std::string& body,
               const CallHistory& call,
               HistoryCheckResult& result) {
  const auto add_violation = [&](const std::string& rule) {
    result.violations.push_back(rule + ": " + body);
  };
  if (!call.invoked)
    add_violation("ran without an invocation");
  if (!call.repeatable && call.runs > 1)
    add_violation("ran " + std::to_string(call.runs) + " times");
  const std::set<std::string> outcomes(call.outcomes.begin(),
                                       call.outcomes.end());
  if (outcomes.count("not_run") > 0 && call.runs > 0)
    add_violation("reported not_run but ran");
  if (outcomes.count("ran") > 0 && call.runs == 0)
    add_violation("reported ran but did not run");
  if (!call.answers.empty() && call.runs == 0)
    add_violation("answered but did not run");
  for (const json& answer : call.answers) {
    if (!IsExpectedAnswer(body, call, answer))
      add_violation("answer differs from the complete answer to its request");
  }
}

}  // namespace

HistoryCheckResult CheckHistory(const std::vector<json>& lines) {
  std::map<std::string, CallHistory> calls;
  for (const json& line : lines)
    AddLine(line, calls);
  HistoryCheckResult result;
  result.calls = calls.size();
  for (const auto& [body, call] : calls) {
    CheckCall(body, call, result);
    result.runs += call.runs;
    result.complete += call.answers.empty() ? 0U : 1U;
    if (!call.outcomes.empty() && call.answers.empty())
      ++result.outcomes[call.outcomes.back()];
  }
  return result;
}

std::vector<json> ReadHistory(const std::string& path) {
  std::vector<json> lines;
  std::ifstream file(path);
  for (std::string text; std::getline(file, text);) {
    json line = json::parse(text, nullptr, false);
    if (!line.is_discarded())
      lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace buckthornpath
