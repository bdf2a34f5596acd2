/** @file bad_input.cc A router refuses malformed and oversized requests. */

#include <cppunit/TestAssert.h>

#include <nlohmann/json.hpp>

#include "harness/byte_connection.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

FleetPlan SmallPlan() {
  FleetPlan plan;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"ledger-1", "ledger", false}};
  plan.settings = {{"max_header_bytes", 4096},
                   {"max_body_bytes", 65536},
                   {"read_timeout", 300},
                   {"max_connections", 8}};
  return plan;
}

/** @return Request line and header fields, without the final empty line. */
std::string RequestHead(const HttpRequest& request) {
  std::string head =
      request.method + " " + request.target + " HTTP/1.1\r\nHost: router\r\n";
  for (const auto& [name, value] : request.headers.Fields()) {
    head += name;
    head += ": " + value + "\r\n";
  }
  return head;
}

/** @return Complete text of a request. */
std::string RequestText(const HttpRequest& request) {
  return RequestHead(request) +
         "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
         request.body;
}

HttpRequest ValidChatRequest() {
  return ChatRequest(kParishCredential, "chat", "c", "some words");
}

/** Asserts that a complete problem document answers these bytes. */
void AssertRefused(const LocalFleet& fleet,
                   const std::string& bytes,
                   unsigned status,
                   const std::string& type,
                   const std::string& outcome = "not_run") {
  ByteConnection connection(fleet.Router(0));
  connection.Send(bytes);
  connection.EndSending();
  const RawAnswer answer = ParseRawAnswer(connection.ReadToEnd());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.head + answer.body, status,
                               answer.status);
  CPPUNIT_ASSERT(answer.head.find("application/problem+json") !=
                 std::string::npos);
  const auto problem = nlohmann::json::parse(answer.body);
  CPPUNIT_ASSERT_EQUAL("urn:buckthornpath:problem:" + type,
                       problem.value("type", ""));
  CPPUNIT_ASSERT_EQUAL(status, problem.value("status", 0U));
  CPPUNIT_ASSERT_EQUAL(outcome, problem.value("outcome", ""));
  CPPUNIT_ASSERT(!problem.value("title", "").empty());
  CPPUNIT_ASSERT(problem.contains("detail"));
}

void AssertNothingRan(const LocalFleet& fleet) {
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
  const StreamedAnswer answer = CallStream(fleet.Router(0), ValidChatRequest());
  CPPUNIT_ASSERT(answer.complete);
}

