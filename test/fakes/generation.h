/** @file generation.h What a fake model engine answers to a prompt. */

#ifndef TEST_FAKES_GENERATION_H_
#define TEST_FAKES_GENERATION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornpath {

/** @return The words of all messages of a chat completion request. */
std::vector<std::string> PromptTokens(const std::string& body);

/** @return How many tokens a request asks for. */
std::size_t TokensWanted(const std::string& body);

/** @return True if a request asks for a last event that counts its tokens. */
bool WantsUsage(const std::string& body);

/** @return A number that stands for a prompt in the functions below. */
std::uint64_t PromptHash(const std::vector<std::string>& prompt);

/** @return The token at a position, counted from 0, without its space. */
std::string GeneratedWord(std::uint64_t prompt_hash, std::size_t index);

/**
 * @param index Position in the answer, from 0.
 * @return The token at that position; the same for the same prompt.
 */
std::string GeneratedToken(const std::vector<std::string>& prompt,
                           std::size_t index);

/** @return The data of the event that carries one token. */
std::string TokenEvent(const std::string& token);

/** @return The data of the event that counts a request's tokens. */
std::string UsageEvent(std::size_t prompt_tokens,
                       std::size_t completion_tokens,
                       std::size_t cached_tokens);

}  // namespace buckthornpath

#endif  // TEST_FAKES_GENERATION_H_
