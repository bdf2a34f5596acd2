/** @file http_type.h HTTP requests and responses without the library. */

#ifndef SRC_KERNEL_HTTP_TYPE_H_
#define SRC_KERNEL_HTTP_TYPE_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornpath {

/** Header fields in order; names compare without regard to case. */
class HttpHeaders {
 public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> list)
      : fields(list) {}

  void Set(std::string name, std::string value);

  /** @return The first value under a name, or nothing. */
  std::optional<std::string> Find(std::string_view name) const;

  const std::vector<std::pair<std::string, std::string>>& Fields() const {
    return this->fields;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields;
};

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;

  /** @return The target without its query. */
  std::string_view Path() const;

  /** @return The value of a query parameter, percent-decoding left out. */
  std::optional<std::string> Query(std::string_view name) const;
};

struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

/** The other side broke the protocol, closed early or did not answer. */
class HttpError : public std::runtime_error {
 public:
  using runtime_error::runtime_error;
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_HTTP_TYPE_H_
