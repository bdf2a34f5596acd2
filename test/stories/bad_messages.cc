/** @file bad_messages.cc Malformed bytes are rejected and crash no process. */

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <boost/endian/conversion.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>

#include "fleet/published_type.h"
#include "harness/byte_connection.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"
#include "kernel/settings.h"
#include "wire/message_codec.h"
#include "wire/ticket.h"

namespace buckthornpath {

namespace {

/** Deep enough to overflow the stack of an unbounded recursive parser. */
constexpr std::size_t kNestingDepth = 2000000;
constexpr std::uint32_t kSeed = 20261204;

std::string MakeFrame(const std::string& bytes) {
  std::string frame(4, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<std::uint32_t>(bytes.size()));
  return frame + bytes;
}

std::string RandomBytes(std::mt19937& random, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes)
    byte = static_cast<char>(random());
  return bytes;
}

std::string ValidMessage() {
  CallRequest call;
  call.ticket = "bpt1.none.none";
  call.organisation = "parish";
  call.profile = "chat";
  call.body = R"({"messages": []})";
  return EncodeMessage(call);
}

/** @return Nested CBOR arrays. */
std::string DeepCbor() {
  return std::string(kNestingDepth, '\x81');
}

/** Runs a parser, which may succeed or throw `Refusal` and nothing else. */
template <class Refusal, class Parser>
void RunParser(const Parser& parse) {
  try {
    parse();
  } catch (const Refusal&) {
    return;
  }
}

template <class Property>
void CheckProperty(const std::string& name, const Property& property) {
  CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, property));
}

void AnyBytesAreDecodedOrRejected() {
  CheckProperty("random bytes", [](const std::string& bytes) {
    RunParser<MalformedMessage>([&] { DecodeMessage(bytes); });
  });
  CheckProperty("a truncated or altered message", [] {
    std::string bytes = ValidMessage();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const auto changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes && !bytes.empty(); ++i) {
      const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[position] = *rc::gen::arbitrary<char>();
    }
    RunParser<MalformedMessage>([&] { DecodeMessage(bytes); });
  });
}

void DeepNestingIsRejected() {
  CPPUNIT_ASSERT_THROW(DecodeMessage(DeepCbor()), MalformedMessage);
  CPPUNIT_ASSERT_THROW(DecodeMessage(std::string("\x82\x00", 2) + DeepCbor()),
                       MalformedMessage);
}

void OverflowingTimesAreRejected() {
  Hello hello;
  hello.now = std::chrono::milliseconds::max();
  CPPUNIT_ASSERT_THROW(DecodeMessage(EncodeMessage(hello)), MalformedMessage);
}

void OnlyIssuedTicketsAreAccepted() {
  const TicketCodec codec("a-secret-for-tests-only");
  CheckProperty("random text", [&](const std::string& text) {
    RC_ASSERT(!codec.Decode(text));
    RC_ASSERT(!codec.Decode("bpt1." + text));
  });
  Ticket ticket;
  ticket.endpoint = EndpointId("draft-1");
  ticket.organisation = OrganisationId("parish");
  const std::string issued = codec.Encode(ticket);
  CPPUNIT_ASSERT(codec.Decode(issued).has_value());
  CheckProperty("a ticket with one changed character", [&] {
    std::string text = issued;
    const auto position = *rc::gen::inRange<std::size_t>(5, text.size());
    const char character = *rc::gen::inRange('a', 'z');
    RC_PRE(text[position] != character && text[position] != '.');
    // The last character of a Base64 part may have unused bits.
    RC_PRE(position + 1 < text.size() && text[position + 1] != '.');
    text[position] = character;
    RC_ASSERT(!codec.Decode(text));
  });
}

/** Generates texts of the characters that JSON documents consist of. */
rc::Gen<std::string> JsonLikeText() {
  return rc::gen::container<std::string>(
      rc::gen::element('{', '}', '[', ']', '"', ':', ',', '1', '-', '.', 'e',
                       'n', 'a', 'm', ' ', '/', '*', '\\', '\n', '\xff', '\0'));
}

