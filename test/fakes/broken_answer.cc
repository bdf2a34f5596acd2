/** @file broken_answer.cc Bytes that a lenient parser takes for a response. */

#include "fakes/broken_answer.h"

#include <sstream>
#include <utility>

namespace buckthornpath {

namespace {

/** @return Responses that hold one line more each. */
std::vector<BrokenAnswer> WithFieldLines(
    const std::vector<std::string>& lines) {
  std::vector<BrokenAnswer> answers;
  for (const std::string& line : lines) {
    BrokenAnswer answer;
    answer.name = "field line '" + line + "'";
    answer.fields = line + "\r\n";
    answers.push_back(answer);
  }
  return answers;
}

}  // namespace

std::string BrokenAnswer::Format(const std::string& more_fields) const {
  std::ostringstream text;
  text << this->status_line << "\r\n" << more_fields << this->fields;
  switch (this->framing) {
    case Framing::kLength:
      text << "Content-Length: " << this->body.size() << "\r\n\r\n"
           << this->body;
      break;
    case Framing::kChunked:
      text << "\r\n"
           << std::hex << this->body.size() << "\r\n"
           << this->body << "\r\n0\r\n\r\n";
      break;
    case Framing::kAsStated:
      text << "\r\n" << this->body;
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
      {{"chunked, chunked"}, Framing::kAsStated},
      {{"chunked, gzip"}, Framing::kAsStated},
      {{"gzip"}, Framing::kAsStated},
      {{"identity"}, Framing::kAsStated},
      {{"xchunked"}, Framing::kAsStated},
      {{"\"chunked\""}, Framing::kAsStated},
      {{""}, Framing::kAsStated},
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

std::vector<BrokenAnswer> ContentCodings() {
  return WithFieldLines({"Content-Encoding: gzip", "Content-Encoding: br",
                         "Content-Encoding: identity, gzip"});
}

std::vector<BrokenAnswer> InvalidStatusLines() {
  std::vector<BrokenAnswer> answers;
  for (const char* line :
       {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20x OK",
        "HTTP/1.1 +20 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
        "HTTP/1.1 200OK", "HTTP/2.0 200 OK", "HTTP/1.10 200 OK",
        "HTTP/0.9 200 OK", "http/1.1 200 OK", "ICY 200 OK", " HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 OK\nX: y"}) {
    BrokenAnswer answer;
    answer.name = line;
    answer.status_line = line;
    answers.push_back(answer);
  }
  return answers;
}

std::vector<BrokenAnswer> InvalidFieldNames() {
  return WithFieldLines({"X Y: 1", "X : 1", "X\t: 1", "X\x01: 1", "X\x1f: 1",
                         "X\x7f: 1", "X\rY: 1", "X\nY: 1",
                         std::string("X") + '\0' + ": 1", "Content-Length : 4",
                         "Transfer-Encoding : chunked", " X: 1", "\tX: 1",
                         " Transfer-Encoding: chunked"});
}

std::vector<BrokenAnswer> InvalidFieldLines() {
  return WithFieldLines({": 1", "X", "X 1", "X(: 1", "X@: 1", "X/Y: 1",
                         "X\x80: 1", "X\xff: 1", "X: \x01", "X: 1\x7f",
                         "X: 1\rY: 2", "X: 1\nY: 2", "X: 1\r\r",
                         std::string("X: 1") + '\0'});
}

std::vector<BrokenAnswer> InvalidLengths() {
  std::vector<BrokenAnswer> answers;
  for (const std::string& fields : std::vector<std::string>{
           "Content-Length: +21\r\n", "Content-Length: -21\r\n",
           "Content-Length: 0x15\r\n", "Content-Length: 21.0\r\n",
           "Content-Length: 2 1\r\n", "Content-Length: 21;\r\n",
           "Content-Length: \r\n", "Content-Length: 21, 4\r\n",
           "Content-Length: 21\r\nContent-Length: 4\r\n",
           "Content-Length: 18446744073709551637\r\n", "Content-Length: 22\r\n",
           "Content-Length: 21\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: chunked\r\nContent-Length: 21\r\n"}) {
    BrokenAnswer answer;
    answer.name = fields;
    answer.fields = fields;
    answer.framing = BrokenAnswer::Framing::kAsStated;
    answers.push_back(answer);
  }
  return answers;
}

std::vector<BrokenAnswer> InvalidChunks() {
  // What stands before and after the data of the chunk, which is 0x15 long.
  const std::vector<std::pair<std::string, std::string>> frames = {
      {"+15\r\n", "\r\n0\r\n\r\n"},
      {"0x15\r\n", "\r\n0\r\n\r\n"},
      {" 15\r\n", "\r\n0\r\n\r\n"},
      {"15 \r\n", "\r\n0\r\n\r\n"},
      {"15;\r\n", "\r\n0\r\n\r\n"},
      {"15;\x01\r\n", "\r\n0\r\n\r\n"},
      {"15\n", "\n0\n\n"},
      {";x\r\n", "\r\n0\r\n\r\n"},
      {"10000000000000015\r\n", "\r\n0\r\n\r\n"},
      {"14\r\n", "\r\n0\r\n\r\n"},
      {"15\r\n", "0\r\n\r\n"},
      {"15\r\n", "\n0\r\n\r\n"},
      {"15\r\n", "\r\n"},
      {"15\r\n", "\r\n0\r\n"},
      {"15\r\n", "\r\n0\n\n"},
      {"15\r\n", "\r\n0\r\nX Y: 1\r\n\r\n"},
      {"16\r\n", ""}};
  std::vector<BrokenAnswer> answers;
  for (const auto& [before, after] : frames) {
    BrokenAnswer answer;
    answer.fields = "Transfer-Encoding: chunked\r\n";
    answer.framing = BrokenAnswer::Framing::kAsStated;
    answer.body.insert(0, before).append(after);
    answer.name = answer.body;
    answers.push_back(answer);
  }
  return answers;
}

}  // namespace buckthornpath
