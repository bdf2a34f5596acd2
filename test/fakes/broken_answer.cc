/** @file broken_answer.cc Bytes that a lenient parser takes for a response. */

#include "fakes/broken_answer.h"

#include <sstream>
#include <utility>

namespace buckthornpath {

std::string BrokenAnswer::Format(const std::string& more_fields) const {
  const std::string body = kBrokenBody;
  std::ostringstream text;
  text << this->status_line << "\r\n" << more_fields << this->fields;
  switch (this->framing) {
    case Framing::kLength:
      text << "Content-Length: " << body.size() << "\r\n\r\n" << body;
      break;
    case Framing::kChunked:
      text << "\r\n"
           << std::hex << body.size() << "\r\n"
           << body << "\r\n0\r\n\r\n";
      break;
    case Framing::kClose:
      text << "\r\n" << body;
      break;
  }
  return text.str();
}

std::vector<std::string> InterimHeads(const std::string& fields) {
  const std::string hint = "Link: </not-an-answer>; rel=preload\r\n";
  return {"HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 102 Processing\r\n" + fields + "\r\n",
          "HTTP/1.1 103 Early Hints\r\n" + fields + hint + "\r\n",
          // Such a response has no body, whatever its fields say.
          "HTTP/1.1 100 Continue\r\n" + fields + "Content-Length: 5\r\n\r\n",
          "HTTP/1.1 199 X\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n"};
}

std::string WithTrailer(const std::string& fields,
                        const std::string& body,
                        const std::string& trailer) {
  std::ostringstream text;
  text << "HTTP/1.1 200 OK\r\n"
       << fields << "Transfer-Encoding: chunked\r\n\r\n"
       << std::hex << body.size() << "\r\n"
       << body << "\r\n0\r\n"
       << trailer << "\r\n";
  return text.str();
}

std::vector<BrokenAnswer> InvalidStatuses() {
  std::vector<BrokenAnswer> answers;
  // 101 accepts an upgrade, for which none of our requests asks.
  for (const char* code : {"000", "001", "099", "101", "600", "999"}) {
    BrokenAnswer answer;
    answer.name = std::string("status ") + code;
    answer.status_line = std::string("HTTP/1.1 ") + code + " X";
    answers.push_back(answer);
  }
  return answers;
}

std::vector<BrokenAnswer> InvalidTransferCodings() {
  using Framing = BrokenAnswer::Framing;
  const std::vector<std::pair<std::vector<std::string>, Framing>> codings = {
      {{"gzip, chunked"}, Framing::kChunked},
      {{"gzip", "chunked"}, Framing::kChunked},
      {{"identity, chunked"}, Framing::kChunked},
      {{"chunked chunked"}, Framing::kChunked},
      {{"chunked;q=1"}, Framing::kChunked},
      {{"chunked, chunked"}, Framing::kClose},
      {{"chunked, gzip"}, Framing::kClose},
      {{"gzip"}, Framing::kClose},
      {{"identity"}, Framing::kClose},
      {{"xchunked"}, Framing::kClose},
      {{"\"chunked\""}, Framing::kClose},
      {{""}, Framing::kClose},
      {{"gzip"}, Framing::kLength}};
  std::vector<BrokenAnswer> answers;
  for (const auto& [lines, framing] : codings) {
    BrokenAnswer answer;
    for (const std::string& line : lines)
      answer.fields += "Transfer-Encoding: " + line + "\r\n";
    answer.name = answer.fields;
    answer.framing = framing;
    answers.push_back(answer);
  }
  BrokenAnswer old_version;
  old_version.name = "chunks in HTTP/1.0";
  old_version.status_line = "HTTP/1.0 200 OK";
  old_version.fields = "Transfer-Encoding: chunked\r\n";
  old_version.framing = Framing::kChunked;
  answers.push_back(old_version);
  return answers;
}

}  // namespace buckthornpath
