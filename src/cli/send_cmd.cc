/** @file send_cmd.cc Sends one call and prints its response. */

#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/answer_follower.h"
#include "cli/caller_options.h"
#include "cli/http_call.h"

namespace buckthornpath {

namespace {

/** Prints the chunks of a response as they arrive. */
class AnswerPrinter {
 public:
  /** Prints the text of a chat completion's chunk, or any other chunk as is. */
  void Print(const std::string& data) {
    const auto chunk = nlohmann::json::parse(data, nullptr, false);
    const nlohmann::json::json_pointer text("/choices/0/delta/content");
    const bool has_choices = chunk.is_object() && chunk.contains("choices");
    if (!has_choices) {
      std::cout << data;
    } else if (chunk.contains(text) && chunk.at(text).is_string()) {
      std::cout << chunk.at(text).get<std::string>() << std::flush;
    }
    if (has_choices && chunk.contains("usage"))
      this->usage = chunk.at("usage");
  }

  /** @return Token usage as the engine reports it; null without a report. */
  const nlohmann::json& Usage() const { return this->usage; }

 private:
  nlohmann::json usage;
};

void FillBody(const CommandOptions& options, HttpRequest& request) {
  const auto service_path = options.Text("--service-path");
  if (service_path) {
    request.target = "/v1/services" + *service_path;
    request.body = options.Text("--body").value_or("");
    return;
  }
  request.target = "/v1/chat/completions";
  const nlohmann::ordered_json message = {
      {"role", "user"}, {"content", options.Text("<prompt>").value_or("")}};
  const nlohmann::ordered_json body = {
      {"messages", nlohmann::ordered_json::array({message})},
      {"max_tokens", options.Number("--max-tokens")},
      {"stream", true},
      {"stream_options", {{"include_usage", true}}}};
  request.body = body.dump();
}

void ReportUsage(const nlohmann::json& usage) {
  const nlohmann::json::json_pointer cached(
      "/prompt_tokens_details/cached_tokens");
  if (!usage.is_object() || !usage.contains(cached))
    return;
  std::cerr << "cached: " << usage.at(cached) << " of "
            << usage.value("prompt_tokens", 0) << " prompt tokens\n";
}

CommandResult Report(const FollowedAnswer& answer) {
  std::cout << "\n";
  std::cerr << "outcome: " << answer.outcome << "\n"
            << "complete: " << (answer.complete ? "yes" : "no") << "\n"
            << "chunks: " << answer.chunks << "\n"
            << "router: " << answer.router << "\n"
            << "resumed: " << answer.resumed << "\n";
  if (!answer.location.empty())
    std::cerr << "location: " << answer.location << "\n";
  if (!answer.problem.empty())
    std::cerr << "problem: " << answer.problem << "\n";
  if (!answer.complete && !answer.fault.empty())
    std::cerr << "fault: " << answer.fault << "\n";
  return answer.complete ? CommandResult::kDone : CommandResult::kRefused;
}

CommandResult Send(const CommandOptions& options) {
  const auto given = options.Text("--ticket");
  const std::string ticket = given ? *given : AskForTicket(options);
  HttpRequest request = CallerRequestOf(options);
  request.headers.Set("Idempotency-Key", ticket);
  FillBody(options, request);
  std::cerr << "ticket: " << ticket << "\n";
  AnswerPrinter printer;
  AnswerFollower follower(
      RoutersOf(options), std::move(request),
      [&printer](const std::string& data) { printer.Print(data); });
  FollowedAnswer answer;
  RunTask(
      [&]() -> asio::awaitable<void> { answer = co_await follower.Run(); }());
  const CommandResult result = Report(answer);
  ReportUsage(printer.Usage());
  return result;
}

const Command kCommand(
    "send",
    "--router=<address>... --profile=<name> [--chat=<name>] "
    "[--location=<hint>] "
    "[--ticket=<ticket>] [--credential-file=<file>] [--max-tokens=<n>] "
    "(<prompt> | --service-path=<path> [--body=<text>])",
    "Sends a call, prints its response, and resumes it if a router fails.",
    Send);

}  // namespace

}  // namespace buckthornpath
