/** @file cbor.cc Reads CBOR that may come from anywhere. */

#include "kernel/cbor.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

constexpr int kMaxDepth = 32;

/** Identifies the exception among those of the library. */
constexpr int kTooDeepId = 408;

/** Builds a value and stops at values that are nested too deep. */
class ShallowParser : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<json>;

  explicit ShallowParser(json& root) : Base(root, true) {}

  // The names below are those that the library calls.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_object(std::size_t count) {
    return ++this->depth <= kMaxDepth && Base::start_object(count);
  }
  bool end_object() {
    --this->depth;
    return Base::end_object();
  }
  bool start_array(std::size_t count) {
    return ++this->depth <= kMaxDepth && Base::start_array(count);
  }
  bool end_array() {
    --this->depth;
    return Base::end_array();
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  int depth = 0;
};

}  // namespace

json ParseCbor(std::string_view bytes) {
  json parsed;
  ShallowParser parser(parsed);
  if (!json::sax_parse(bytes.begin(), bytes.end(), &parser,
                       json::input_format_t::cbor)) {
    throw json::out_of_range::create(kTooDeepId, "nested too deep", nullptr);
  }
  return parsed;
}

}  // namespace buckthornpath
