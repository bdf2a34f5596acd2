/** @file gateway_crowds.cc Crowds of callers that a gateway can't trust. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/gateway_fleet.h"
#include "harness/hostile_crowd.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Memory of the smallest VM; the process may use four fifths at its peak. */
constexpr std::uint64_t kVmBytes = std::uint64_t{160} * 1000 * 1000;
constexpr std::uint64_t kMemoryBound = kVmBytes / 5 * 4;

/** Limits of one request. */
constexpr std::size_t kMaxBody = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxHeader = std::size_t{16} * 1024;

/** Callers of a crowd with large bodies: 240 MiB if all is kept. */
constexpr std::size_t kCrowd = 60;
/** Callers of one half of a mixed crowd. */
constexpr std::size_t kHalfCrowd = 40;
/** Callers that connect and send hardly anything, and the limit then. */
constexpr std::size_t kConnectors = 400;
constexpr std::size_t kMaxConnections = 100;
/** Descriptors beside those of callers: listeners, store, endpoints, peers. */
constexpr std::size_t kOwnDescriptors = 64;
/** Connections to endpoints that may stay open for reuse. */
constexpr std::size_t kKeptDescriptors = 16;

/** A crowd that isn't read on can't settle; the test then goes on. */
constexpr milliseconds kSettleTime{8000};

const std::string kPage(std::size_t{64} * 1024, 'x');

std::string HostileHead(const std::string& framing) {
  return "POST /issue/x HTTP/1.1\r\nHost: h.example\r\n"
         "Buckthornpath-Request-Id: hostile\r\nX-Api-Key: " +
         std::string(kParishKey) + "\r\n" + framing + "\r\n";
}

std::string Announced(std::uint64_t size) {
  return HostileHead("Content-Length: " + std::to_string(size) + "\r\n");
}

std::string Chunked() {
  return HostileHead("Transfer-Encoding: chunked\r\n");
}

HostileScript FarOverTheLimitAnnounced() {
  return {Announced(std::uint64_t{1} << 40U), kPage, 256, ""};
}

HostileScript FarOverTheLimitSent() {
  return {Chunked(), "10000\r\n" + kPage + "\r\n", 256, ""};
}

HostileScript WholeBodies() {
  return {Announced(kMaxBody), kPage, kMaxBody / kPage.size(), ""};
}

HostileScript ShortOfTheEnd() {
  return {Announced(kMaxBody), kPage, kMaxBody / kPage.size() - 1,
          kPage.substr(1)};
}

HostileScript PieceByPiece() {
  constexpr std::size_t kPiece = 500;
  return {Announced(kMaxBody), std::string(kPiece, 'p'),
          (kMaxBody - 1) / kPiece, ""};
}

HostileScript LargeChunks() {
  return {Chunked(), "10000\r\n" + kPage + "\r\n", kMaxBody / kPage.size(),
          "0\r\n"};
}

/** 16 bytes a chunk, 512 chunks a write. */
HostileScript SmallChunks() {
  constexpr std::size_t kChunk = 16;
  constexpr std::size_t kChunksPerWrite = 512;
  std::string piece;
  for (std::size_t i = 0; i < kChunksPerWrite; ++i)
    piece += "10\r\n" + std::string(kChunk, 'c') + "\r\n";
  return {Chunked(), piece, kMaxBody / (kChunk * kChunksPerWrite), "0\r\n"};
}

/** One byte a chunk, each with an extension. */
HostileScript TinyChunks() {
  constexpr std::size_t kChunksPerWrite = 2048;
  std::string piece;
  for (std::size_t i = 0; i < kChunksPerWrite; ++i)
    piece += "1;extension=value\r\nc\r\n";
  return {Chunked(), piece, 32, "0\r\n"};
}

HostileScript EndlessTrailers() {
  std::string piece;
  for (std::size_t i = 0; i < 64; ++i)
    piece += "X-Filler: " + std::string(500, 'y') + "\r\n";
  return {Chunked() + "1\r\nx\r\n0\r\n", piece, 256, ""};
}

HostileScript EndlessHead() {
  return {"POST /issue/x HTTP/1.1\r\nHost: h.example\r\nX-Filler: ", kPage, 256,
          ""};
}

