/** @file peer_snapshot.h All published items of another gateway. */

#ifndef SRC_GATEWAY_PEER_SNAPSHOT_H_
#define SRC_GATEWAY_PEER_SNAPSHOT_H_

#include <chrono>
#include <string>

#include "gateway/platform_adapter.h"
#include "kernel/socket_address.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** Path at which a gateway serves its items. */
inline constexpr char kSnapshotPath[] = "/fleet/published";

/** @return The items as CBOR. */
std::string EncodeSnapshot(const PublishedItems& all);

/**
 * Reads the items of another gateway.
 * @param timeout Limit of each step.
 * @throws std::exception If it does not answer with a snapshot.
 */
asio::awaitable<PublishedItems> FetchSnapshot(
    SocketAddress peer,
    std::chrono::milliseconds timeout);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_PEER_SNAPSHOT_H_
