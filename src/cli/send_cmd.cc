/** @file send_cmd.cc Sends one call and prints its response. */

#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/caller_options.h"
#include "cli/http_call.h"
#include "cli/resumable_call.h"

namespace buckthornpath {

namespace {

/** Prints the chunks of a response as they arrive. */
class ResponsePrinter {
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

void SetTargetAndBody(const CommandOptions& options, HttpRequest& request) {
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

void PrintCachedTokens(const nlohmann::json& usage) {
  const nlohmann::json::json_pointer cached(
      "/prompt_tokens_details/cached_tokens");
  if (!usage.is_object() || !usage.contains(cached))
    return;
  std::cerr << "cached: " << usage.at(cached) << " of "
            << usage.value("prompt_tokens", 0) << " prompt tokens\n";
}

CommandResult PrintResult(const CallResult& call_result) {
  std::cout << "\n";
  std::cerr << "outcome: " << call_result.outcome << "\n"
            << "complete: " << (call_result.complete ? "yes" : "no") << "\n"
            << "chunks: " << call_result.chunk_count << "\n"
            << "router: " << call_result.router << "\n"
            << "resumed: " << call_result.resume_count << "\n";
  if (!call_result.location.empty())
    std::cerr << "location: " << call_result.location << "\n";
  if (!call_result.problem.empty())
    std::cerr << "problem: " << call_result.problem << "\n";
  if (!call_result.complete && !call_result.connection_error.empty())
    std::cerr << "fault: " << call_result.connection_error << "\n";
  return call_result.complete ? CommandResult::kSuccess
                              : CommandResult::kFailure;
}

CommandResult Send(const CommandOptions& options) {
  const auto given_ticket = options.Text("--ticket");
  const std::string ticket =
      given_ticket ? *given_ticket : RequestTicket(options);
  HttpRequest request = MakeCallerRequest(options);
  request.headers.Append("Idempotency-Key", ticket);
  SetTargetAndBody(options, request);
  std::cerr << "ticket: " << ticket << "\n";
  ResponsePrinter printer;
  ResumableCall call(
      RouterAddresses(options), std::move(request),
      [&printer](const std::string& data) { printer.Print(data); });
  CallResult call_result;
  RunBlocking(
      [&]() -> asio::awaitable<void> { call_result = co_await call.Run(); }());
  const CommandResult result = PrintResult(call_result);
  PrintCachedTokens(printer.Usage());
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