/** A header just within its limit, without its last line. */
HostileScript HeadShortOfTheEnd() {
  std::string head = HostileHead("Content-Length: 1\r\n");
  head.resize(head.size() - 2);
  return {head, "X-Filler: " + std::string(1000, 'y') + "\r\n",
          (kMaxHeader - head.size()) / 1012 - 1, ""};
}

/** A gateway and endpoints; the ledger holds what it gets until the end. */
class CrowdFleet {
 public:
  explicit CrowdFleet(const GatewayPlan& plan = {}) : fleet(plan) {
    nlohmann::json configuration = StandardConfiguration(2);
    configuration["limits"]["maxBodyBytes"] = kMaxBody;
    this->fleet.Store().Put("op/config", configuration);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return LocalFleet::StatusOf(this->fleet.Operator(0))
                 .value("configuration", 0) == 2;
    }));
    this->fleet.Ledger(0).SetScript([this](ScriptedCall& call) {
      while (!this->is_released && !call.WaitForClose(milliseconds(20))) {
      }
      call.Answer(200, std::to_string(call.Request().body().size()));
    });
    this->CheckOrdinaryRequest("before");
    this->descriptors_before = this->Gateway().OpenDescriptors();
  }

  ~CrowdFleet() { this->Release(); }
  CrowdFleet(const CrowdFleet&) = delete;
  CrowdFleet& operator=(const CrowdFleet&) = delete;

  /** Lets the ledger answer what it has got and will get. */
  void Release() { this->is_released = true; }

  GatewayFleet& Fleet() { return this->fleet; }
  ChildProcess& Gateway() { return this->fleet.Gateway(0); }

  /** One ordinary request, at an endpoint that no hostile caller uses. */
  void CheckOrdinaryRequest(const std::string& when) {
    CallerText text;
    text.path = "/draft/x";
    text.id = "ordinary-" + when;
    CPPUNIT_ASSERT_EQUAL_MESSAGE("an ordinary request " + when + " the crowd",
                                 200U,
                                 this->fleet.Call(0, TextOf(text)).status);
  }

  /** Runs a crowd to its end and checks what must hold. */
  void CheckCrowd(const std::function<void(HostileCrowd&)>& add,
                  std::size_t max_descriptors = 0) {
    std::size_t most_descriptors = 0;
    {
      HostileCrowd crowd(this->fleet.Caller(0));
      add(crowd);
      WaitUntil(
          [&] {
            most_descriptors =
                std::max(most_descriptors, this->Gateway().OpenDescriptors());
            return crowd.IsSettled();
          },
          kSettleTime);
      CPPUNIT_ASSERT_MESSAGE("the process lives", this->Gateway().IsRunning());
      this->CheckOrdinaryRequest("beside");
      this->CheckMemory();
    }
    this->Release();
    CPPUNIT_ASSERT_MESSAGE("the process lives", this->Gateway().IsRunning());
    this->CheckOrdinaryRequest("after");
    this->CheckMemory();
    if (max_descriptors > 0) {
      CPPUNIT_ASSERT_MESSAGE("descriptors: " + std::to_string(most_descriptors),
                             most_descriptors <= max_descriptors);
    }
    const bool is_back = WaitUntil([&] {
      return this->Gateway().OpenDescriptors() <=
             this->descriptors_before + kKeptDescriptors;
    });
    CPPUNIT_ASSERT_MESSAGE(
        "descriptors stay open: " +
            std::to_string(this->Gateway().OpenDescriptors()) + ", before " +
            std::to_string(this->descriptors_before),
        is_back);
  }

 private:
  void CheckMemory() {
    const std::uint64_t peak = this->Gateway().PeakResidentBytes();
    CPPUNIT_ASSERT_MESSAGE(
        "peak resident memory in bytes: " + std::to_string(peak) + ", bound " +
            std::to_string(kMemoryBound),
        peak > 0 && peak < kMemoryBound);
  }

  std::atomic<bool> is_released = false;
  std::size_t descriptors_before = 0;
  GatewayFleet fleet;
};

std::function<void()> CrowdOf(const HostileScript& script) {
  return [script] {
    CrowdFleet fleet;
    fleet.CheckCrowd([&](HostileCrowd& crowd) { crowd.Add(kCrowd, script); });
  };
}

