/** @file cbor.cc CBOR parser for untrusted input. */

#include "kernel/cbor.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

constexpr int kMaxDepth = 32;

/** Id of the thrown json::out_of_range exception. */
constexpr int kNestingErrorId = 408;

/** Builds a value; stops parsing below kMaxDepth levels of nesting. */
class DepthLimitedParser : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<json>;

  explicit DepthLimitedParser(json& root) : Base(root, true) {}

  // The library prescribes the names of these functions.
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
  DepthLimitedParser parser(parsed);
  if (!json::sax_parse(bytes.begin(), bytes.end(), &parser,
                       json::input_format_t::cbor)) {
    throw json::out_of_range::create(
        kNestingErrorId, "CBOR nested more than 32 levels deep", nullptr);
  }
  return parsed;
}

}  // namespace buckthornpath
