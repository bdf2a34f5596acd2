/** @file url_text.h Text in the targets of HTTP requests (RFC 3986). */

#ifndef SRC_KERNEL_URL_TEXT_H_
#define SRC_KERNEL_URL_TEXT_H_

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace buckthornpath {

/** Name and value of a query parameter, not encoded. */
using QueryField = std::pair<std::string_view, std::string_view>;

/** @return The target of a request: the path, which is encoded already, and
 * the query with all but unreserved characters escaped. */
std::string MakeTarget(std::string_view path,
                       std::initializer_list<QueryField> query);

/** @return The text as part of a path; all but unreserved characters and
 * slashes are escaped. */
std::string EncodePath(std::string_view text);

/** @return The text without its escapes; nothing if one is malformed. */
std::optional<std::string> DecodeUrlText(std::string_view text);

/** @return True if a name has at least one character, and none but letters,
 * digits, '-', '.', '_' and '~'. Such a name stands for itself in a request
 * target, in a header field and in a label of a metric. */
bool IsPlainName(std::string_view name);

/** What is wrong with a name that is not plain, for a log line. */
inline constexpr std::string_view kNotPlainName =
    "is empty or has characters other than letters, digits and -._~";

}  // namespace buckthornpath

#endif  // SRC_KERNEL_URL_TEXT_H_
