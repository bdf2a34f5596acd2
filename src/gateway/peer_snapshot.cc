/** @file peer_snapshot.cc All published items of another gateway. */

#include "gateway/peer_snapshot.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "kernel/cbor.h"
#include "kernel/http_client.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;

/** @throws json::exception If the value is not a snapshot of items. */
PublishedItems DecodeItems(const json& value) {
  PublishedItems all;
  all.revision = {value.value("era", std::uint64_t{0}),
                  value.at("revision").get<std::uint64_t>()};
  for (const json& entry : value.at("items")) {
    const auto& bytes = entry.at(1).get_binary();
    // Older gateways know no eras.
    const auto era =
        entry.size() > 3 ? entry.at(3).get<std::uint64_t>() : std::uint64_t{0};
    all.items.push_back({entry.at(0).get<std::string>(),
                         std::string(bytes.begin(), bytes.end()),
                         {era, entry.at(2).get<std::uint64_t>()},
                         false});
  }
  return all;
}

}  // namespace

std::string EncodeSnapshot(const PublishedItems& all) {
  json items = json::array();
  for (const PublishedItem& item : all.items) {
    items.push_back({item.key,
                     json::binary({item.value.begin(), item.value.end()}),
                     item.revision.number, item.revision.era});
  }
  const json snapshot = {{"era", all.revision.era},
                         {"revision", all.revision.number},
                         {"items", std::move(items)}};
  std::string bytes;
  json::to_cbor(snapshot, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

asio::awaitable<PublishedItems> FetchSnapshot(
    SocketAddress peer,
    std::chrono::milliseconds timeout) {
  HttpRequest request;
  request.target = kSnapshotPath;
  const HttpResponse response =
      co_await HttpFetch(peer, std::move(request), timeout);
  if (response.status != kOk) {
    throw HttpError("snapshot request: expected status 200, got " +
                    std::to_string(response.status));
  }
  co_return DecodeItems(ParseCbor(response.body));
}

}  // namespace buckthornpath
