/** @file request_class.cc Classification and admission of requests. */

#include "gateway/request_class.h"

#include <xxhash.h>

#include <algorithm>
#include <cctype>

#include "kernel/log.h"

namespace buckthornpath {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

std::string HostOf(const CallerRequest& request) {
  std::string host(request[http::field::host]);
  if (const std::size_t colon = host.rfind(':'); colon != std::string::npos)
    host.resize(colon);
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return host;
}

/**
 * @return Hash that selects the service: of the last but one prompt segment, so
 * that requests that share it use the same service, or else of the request id.
 */
std::uint64_t AffinityHash(const CallerMetadata& metadata) {
  if (metadata.segments.size() >= 2) {
    return XXH3_64bits(&metadata.segments[metadata.segments.size() - 2].id,
                       sizeof(std::uint64_t));
  }
  return XXH3_64bits(metadata.request_id.data(), metadata.request_id.size());
}

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/** @return Hash of what an endpoint computes on. Repetitions of a request have
 * the same; their ids, deadlines and Last-Event-Id are left out. */
std::uint64_t FingerprintOf(const CallerRequest& request,
                            const CallerMetadata& metadata) {
  const std::uint64_t own_segment =
      metadata.segments.empty() ? 0 : metadata.segments.back().id;
  const auto method = request.method_string();
  const auto target = request.target();
  std::uint64_t hash = Hash({method.data(), method.size()}, own_segment);
  hash = Hash({target.data(), target.size()}, hash);
  return Hash(request.body().Text(), hash);
}

RequestSignature SignatureOf(const CallerRequest& request,
                             const CallerMetadata& metadata) {
  RequestSignature signature;
  signature.fingerprint = FingerprintOf(request, metadata);
  for (std::size_t i = 0; i + 1 < metadata.segments.size(); ++i)
    signature.segments.push_back(metadata.segments[i].id);
  return signature;
}

std::optional<Refusal> FindOrganisation(const RoutingTable& table,
                                        RequestClass& result) {
  if (!result.route->requires_api_key || !table.RequiresApiKeys())
    return std::nullopt;
  const Organisation* organisation =
      table.FindByApiKey(result.metadata.api_key);
  if (organisation == nullptr)
    return Refusal{kUnauthorized, "unknown_key"};
  result.organisation = organisation->id;
  result.priority = organisation->priority.value_or(result.priority);
  return std::nullopt;
}

}  // namespace

std::optional<Refusal> ClassifyRequest(const PlatformAdapter& adapter,
                                       const RoutingTable* table,
                                       const CallerRequest& request,
                                       RequestClass& result) {
  if (table == nullptr)
    return Refusal{kUnavailable, "no_configuration"};
  try {
    result.metadata = adapter.ParseCallerHeader(request.base());
  } catch (const MalformedRequest& error) {
    LogLine(LogLevel::kInfo, "request_malformed", {{"reason", error.what()}});
    return Refusal{kBadRequest, "malformed"};
  }
  if (request.count(http::field::host) != 1)
    return Refusal{kBadRequest, "malformed"};
  const std::string_view target(request.target().data(),
                                request.target().size());
  result.route =
      table->Match(HostOf(request), target.substr(0, target.find('?')));
  if (result.route == nullptr)
    return Refusal{kNotFound, "no_route"};
  result.priority = result.route->priority;
  result.service = result.route->ServiceFor(AffinityHash(result.metadata));
  result.signature = SignatureOf(request, result.metadata);
  return FindOrganisation(*table, result);
}

}  // namespace buckthornpath
