/** @file strong_id_type.h Identifiers of distinct types. */

#ifndef BUCKTHORNPATH_STRONG_ID_TYPE_H_
#define BUCKTHORNPATH_STRONG_ID_TYPE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace buckthornpath {

/** String identifier; identifiers with different tags do not convert into each
 * other. */
template <class Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : text(std::move(text)) {}

  const std::string& str() const { return this->text; }
  bool empty() const { return this->text.empty(); }

  auto operator<=>(const StrongId&) const = default;

 private:
  std::string text;
};

using VmId = StrongId<struct VmIdTag>;
using FailureDomainId = StrongId<struct FailureDomainIdTag>;
using OrganisationId = StrongId<struct OrganisationIdTag>;
using EndpointId = StrongId<struct EndpointIdTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using ModelName = StrongId<struct ModelNameTag>;
using ProfileName = StrongId<struct ProfileNameTag>;
using ChatId = StrongId<struct ChatIdTag>;
using RequestId = StrongId<struct RequestIdTag>;

/** Identifies one run of a process; changes with each restart. */
enum class Incarnation : std::uint64_t {};

/** Version number of a published document; increases with each version. */
enum class Revision : std::uint64_t {};

}  // namespace buckthornpath

template <class Tag>
struct std::hash<buckthornpath::StrongId<Tag>> {
  std::size_t operator()(const buckthornpath::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.str());
  }
};

#endif  // BUCKTHORNPATH_STRONG_ID_TYPE_H_
