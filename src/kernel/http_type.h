/** @file http_type.h HTTP requests and responses, independent of the library.
 */

#ifndef SRC_KERNEL_HTTP_TYPE_H_
#define SRC_KERNEL_HTTP_TYPE_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornpath {

/** Ordered header fields; names are case-insensitive. */
class HttpHeaders {
 public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> list)
      : fields(list) {}

  /** Appends a field, also if the name is present already. */
  void Append(std::string name, std::string value);

  /** @return The value of the first field of a name, or nothing. */
  std::optional<std::string> Find(std::string_view name) const;

  const std::vector<std::pair<std::string, std::string>>& Fields() const {
    return this->fields;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields;
};

/** @return True if a text can be the value of a header field as it is: it has
 * no control characters, and no blank at its ends, which a reader removes. */
bool IsFieldValue(std::string_view text);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;

  /** @return The target without its query. */
  std::string_view Path() const;

  /** @return The decoded value of a query parameter; nothing if it is missing
   * or its percent-encoding is malformed. */
  std::optional<std::string> QueryParameter(std::string_view name) const;
};

struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

/** The peer broke the protocol, closed early or did not respond in time. */
class HttpError : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_HTTP_TYPE_H_
