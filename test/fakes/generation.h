/** @file generation.h What a fake model engine answers to a prompt. */

#ifndef TEST_FAKES_GENERATION_H_
#define TEST_FAKES_GENERATION_H_

#include <cstddef>
#include <string>
#include <vector>

namespace buckthornpath {

/** @return The words of all messages of a chat completion request. */
std::vector<std::string> PromptTokens(const std::string& body);

/** @return How many tokens a request asks for. */
std::size_t TokensWanted(const std::string& body);

/**
 * @param index Position in the answer, from 0.
 * @return The token at that position; the same for the same prompt.
 */
std::string GeneratedToken(const std::vector<std::string>& prompt,
                           std::size_t index);

/** @return The data of the event that carries one token. */
std::string TokenEvent(const std::string& token);

}  // namespace buckthornpath

#endif  // TEST_FAKES_GENERATION_H_