void AnyDocumentIsParsedOrRejected() {
  CheckProperty("settings", [] {
    const std::string text = *JsonLikeText();
    RunParser<InvalidDocument>([&] { ParseSettings(text); });
  });
  CheckProperty("an index", [] {
    const std::string text = *JsonLikeText();
    RunParser<InvalidDocument>([&] { ParseIndex(text); });
  });
  CheckProperty("a document", [] {
    const std::string text = *JsonLikeText();
    const std::string kind = *rc::gen::element<std::string>(
        "profiles/a", "organisations/a", "services/a", "a", "");
    Configuration configuration;
    RunParser<InvalidDocument>([&] {
      AddDocument(configuration, {kind, Revision{1}, ""}, text);
    });
  });
}

void AnyMemberTypeIsParsedOrRejected() {
  const auto value = rc::gen::element<nlohmann::json>(
      nullptr, true, -1, 1e300, "text", nlohmann::json::array(),
      nlohmann::json::object(), std::uint64_t{1} << 63U);
  CheckProperty("an index with members of any type", [&] {
    const nlohmann::json index = {
        {"revision", *value},
        {"documents",
         {{{"name", *value}, {"revision", *value}, {"digest", *value}},
          *value}}};
    RunParser<InvalidDocument>([&] { ParseIndex(index.dump()); });
  });
  CheckProperty("a profile with members of any type", [&] {
    const nlohmann::json profile = {
        {"name", "a"}, {"service", *value}, {"deadline", *value}};
    Configuration configuration;
    RunParser<InvalidDocument>([&] {
      AddDocument(configuration, {"profiles/a", Revision{1}, ""},
                  profile.dump());
    });
  });
}

std::uint64_t MalformedMessageCount(const SocketAddress& operator_address) {
  HttpRequest request;
  request.target = "/metrics";
  const std::string text = CallHttp(operator_address, request).body;
  const std::string name = "buckthornpath_malformed_messages_total ";
  const auto position = text.find(name);
  return position == std::string::npos
             ? 0
             : std::strtoull(text.c_str() + position + name.size(), nullptr,
                             10);
}

void EndpointSurvivesMalformedFrames() {
  FleetPlan plan;
  plan.endpoints = {{"draft-1", "drafting", true}};
  LocalFleet fleet(plan);
  std::mt19937 random(kSeed);
  std::vector<std::string> frames = {
      MakeFrame(""), MakeFrame("\xff\xff\xff\xff"), MakeFrame(DeepCbor()),
      MakeFrame(ValidMessage().substr(0, 20)),
      MakeFrame(std::string("\x82\x18\xfa\xa0", 4))};
  for (int i = 0; i < 50; ++i)
    frames.push_back(MakeFrame(RandomBytes(random, random() % 200)));
  frames.emplace_back("\xff\xff\xff\xff and more");
  std::vector<std::unique_ptr<ByteConnection>> connections;
  for (const std::string& frame : frames) {
    connections.push_back(
        std::make_unique<ByteConnection>(fleet.EndpointDialogue(0)));
    connections.back()->Send(frame);
  }
  CPPUNIT_ASSERT(WaitUntil([&] {
    return MalformedMessageCount(fleet.EndpointOperator(0)) >= frames.size();
  }));
  CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(frames.size()),
                       MalformedMessageCount(fleet.EndpointOperator(0)));
  CPPUNIT_ASSERT(fleet.EndpointProcess(0).IsRunning());
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
  const HttpRequest request = ChatRequest(kParishCredential, "chat", "c", "hi");
  const StreamedAnswer answer = CallStream(fleet.Router(0), request);
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
}

const Story kStory("bad_messages", [] {
  return Section(
      "given bytes from an untrusted peer",
      {Section("when they are decoded",
               {Then("any bytes are decoded or rejected",
                     AnyBytesAreDecodedOrRejected),
                Then("deep nesting is rejected", DeepNestingIsRejected),
                Then("times that overflow are rejected",
                     OverflowingTimesAreRejected),
                Then("only an issued ticket is accepted",
                     OnlyIssuedTicketsAreAccepted),
                Then("any document is parsed or rejected",
                     AnyDocumentIsParsedOrRejected),
                Then("members of any type are parsed or rejected",
                     AnyMemberTypeIsParsedOrRejected)}),
       Section("when an endpoint process receives them",
               {Then("it counts and drops them and keeps serving",
                     EndpointSurvivesMalformedFrames)})});
});

}  // namespace

}  // namespace buckthornpath