void MalformedHttp() {
  const LocalFleet fleet(SmallPlan());
  for (const std::string& bytes :
       {std::string("\r\n\x01\x02\x03 nonsense\r\n\r\n"),
        std::string("POST\r\n\r\n"), std::string("GET / HTTP/9.9\r\n\r\n"),
        RequestHead(ValidChatRequest()) + "X-Chat other\r\n\r\n",
        RequestHead(ValidChatRequest()) + "Content-Length: -4\r\n\r\n",
        RequestHead(ValidChatRequest()) +
            "Content-Length: 4\r\nContent-Length: 5\r\n\r\n{}{}",
        RequestHead(ValidChatRequest()) +
            "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        RequestHead(ValidChatRequest()) + "X-Odd: a\rb\r\n\r\n"}) {
    AssertRefused(fleet, bytes, 400, "request_malformed");
  }
  AssertNothingRan(fleet);
}

void MalformedJson() {
  const LocalFleet fleet(SmallPlan());
  for (const std::string& body :
       {std::string("{"), std::string("[]"), std::string("\xff\xfe"),
        std::string(R"({"messages": "hello"})"),
        std::string(R"({"messages": []})"), std::string(R"({"messages": [1]})"),
        std::string(60000, '[')}) {
    HttpRequest request = ValidChatRequest();
    request.body = body;
    AssertRefused(fleet, RequestText(request), 400, "request_malformed");
  }
  AssertNothingRan(fleet);
}

void OversizedHeader() {
  const LocalFleet fleet(SmallPlan());
  HttpRequest request = ValidChatRequest();
  request.headers.Append("X-Long", std::string(20000, 'a'));
  AssertRefused(fleet, RequestText(request), 431, "header_too_large");
  AssertNothingRan(fleet);
}

void OversizedBody() {
  const LocalFleet fleet(SmallPlan());
  HttpRequest request = ValidChatRequest();
  request.body.append(5000000, ' ');
  AssertRefused(fleet, RequestText(request), 413, "body_too_large");
  AssertNothingRan(fleet);
}

void SlowSenderTimesOut() {
  const LocalFleet fleet(SmallPlan());
  for (const std::string& bytes :
       {std::string("POST /v1/chat/comp"),
        RequestHead(ValidChatRequest()) +
            "Content-Length: 100\r\n\r\n{\"messages\""}) {
    ByteConnection connection(fleet.Router(0));
    connection.Send(bytes);
    const RawAnswer answer = ParseRawAnswer(connection.ReadToEnd());
    CPPUNIT_ASSERT_EQUAL(408U, answer.status);
    CPPUNIT_ASSERT(answer.body.find("not_run") != std::string::npos);
  }
  AssertNothingRan(fleet);
}

void UnknownNames() {
  const LocalFleet fleet(SmallPlan());
  HttpRequest request =
      ChatRequest(kParishCredential, "no-such", "c", "some words");
  AssertRefused(fleet, RequestText(request), 400, "profile_unknown");
  request = ChatRequest("nobody", "chat", "c", "some words");
  AssertRefused(fleet, RequestText(request), 401, "credential_missing");
  AssertRefused(fleet,
                "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
                "Content-Length: 0\r\n\r\n",
                401, "credential_missing");
  request = ValidChatRequest();
  request.target = "/v2/chat";
  AssertRefused(fleet, RequestText(request), 404, "not_found");
  AssertNothingRan(fleet);
}

void BadPercentEncoding() {
  const LocalFleet fleet(SmallPlan());
  for (const char* path :
       {"issue%", "issue%zz", "issue%0d%0aX-Evil:1", "issue%00", "\xc3\xa9"}) {
    const HttpRequest request =
        ServiceRequest(kParishCredential, "receipt",
                       std::string("/v1/services/ledger/") + path, "{}");
    AssertRefused(fleet, RequestText(request), 400, "request_malformed");
  }
  AssertNothingRan(fleet);
}

void DuplicateHeaderField() {
  const LocalFleet fleet(SmallPlan());
  for (const char* header : {"Authorization: Bearer hospital-credential",
                             "x-profile: counter", "X-Chat: other"}) {
    HttpRequest request = ValidChatRequest();
    AssertRefused(fleet,
                  RequestHead(request) + header + "\r\nContent-Length: " +
                      std::to_string(request.body.size()) + "\r\n\r\n" +
                      request.body,
                  400, "request_malformed");
  }
  AssertNothingRan(fleet);
}

void WrongMethod() {
  const LocalFleet fleet(SmallPlan());
  HttpRequest request = ValidChatRequest();
  request.method = "GET";
  AssertRefused(fleet, RequestText(request), 405, "method_not_allowed");
  request = ServiceRequest(kParishCredential, "receipt",
                           "/v1/services/ledger/issue", "{}");
  request.method = "TRACE";
  AssertRefused(fleet, RequestText(request), 405, "method_not_allowed");
  request.target = "/v1/requests/bpt1.x.y";
  request.method = "POST";
  // The target names a call that may have run.
  AssertRefused(fleet, RequestText(request), 405, "method_not_allowed",
                "unknown");
  AssertNothingRan(fleet);
}

void TooManyConnections() {
  const LocalFleet fleet(SmallPlan());
  std::vector<std::unique_ptr<ByteConnection>> connections;
  bool refused = false;
  for (int i = 0; i < 9 && !refused; ++i) {
    connections.push_back(std::make_unique<ByteConnection>(fleet.Router(0)));
    // A response shows that the router has accepted the connection.
    connections.back()->Send("GET /v2 HTTP/1.1\r\nHost: r\r\n\r\n");
    const RawAnswer answer = ParseRawAnswer(connections.back()->ReadSome());
    refused = answer.status == 429;
    CPPUNIT_ASSERT(refused || answer.status == 401);
    CPPUNIT_ASSERT_EQUAL(i == 8, refused);
    if (refused)
      CPPUNIT_ASSERT(answer.head.find("Retry-After: ") != std::string::npos);
  }
  CPPUNIT_ASSERT(refused);
  connections.clear();
  CPPUNIT_ASSERT(WaitUntil([&] {
    return CallStream(fleet.Router(0), ValidChatRequest()).complete;
  }));
}

const Story kStory("bad_input", [] {
  return Section(
      "given a router with small limits",
      {Section("when a request cannot be parsed",
               {Then("malformed HTTP is refused", MalformedHttp),
                Then("malformed JSON is refused", MalformedJson),
                Then("an oversized header is refused", OversizedHeader),
                Then("an oversized body is refused", OversizedBody),
                Then("a slow sender gets a time-out response",
                     SlowSenderTimesOut)}),
       Section(
           "when a request has invalid names or header fields",
           {Then("unknown profiles, credentials and paths are refused",
                 UnknownNames),
            Then("bad percent-encoding is refused", BadPercentEncoding),
            Then("a duplicate header field is refused", DuplicateHeaderField),
            Then("a wrong method is refused", WrongMethod)}),
       Section("when too many connections are open",
               {Then("a further connection is refused", TooManyConnections)})});
});

}  // namespace

}  // namespace buckthornpath
