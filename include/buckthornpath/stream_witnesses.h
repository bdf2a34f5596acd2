/** @file stream_witnesses.h Gateways that answer for the streams of another. */

#ifndef BUCKTHORNPATH_STREAM_WITNESSES_H_
#define BUCKTHORNPATH_STREAM_WITNESSES_H_

#include <string>
#include <vector>

#include "buckthornpath/gateway_roster.h"

namespace buckthornpath {

/**
 * @return Gateways that are told what begins this gateway's streams: the other
 * hubs of its failure domain, and the hubs of others as far as needed for two
 * witnesses; in a small fleet at least one in another failure domain.
 */
std::vector<std::string> StreamWitnesses(const GatewayRoster& roster);

/** @return Gateways that are asked what has begun a stream: the hubs of all
 * failure domains; in a small fleet all gateways. */
std::vector<std::string> GatewaysToAsk(const GatewayRoster& roster);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_STREAM_WITNESSES_H_
