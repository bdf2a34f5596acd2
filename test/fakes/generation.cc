/** @file generation.cc Deterministic output of a fake model engine. */

#include "fakes/generation.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <sstream>

namespace buckthornpath {

namespace {

constexpr std::size_t kDefaultMaxTokens = 16;

}  // namespace

std::vector<std::string> PromptTokens(const std::string& body) {
  std::vector<std::string> tokens;
  const auto request = nlohmann::json::parse(body);
  for (const auto& message : request.at("messages")) {
    std::istringstream words(message.at("content").get<std::string>());
    for (std::string word; words >> word;)
      tokens.push_back(word);
  }
  return tokens;
}

std::size_t TokensWanted(const std::string& body) {
  return nlohmann::json::parse(body).value("max_tokens", kDefaultMaxTokens);
}

bool RequestsUsage(const std::string& body) {
  const auto request = nlohmann::json::parse(body);
  const auto options = request.find("stream_options");
  return options != request.end() && options->value("include_usage", false);
}

std::uint64_t PromptHash(const std::vector<std::string>& prompt) {
  XXH64_hash_t hash = 0;
  for (const std::string& token : prompt) {
    hash = XXH3_64bits_withSeed(token.data(), token.size(), hash);
  }
  return hash;
}

std::string GeneratedWord(std::uint64_t prompt_hash, std::size_t index) {
  const XXH64_hash_t hash =
      XXH3_64bits_withSeed(&index, sizeof(index), prompt_hash);
  std::ostringstream text;
  text << "w" << std::hex << (hash & 0xffffU);
  return text.str();
}

std::string GeneratedToken(const std::vector<std::string>& prompt,
                           std::size_t index) {
  return GeneratedWord(PromptHash(prompt), index) + " ";
}

std::string TokenEvent(const std::string& token) {
  const nlohmann::ordered_json event = {
      {"object", "chat.completion.chunk"},
      {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
  return event.dump();
}

std::string UsageEvent(std::size_t prompt_tokens,
                       std::size_t completion_tokens,
                       std::size_t cached_tokens) {
  const nlohmann::ordered_json event = {
      {"object", "chat.completion.chunk"},
      {"choices", nlohmann::json::array()},
      {"usage",
       {{"prompt_tokens", prompt_tokens},
        {"completion_tokens", completion_tokens},
        {"prompt_tokens_details", {{"cached_tokens", cached_tokens}}}}}};
  return event.dump();
}

}  // namespace buckthornpath