std::function<void()> Mixed(const HostileScript& one,
                            const HostileScript& other) {
  return [one, other] {
    CrowdFleet fleet;
    fleet.CheckCrowd([&](HostileCrowd& crowd) {
      crowd.Add(kHalfCrowd, one);
      crowd.Add(kHalfCrowd, other);
    });
  };
}

std::function<void()> ConnectorsSend(const std::string& bytes) {
  return [bytes] {
    GatewayPlan plan;
    plan.settings = {{"max_connections", kMaxConnections}};
    CrowdFleet fleet(plan);
    const HostileScript script{bytes, "", 0, ""};
    fleet.CheckCrowd(
        [&](HostileCrowd& crowd) { crowd.Add(kConnectors, script); },
        kMaxConnections + kOwnDescriptors);
  };
}

/** Each request is as large as its limits allow, and alone. */
void SingleRequestsWithinTheLimitsAreServed() {
  CrowdFleet fleet;
  fleet.Release();
  CallerText text;
  text.path = "/issue/x";
  text.body = std::string(kMaxBody, 'b');
  constexpr std::size_t kOtherFields = 1024;
  text.more_fields =
      "X-Filler: " + std::string(kMaxHeader - kOtherFields, 'y') + "\r\n";
  const RawAnswer announced = fleet.Fleet().Call(0, TextOf(text));
  CPPUNIT_ASSERT_EQUAL(200U, announced.status);
  CPPUNIT_ASSERT_EQUAL(std::to_string(kMaxBody), announced.body);
  std::string chunked =
      HostileHead("Connection: close\r\nTransfer-Encoding: chunked\r\n");
  for (std::size_t sent = 0; sent < kMaxBody; sent += kPage.size())
    chunked += "10000\r\n" + kPage + "\r\n";
  const RawAnswer in_chunks = fleet.Fleet().Call(0, chunked + "0\r\n\r\n");
  CPPUNIT_ASSERT_EQUAL(200U, in_chunks.status);
  CPPUNIT_ASSERT_EQUAL(std::to_string(kMaxBody), in_chunks.body);
}

const Story kStory("gateway_crowds", [] {
  return Section(
      "given a gateway on the smallest VM",
      {Then("single requests as large as the limits allow are served",
            SingleRequestsWithinTheLimitsAreServed),
       Section(
           "when a crowd sends bodies, it stays bounded and serves others",
           {Then("bodies far over the limit, announced",
                 CrowdOf(FarOverTheLimitAnnounced())),
            Then("bodies far over the limit, just sent",
                 CrowdOf(FarOverTheLimitSent())),
            Then("whole bodies of legal size", CrowdOf(WholeBodies())),
            Then("bodies that stop short of their end",
                 CrowdOf(ShortOfTheEnd())),
            Then("bodies piece by piece that stop short of their end",
                 CrowdOf(PieceByPiece())),
            Then("large chunks that stop short of their end",
                 CrowdOf(LargeChunks())),
            Then("small chunks that stop short of their end",
                 CrowdOf(SmallChunks())),
            Then("chunks of one byte with extensions", CrowdOf(TinyChunks()))}),
       Section("when a crowd sends heads, it stays bounded and serves others",
               {Then("heads without end", CrowdOf(EndlessHead())),
                Then("heads that stop short of their end",
                     CrowdOf(HeadShortOfTheEnd())),
                Then("trailers without end", CrowdOf(EndlessTrailers()))}),
       Section(
           "when two crowds come at once, it stays bounded and serves others",
           {Then("whole bodies and large chunks",
                 Mixed(WholeBodies(), LargeChunks())),
            Then("bodies short of their end and small chunks",
                 Mixed(ShortOfTheEnd(), SmallChunks())),
            Then("bodies over the limit and bodies piece by piece",
                 Mixed(FarOverTheLimitSent(), PieceByPiece())),
            Then("bodies over the limit, announced, and whole bodies",
                 Mixed(FarOverTheLimitAnnounced(), WholeBodies())),
            Then("tiny chunks and heads short of their end",
                 Mixed(TinyChunks(), HeadShortOfTheEnd()))}),
       Section("when a crowd only connects, its connections are bounded",
               {Then("without a word", ConnectorsSend("")),
                Then("with the start of a head",
                     ConnectorsSend("POST /issue/x HTT")),
                Then("with the start of a body",
                     ConnectorsSend(Announced(kMaxBody) + "x"))})});
});

}  // namespace

}  // namespace buckthornpath
