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

/** @return Gateways that are told of this gateway's streams later than the
 * witnesses: all others that a gateway knows, which are those of its failure
 * domain and the hubs of others. */
std::vector<std::string> GatewaysToCopyTo(const GatewayRoster& roster);

/** @return Gateways that a leader hands copies from other failure domains on
 * to, as those know only the hubs here: its members that are no hubs. Nothing
 * if this gateway is no leader. */
std::vector<std::string> GatewaysToRelayTo(const GatewayRoster& roster);

/** @return Gateways that are asked what has begun a stream: the hubs of all
 * failure domains; in a small fleet all gateways. */
std::vector<std::string> GatewaysToAsk(const GatewayRoster& roster);

/** @return Gateways that are asked if those do not know, as the hubs may have
 * started again: some other members of this failure domain. */
std::vector<std::string> GatewaysToAskNext(const GatewayRoster& roster);

}  // namespace buckthornpath

#endif  // BUCKTHORNPATH_STREAM_WITNESSES_H_
