/** @file bad_messages.cc Bytes that are no messages end no process. */

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
#include "wire/codec.h"
#include "wire/ticket.h"

namespace buckthornpath {

namespace {

/** Deep enough to end a process whose parser recurses without a bound. */
constexpr std::size_t kDeepNesting = 2000000;
constexpr std::uint32_t kSeed = 20261204;

std::string Frame(const std::string& bytes) {
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

std::string SomeMessage() {
  CallRequest call;
  call.ticket = "bpt1.none.none";
  call.organisation = "parish";
  call.profile = "chat";
  call.body = R"({"messages": []})";
  return EncodeMessage(call);
}

/** Arrays within arrays, as CBOR. */
std::string DeepCbor() {
  return std::string(kDeepNesting, '\x81');
}

/** Runs a parser; it may refuse, and nothing else may come of it. */
template <class Refusal, class Parser>
void MayRefuse(const Parser& parse) {
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

void AnyBytesAreDecodedOrRefused() {
  CheckProperty("random bytes", [](const std::string& bytes) {
    MayRefuse<MalformedMessage>([&] { DecodeMessage(bytes); });
  });
  CheckProperty("a message cut short or with bytes changed", [] {
    std::string bytes = SomeMessage();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const auto changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes && !bytes.empty(); ++i) {
      const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[place] = *rc::gen::arbitrary<char>();
    }
    MayRefuse<MalformedMessage>([&] { DecodeMessage(bytes); });
  });
}

void DeepNestingIsRefused() {
  CPPUNIT_ASSERT_THROW(DecodeMessage(DeepCbor()), MalformedMessage);
  CPPUNIT_ASSERT_THROW(DecodeMessage(std::string("\x82\x00", 2) + DeepCbor()),
                       MalformedMessage);
}

void TimesThatOverflowAreRefused() {
  Hello hello;
  hello.now = std::chrono::milliseconds::max();
  CPPUNIT_ASSERT_THROW(DecodeMessage(EncodeMessage(hello)), MalformedMessage);
}

void AnyTextIsNoTicket() {
  const TicketMint mint("a-secret-for-tests-only");
  CheckProperty("random text", [&](const std::string& text) {
    RC_ASSERT(!mint.Decode(text));
    RC_ASSERT(!mint.Decode("bpt1." + text));
  });
  Ticket ticket;
  ticket.endpoint = EndpointId("draft-1");
  ticket.organisation = OrganisationId("parish");
  const std::string genuine = mint.Encode(ticket);
  CPPUNIT_ASSERT(mint.Decode(genuine).has_value());
  CheckProperty("a ticket with one letter changed", [&] {
    std::string text = genuine;
    const auto place = *rc::gen::inRange<std::size_t>(5, text.size());
    const char letter = *rc::gen::inRange('a', 'z');
    RC_PRE(text[place] != letter && text[place] != '.');
    // The last letter of a part may carry bits that are not part of it.
    RC_PRE(place + 1 < text.size() && text[place + 1] != '.');
    text[place] = letter;
    RC_ASSERT(!mint.Decode(text));
  });
}

/** Texts that nearly are JSON documents. */
rc::Gen<std::string> NearlyJson() {
  return rc::gen::container<std::string>(
      rc::gen::element('{', '}', '[', ']', '"', ':', ',', '1', '-', '.', 'e',
                       'n', 'a', 'm', ' ', '/', '*', '\\', '\n', '\xff', '\0'));
}

void AnyDocumentIsReadOrRefused() {
  CheckProperty("settings", [] {
    const std::string text = *NearlyJson();
    MayRefuse<InvalidDocument>([&] { ParseSettings(text); });
  });
  CheckProperty("an index", [] {
    const std::string text = *NearlyJson();
    MayRefuse<InvalidDocument>([&] { ParseIndex(text); });
  });
  CheckProperty("a document", [] {
    const std::string text = *NearlyJson();
    const std::string kind = *rc::gen::element<std::string>(
        "profiles/a", "organisations/a", "services/a", "a", "");
    Configuration configuration;
    MayRefuse<InvalidDocument>([&] {
      AddDocument(configuration, {kind, Revision{1}, ""}, text);
    });
  });
}

void WrongTypesAreRefused() {
  const auto value = rc::gen::element<nlohmann::json>(
      nullptr, true, -1, 1e300, "text", nlohmann::json::array(),
      nlohmann::json::object(), std::uint64_t{1} << 63U);
  CheckProperty("an index with members of any type", [&] {
    const nlohmann::json index = {
        {"revision", *value},
        {"documents",
         {{{"name", *value}, {"revision", *value}, {"digest", *value}},
          *value}}};
    MayRefuse<InvalidDocument>([&] { ParseIndex(index.dump()); });
  });
  CheckProperty("a profile with members of any type", [&] {
    const nlohmann::json profile = {
        {"name", "a"}, {"service", *value}, {"deadline", *value}};
    Configuration configuration;
    MayRefuse<InvalidDocument>([&] {
      AddDocument(configuration, {"profiles/a", Revision{1}, ""},
                  profile.dump());
    });
  });
}

std::uint64_t MalformedMessages(const SocketAddress& operators) {
  HttpRequest request;
  request.target = "/metrics";
  const std::string text = CallHttp(operators, request).body;
  const std::string name = "buckthornpath_malformed_messages_total ";
  const auto place = text.find(name);
  return place == std::string::npos
             ? 0
             : std::strtoull(text.c_str() + place + name.size(), nullptr, 10);
}

void EndpointOutlivesBadFrames() {
  FleetPlan plan;
  plan.endpoints = {{"draft-1", "drafting", true}};
  LocalFleet fleet(plan);
  std::mt19937 random(kSeed);
  std::vector<std::string> frames = {Frame(""), Frame("\xff\xff\xff\xff"),
                                     Frame(DeepCbor()),
                                     Frame(SomeMessage().substr(0, 20)),
                                     Frame(std::string("\x82\x18\xfa\xa0", 4))};
  for (int i = 0; i < 50; ++i)
    frames.push_back(Frame(RandomBytes(random, random() % 200)));
  frames.emplace_back("\xff\xff\xff\xff and more");
  std::vector<std::unique_ptr<ByteConnection>> connections;
  for (const std::string& frame : frames) {
    connections.push_back(
        std::make_unique<ByteConnection>(fleet.EndpointDialogue(0)));
    connections.back()->Send(frame);
  }
  CPPUNIT_ASSERT(WaitUntil([&] {
    return MalformedMessages(fleet.EndpointOperator(0)) >= frames.size();
  }));
  CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(frames.size()),
                       MalformedMessages(fleet.EndpointOperator(0)));
  CPPUNIT_ASSERT(fleet.EndpointProcess(0).IsRunning());
  CPPUNIT_ASSERT(fleet.EngineHistory().empty());
  const HttpRequest request = ChatRequest(kParishCredential, "chat", "c", "hi");
  const StreamedAnswer answer = CallStream(fleet.Router(0), request);
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT(ExpectedChunks(request) == answer.chunks);
}

const Story kStory("bad_messages", [] {
  return Section(
      "given bytes that may come from anywhere",
      {Section(
           "when they are decoded",
           {Then("any bytes are decoded or refused",
                 AnyBytesAreDecodedOrRefused),
            Then("deep nesting is refused", DeepNestingIsRefused),
            Then("times that overflow are refused",
                 TimesThatOverflowAreRefused),
            Then("no text but a genuine one is a ticket", AnyTextIsNoTicket),
            Then("any document is read or refused", AnyDocumentIsReadOrRefused),
            Then("members of any type are read or refused",
                 WrongTypesAreRefused)}),
       Section("when an endpoint process receives them",
               {Then("it counts and drops them and goes on",
                     EndpointOutlivesBadFrames)})});
});

}  // namespace

}  // namespace buckthornpath
