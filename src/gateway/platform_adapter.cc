/** @file platform_adapter.cc Registration of the platform adapter. */

#include "gateway/platform_adapter.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace buckthornpath {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

const PlatformAdapter*& LinkedAdapter() {
  static const PlatformAdapter* adapter = nullptr;
  return adapter;
}

}  // namespace

const PlatformAdapter& PlatformAdapter::Linked() {
  if (LinkedAdapter() == nullptr)
    throw std::logic_error("no platform adapter is linked in");
  return *LinkedAdapter();
}

void PlatformAdapter::Register() {
  LinkedAdapter() = this;
}

bool IsHopByHopField(const HeaderFields& header,
                     const HeaderFields::value_type& field) {
  constexpr std::array kFields = {http::field::connection,
                                  http::field::keep_alive,
                                  http::field::proxy_connection,
                                  http::field::te,
                                  http::field::trailer,
                                  http::field::transfer_encoding,
                                  http::field::upgrade,
                                  http::field::content_length,
                                  http::field::proxy_authenticate,
                                  http::field::proxy_authorization,
                                  http::field::expect};
  if (std::find(kFields.begin(), kFields.end(), field.name()) != kFields.end())
    return true;
  const auto range = header.equal_range(http::field::connection);
  for (auto named = range.first; named != range.second; ++named) {
    if (http::token_list(named->value()).exists(field.name_string()))
      return true;
  }
  return false;
}

}  // namespace buckthornpath
