/** @file caller_request.cc Authenticates and parses callers' requests. */

#include "router/caller_request.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "router/request_syntax.h"

namespace buckthornpath {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kTicketsPath = "/v1/tickets";
constexpr std::string_view kRequestsPrefix = "/v1/requests/";
constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kBearer = "Bearer ";

[[noreturn]] void Refuse(const char* type, std::string detail) {
  throw RequestRefused({type, std::move(detail), Outcome::kNotRun, {}, {}});
}

OrganisationId Authenticate(const HttpRequest& http,
                            const Configuration& configuration) {
  const std::string header = http.headers.Find("Authorization").value_or("");
  if (header.compare(0, kBearer.size(), kBearer) != 0) {
    Refuse("credential_missing", "no bearer credential");
  }
  const std::string digest = Sha256Hex(header.substr(kBearer.size()));
  for (const auto& [id, organisation] : configuration.organisations) {
    if (organisation.credential_sha256 == digest)
      return id;
  }
  Refuse("credential_missing", "the credential is not known");
}

/** Fills in profile and service. */
void ReadProfile(const HttpRequest& http,
                 const Configuration& configuration,
                 CallerRequest& request) {
  const ProfileName name(http.headers.Find("X-Profile").value_or(""));
  const auto profile = configuration.profiles.find(name);
  if (profile == configuration.profiles.end()) {
    Refuse("profile_unknown", "no profile '" + name.str() + "'");
  }
  request.profile = profile->second;
  const auto service =
      configuration.services.find(ServiceName(request.profile.service));
  if (service == configuration.services.end()) {
    Refuse("profile_unknown", "the profile's service is not published");
  }
  request.service = service->second;
}

/** Fills in the caller's ticket. */
void ReadTicket(const std::string& text,
                const TicketCodec& ticket_codec,
                CallerRequest& request) {
  request.ticket = ticket_codec.Decode(text);
  request.ticket_text = text;
  if (!request.ticket || request.ticket->organisation != request.organisation) {
    Refuse("ticket_refused", "the ticket is not this organisation's");
  }
}

std::uint64_t ReadSequence(const std::string& text) {
  std::uint64_t sequence = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, sequence);
  if (error != std::errc() || end != last) {
    Refuse("request_malformed", "Last-Event-ID must be a number");
  }
  return sequence;
}

/** @return True for a non-empty array of objects with a role. */
bool IsMessageList(const nlohmann::json& messages) {
  return messages.is_array() && !messages.empty() &&
         std::all_of(messages.begin(), messages.end(),
                     [](const nlohmann::json& message) {
                       return message.is_object() && message.contains("role") &&
                              message["role"].is_string();
                     });
}

void ReadChatCall(const HttpRequest& http, CallerRequest& request) {
  if (!request.service.IsModel()) {
    Refuse("request_malformed", "the profile's service is no model");
  }
  const auto body = nlohmann::json::parse(http.body, nullptr, false);
  const bool has_messages = body.is_object() && body.contains("messages") &&
                            IsMessageList(body["messages"]);
  if (!has_messages) {
    Refuse("request_malformed", "the body must be JSON with 'messages'");
  }
  request.path = kChatPath;
}

void ReadServiceCall(const HttpRequest& http, CallerRequest& request) {
  const std::string rest = http.target.substr(kServicesPrefix.size());
  const auto slash = rest.find('/');
  if (rest.substr(0, slash) != request.service.name) {
    Refuse("not_found", "the profile is not of this service");
  }
  if (request.service.IsModel()) {
    Refuse("request_malformed", "the profile's service is a model");
  }
  request.path = slash == std::string::npos ? "/" : rest.substr(slash);
}

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

/** Reads a ticket; any other key is allowed only for repeatable calls. */
void ReadIdempotencyKey(const HttpRequest& http,
                        const TicketCodec& ticket_codec,
                        CallerRequest& request) {
  const auto key = http.headers.Find("Idempotency-Key");
  if (!key)
    return;
  if (HasTicketPrefix(*key)) {
    ReadTicket(*key, ticket_codec, request);
  } else if (!request.profile.repeatable) {
    Refuse("ticket_needed",
           "a call that may not be repeated takes a ticket from POST "
           "/v1/tickets as its Idempotency-Key");
  }
}

CallerRequest ReadKnownRequest(const HttpRequest& http,
                               const TicketCodec& ticket_codec,
                               CallerRequest request) {
  if (http.method != "GET" && http.method != "DELETE") {
    Refuse("method_not_allowed", "a request is read by GET, ended by DELETE");
  }
  request.action =
      http.method == "GET" ? CallerAction::kResume : CallerAction::kCancel;
  ReadTicket(std::string(http.Path().substr(kRequestsPrefix.size())),
             ticket_codec, request);
  request.after =
      ReadSequence(http.headers.Find("Last-Event-ID").value_or("0"));
  return request;
}

}  // namespace

bool ReferencesCall(const HttpRequest& http) {
  return StartsWith(http.Path(), kRequestsPrefix) ||
         HasTicketPrefix(http.headers.Find("Idempotency-Key").value_or(""));
}

CallerRequest ReadCallerRequest(const HttpRequest& http,
                                const Configuration& configuration,
                                const TicketCodec& ticket_codec) {
  const std::string syntax_error = FindSyntaxError(http);
  if (!syntax_error.empty())
    Refuse("request_malformed", syntax_error);
  if (!IsMethodAllowed(http))
    Refuse("method_not_allowed", "method " + http.method);
  CallerRequest request;
  request.organisation = Authenticate(http, configuration);
  const std::string_view path = http.Path();
  if (StartsWith(path, kRequestsPrefix)) {
    return ReadKnownRequest(http, ticket_codec, std::move(request));
  }
  const bool is_call = path == kChatPath || path == kTicketsPath ||
                       StartsWith(path, kServicesPrefix);
  if (!is_call)
    Refuse("not_found", "no such path");
  ReadProfile(http, configuration, request);
  request.chat = ChatId(http.headers.Find("X-Chat").value_or(""));
  request.hint = http.headers.Find("X-Location").value_or("");
  request.method = http.method;
  request.body = http.body;
  if (path == kTicketsPath) {
    request.action = CallerAction::kIssueTicket;
    return request;
  }
  if (path == kChatPath) {
    ReadChatCall(http, request);
  } else {
    ReadServiceCall(http, request);
  }
  ReadIdempotencyKey(http, ticket_codec, request);
  return request;
}

}  // namespace buckthornpath
