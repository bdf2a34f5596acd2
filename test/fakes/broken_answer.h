/** @file broken_answer.h Bytes that a lenient parser takes for a response. */

#ifndef TEST_FAKES_BROKEN_ANSWER_H_
#define TEST_FAKES_BROKEN_ANSWER_H_

#include <string>
#include <vector>

namespace buckthornpath {

/** Body of all broken answers, which must reach no caller. */
inline constexpr const char* kBrokenBody = "data: not-an-answer\n\n";

/** A response that breaks a rule of RFC 9110 or RFC 9112. */
struct BrokenAnswer {
  /** How the end of the body is told. */
  enum class Framing {
    kLength,   ///< By a Content-Length field, which is added.
    kChunked,  ///< By chunks; the test states the Transfer-Encoding field.
    kAsStated  ///< By the fields, or by the end of the connection.
  };

  std::string name;
  std::string status_line = "HTTP/1.1 200 OK";
  std::string fields;  ///< Field lines with their CRLF.
  Framing framing = Framing::kLength;
  std::string body = kBrokenBody;

  /**
   * @param more_fields Field lines of a sound answer to the request.
   * @return The bytes of the response.
   */
  std::string Format(const std::string& more_fields) const;
};

/** @return Heads of interim responses, to be sent before the final one.
 * @param fields Field lines of a sound answer to the request. */
std::vector<std::string> InterimHeads(const std::string& fields);

/** @return A sound chunked response with field lines before and after its body.
 */
std::string WithTrailer(const std::string& fields,
                        const std::string& body,
                        const std::string& trailer);

/** @return Responses whose status code is none that ends an exchange. */
std::vector<BrokenAnswer> InvalidStatuses();

/** @return Responses whose body has a transfer coding other than chunked, or
 * whose Transfer-Encoding field is malformed or not allowed. */
std::vector<BrokenAnswer> InvalidTransferCodings();

/** @return Responses whose body has a content coding. */
std::vector<BrokenAnswer> ContentCodings();

/** @return Responses whose status line is malformed. */
std::vector<BrokenAnswer> InvalidStatusLines();

/** @return Responses in whose head the name of a field holds a blank or a
 * control byte. */
std::vector<BrokenAnswer> InvalidFieldNames();

/** @return Responses in whose head a line is no field, or the value of a field
 * holds a control byte. */
std::vector<BrokenAnswer> InvalidFieldLines();

/** @return Responses whose length is malformed or stated in two ways. */
std::vector<BrokenAnswer> InvalidLengths();

/** @return Responses whose chunks are malformed or break off. */
std::vector<BrokenAnswer> InvalidChunks();

}  // namespace buckthornpath

#endif  // TEST_FAKES_BROKEN_ANSWER_H_
