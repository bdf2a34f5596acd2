/** @file chat_book.cc Chat histories, and the prompt tokens that a cache could
 * reuse. */

#include "chat_book.h"

#include <xxhash.h>

#include "fakes/generation.h"

namespace buckthornpath {

namespace {

constexpr std::size_t kBlockTokens = 16;
constexpr std::size_t kTurnsPerChat = 8;
constexpr int kSystemWords = 128;
constexpr int kQuestionWords = 48;

std::string Words(const std::string& prefix, int count) {
  std::string text;
  for (int i = 0; i < count; ++i)
    text += prefix + std::to_string(i) + " ";
  return text;
}

/** @return A hash for each full block of the prompt, over the prompt up to its
 * end. */
std::vector<std::uint64_t> HashBlocks(const std::vector<std::string>& prompt) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    hash = XXH3_64bits_withSeed(prompt[i].data(), prompt[i].size(), hash);
    if ((i + 1) % kBlockTokens == 0)
      blocks.push_back(hash);
  }
  return blocks;
}

}  // namespace

ChatBook::ChatBook(bool callers_echo) : callers_echo(callers_echo) {
  for (const BenchOrganisation& organisation : BenchOrganisations())
    this->chats.emplace_back(organisation.chats);
}

PreparedTurn ChatBook::Begin(const Turn& turn) {
  const std::lock_guard lock(this->mutex);
  std::vector<Chat>& organisation_chats = this->chats.at(turn.organisation);
  std::size_t index = turn.chat;
  if (organisation_chats.at(index).busy) {
    index = organisation_chats.size();
    organisation_chats.emplace_back();
  }
  Chat& chat = organisation_chats.at(index);
  const std::string& organisation =
      BenchOrganisations().at(turn.organisation).name;
  const std::string name = organisation + "-" + std::to_string(index) + "-" +
                           std::to_string(chat.generation);
  if (chat.turns == 0) {
    chat.messages = {{{"role", "system"},
                      {"content", Words(organisation + "-s", kSystemWords)}}};
  }
  const std::string question =
      Words(name + "-t" + std::to_string(chat.turns) + "-", kQuestionWords);
  nlohmann::json messages = chat.messages;
  messages.push_back({{"role", "user"}, {"content", question}});
  PreparedTurn prepared;
  prepared.index = index;
  prepared.chat = name;
  prepared.location = chat.location;
  prepared.body = nlohmann::json{{"messages", messages},
                                 {"max_tokens", turn.rank.answer_tokens},
                                 {"stream", true},
                                 {"stream_options", {{"include_usage", true}}}}
                      .dump();
  prepared.blocks = HashBlocks(PromptTokens(prepared.body));
  for (const std::uint64_t block : prepared.blocks) {
    if (this->cached_blocks.count(block) == 0)
      break;
    prepared.ideal_tokens += kBlockTokens;
  }
  chat.busy = true;
  return prepared;
}

void ChatBook::End(const Turn& turn,
                   const PreparedTurn& prepared,
                   const std::string& answer,
                   const std::string& location,
                   bool finished) {
  const std::lock_guard lock(this->mutex);
  Chat& chat = this->chats.at(turn.organisation).at(prepared.index);
  chat.busy = false;
  if (!finished)
    return;
  this->cached_blocks.insert(prepared.blocks.begin(), prepared.blocks.end());
  chat.messages = nlohmann::json::parse(prepared.body).at("messages");
  chat.messages.push_back({{"role", "assistant"}, {"content", answer}});
  if (this->callers_echo)
    chat.location = location;
  if (++chat.turns < kTurnsPerChat)
    return;
  const std::size_t generation = chat.generation + 1;
  chat = Chat();
  chat.generation = generation;
}

}  // namespace buckthornpath
