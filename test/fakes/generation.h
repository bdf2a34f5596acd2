/** @file generation.h Deterministic output of a fake model engine. */

#ifndef TEST_FAKES_GENERATION_H_
#define TEST_FAKES_GENERATION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornpath {

/** @return The words of all messages of a chat completion request. */
std::vector<std::string> PromptTokens(const std::string& body);

/** @return Number of tokens that a request asks for. */
std::size_t TokensWanted(const std::string& body);

/** @return True if a request asks for a usage event at the end. */
bool RequestsUsage(const std::string& body);

/** @return Hash of a prompt, from which its output is generated. */
std::uint64_t PromptHash(const std::vector<std::string>& prompt);

/** @return The token at a position from 0, without its trailing space. */
std::string GeneratedWord(std::uint64_t prompt_hash, std::size_t index);

/**
 * @param index Position in the output, from 0.
 * @return The token at that position, a function of the prompt only.
 */
std::string GeneratedToken(const std::vector<std::string>& prompt,
                           std::size_t index);

/** @return Data of the event of one token. */
std::string TokenEvent(const std::string& token);

/** @return Data of the usage event of a request. */
std::string UsageEvent(std::size_t prompt_tokens,
                       std::size_t completion_tokens,
                       std::size_t cached_tokens);

}  // namespace buckthornpath

#endif  // TEST_FAKES_GENERATION_H_
