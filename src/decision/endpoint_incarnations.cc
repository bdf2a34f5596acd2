/** @file endpoint_incarnations.cc Whether a connection leads to the process
 * that an endpoint's entry describes. */

#include "buckthornpath/endpoint_incarnations.h"

#include <algorithm>

namespace buckthornpath {

void EndpointIncarnations::RecordCurrent(TimePoint as_of) {
  this->current_as_of = std::max(this->current_as_of.value_or(as_of), as_of);
}

void EndpointIncarnations::RecordEnd(const EndpointId& endpoint,
                                     TimePoint now) {
  this->ended_at[endpoint] = now;
}

bool EndpointIncarnations::MayBeAnother(const EndpointId& endpoint,
                                        TimePoint opened_at) {
  if (!this->IsConfirmed(opened_at))
    return this->MayHaveEnded(endpoint);
  const auto ended = this->ended_at.find(endpoint);
  if (ended != this->ended_at.end() && opened_at > ended->second)
    this->ended_at.erase(ended);
  return false;
}

}  // namespace buckthornpath
