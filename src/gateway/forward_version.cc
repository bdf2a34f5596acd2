/** @file forward_version.cc Finds the software version that has begun the
 * stream of a request. */

#include "gateway/entry_confirmation.h"
#include "gateway/forward_session.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kUnavailable = 503;

/** Limits of a route for which the tries of one caller last at most: it waits
 * until the limit of the first, and that of one that takes the stream up. */
constexpr int kStreamLimits = 2;

/** Limit of the wait for word of the store that nothing has been published
 * before a stream was taken up. */
constexpr milliseconds kMaxConfirmationWait{1700};
constexpr milliseconds kConfirmationCheckInterval{10};

/** Time for which gateways may differ in what is published. */
constexpr milliseconds kPublicationMargin{5000};

}  // namespace

asio::awaitable<std::optional<StreamOrigin>> ForwardSession::FindOrigin() {
  const std::string& request_id = this->request.metadata.resumes;
  if (request_id.empty())
    co_return std::nullopt;
  const StreamKey stream = StreamKeyOf(request_id);
  const StreamOrigins& origins = this->state.stream_origins;
  // What contradicts a copy may have reached other gateways only.
  if (!this->state.ask_stream_origin)
    co_return origins.Find(stream, Clock::now());
  std::optional<StreamOrigin> origin =
      origins.FindWitnessed(stream, Clock::now());
  if (!origin)
    origin = co_await this->state.ask_stream_origin(stream);
  co_return origin;
}

asio::awaitable<std::optional<Refusal>> ForwardSession::FindStreamVersion() {
  const Route& route = *this->request.route;
  if (route.kind != RouteKind::kStream || !route.resumable ||
      !this->request.metadata.is_taken_up)
    co_return std::nullopt;
  const std::optional<StreamOrigin> origin = co_await this->FindOrigin();
  if (origin && route.Uses(origin->service)) {
    // Of a route that is split, the id of this request may choose another one.
    this->request.service = origin->service;
    this->stream_version = origin->version;
  } else if (!origin) {
    this->stream_version = co_await this->FindSoleVersion();
  }
  if (!this->stream_version) {
    this->is_unproven = true;
    const Refusal unproven{kUnavailable, "version_unknown"};
    co_return unproven;
  }
  this->record.RecordStreamVersion(*this->stream_version);
  this->RecordStreamOrigin();
  co_return std::nullopt;
}

asio::awaitable<std::optional<std::string>> ForwardSession::FindSoleVersion() {
  const VersionHistory& history = this->state.version_history;
  const auto asked_at = Clock::now();
  while (true) {
    // The stream may have begun at another service.
    const bool has_one_service = this->state.route_history.HasUsedOnly(
        this->request.service, *this->request.route, this->ProofTime(),
        Clock::now());
    if (!has_one_service)
      co_return std::nullopt;
    const std::optional<std::string> sole = history.SoleVersion(
        this->request.service, this->ProofTime(), Clock::now());
    // Another gateway may have used an endpoint that is not known here yet.
    if (!sole || history.IsCurrentAsOf(asked_at))
      co_return sole;
    if (this->is_aborted || Clock::now() - asked_at > kMaxConfirmationWait)
      co_return std::nullopt;
    if (this->state.confirm_entries)
      this->state.confirm_entries(asked_at);
    co_await SleepFor(kConfirmationCheckInterval);
  }
}

milliseconds ForwardSession::ProofTime() const {
  return this->state.route_history.LongestLimit(*this->request.route) *
             kStreamLimits +
         kPublicationMargin;
}

std::optional<ForwardSession::Clock::time_point> ForwardSession::ProofDue()
    const {
  if (!this->is_unproven)
    return std::nullopt;
  return this->state.version_history.ProofDue(this->request.service,
                                              this->ProofTime());
}

void ForwardSession::RecordStreamBegin() {
  if (this->IsEndpointReplaced()) {
    // A new process may have had the address before its entry was known here.
    if (!this->stream_version.value_or("").empty())
      this->RecordContradiction();
    this->stream_version = "";
    return;
  }
  if (this->stream_version && !this->is_version_doubtful)
    return;
  this->is_version_doubtful = this->IsVersionDoubtful();
  if (this->is_version_doubtful) {
    this->stream_version = "";
    return;
  }
  this->stream_version = this->reservation.Version();
  this->RecordStreamOrigin();
}

bool ForwardSession::IsVersionDoubtful() const {
  return this->state.incarnations.MayBeAnother(
      this->reservation.Endpoint()->Entry().id, this->connection->opened_at);
}

asio::awaitable<void> ForwardSession::ConfirmConnection() {
  const auto opened_at = this->connection->opened_at;
  if (this->stream_version) {
    const std::function<bool()> is_ended = [this] { return this->is_aborted; };
    co_await AwaitConfirmedEntry(this->state, opened_at, is_ended);
  } else if (this->state.confirm_entries && this->IsVersionDoubtful()) {
    this->state.confirm_entries(EndpointIncarnations::ConfirmedBy(opened_at));
  }
}

const std::string& ForwardSession::BegunBy() const {
  const CallerMetadata& metadata = this->request.metadata;
  return metadata.is_taken_up ? metadata.resumes : metadata.request_id;
}

void ForwardSession::RecordContradiction() {
  if (!this->request.route->resumable || this->BegunBy().empty())
    return;
  // The second record contradicts the first one, here and elsewhere.
  this->RecordStreamOrigin();
  this->stream_version = this->reservation.Endpoint()->Entry().version;
  this->RecordStreamOrigin();
}

void ForwardSession::RecordStreamOrigin() {
  const std::string& begun_by = this->BegunBy();
  if (!this->request.route->resumable || begun_by.empty())
    return;
  this->state.stream_origins.RecordOwn(
      {StreamKeyOf(begun_by), {this->request.service, *this->stream_version}},
      Clock::now());
  if (this->state.announce_streams)
    this->state.announce_streams();
}

}  // namespace buckthornpath
