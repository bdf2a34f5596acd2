/** @file strong_id_type.h Names of the parts of a fleet as distinct types. */

#ifndef BUCKTHORNPATH_STRONG_ID_TYPE_H_
#define BUCKTHORNPATH_STRONG_ID_TYPE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace buckthornpath {

/** A name that cannot be mixed up with a name of another kind. */
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

/** One life of a process; a restarted process has another. */
enum class Incarnation : std::uint64_t {};

/** Version of a published document; a later version has a higher number. */
enum class Revision : std::uint64_t {};

}  // namespace buckthornpath

template <class Tag>
struct std::hash<buckthornpath::StrongId<Tag>> {
  std::size_t operator()(const buckthornpath::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.str());
  }
};

#endif  // BUCKTHORNPATH_STRONG_ID_TYPE_H_
