/** @file caller_connection.cc Idle close racing with an arriving request. */

#include "gateway/caller_connection.h"

#include <cppunit/TestAssert.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "harness/story.h"

namespace buckthornpath {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::string_view kRequest =
    "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nhi";

/** Exceeds the event loop steps from reading a request to its response. */
constexpr int kMaxSteps = 40;

/** Timeout for a response over the loopback interface. */
constexpr std::chrono::seconds kResponseTimeout{10};

/** Responds to each request after a few rounds of the event loop. */
class SlowServer final : public CallerServerContext {
 public:
  CallerLimits Limits() const override { return CallerLimits{}; }
  bool IsDraining() const override { return false; }
  ByteBudget& BufferedBytes() override { return this->buffered_bytes; }
  bool MakeRoom(const CallerConnection& /*asking*/) override { return false; }

  asio::awaitable<void> Serve(CallerExchange& exchange) override {
    ++this->served;
    this->targets += exchange.Request().target();
    constexpr int kRounds = 3;
    for (int round = 0; round < kRounds; ++round)
      co_await asio::post(asio::use_awaitable);
    const HeaderFieldList fields;
    co_await exchange.Send(200, fields, "done");
  }

  ByteBudget buffered_bytes{std::size_t{64} * 1024 * 1024};
  int served = 0;
  std::string targets;  ///< Of all requests, in order.
};

/** An accepted connection and the client socket connected to it. */
class ConnectedPair {
 public:
  ConnectedPair() : caller(this->io) {
    asio::ip::tcp::acceptor acceptor(this->io,
                                     {asio::ip::address_v4::loopback(), 0});
    this->caller.connect(acceptor.local_endpoint());
    this->connection =
        std::make_shared<CallerConnection>(acceptor.accept(), this->server);
    WorkerPool::SpawnOn(this->io.get_executor(),
                        this->RunConnection(this->connection));
    this->RunSteps(kMaxSteps);
  }

  void SendRequest(const std::string& target = "/a") {
    std::string request(kRequest);
    request.replace(request.find("/a"), 2, target);
    asio::write(this->caller, asio::buffer(request));
  }

  /** Runs at most this many ready handlers, one at a time. */
  void RunSteps(int count) {
    for (int step = 0; step < count; ++step)
      this->io.poll_one();
  }

  /** @return True if a complete response arrives before the connection closes.
   */
  bool ReceivesResponse() {
    this->caller.non_blocking(true);
    std::string text;
    std::array<char, 512> chunk{};
    const auto deadline = Clock::now() + kResponseTimeout;
    while (Clock::now() < deadline) {
      this->io.poll();
      boost::system::error_code error;
      const std::size_t size =
          this->caller.read_some(asio::buffer(chunk), error);
      text.append(chunk.data(), size);
      if (text.ends_with("done"))
        return true;
      if (error && error != asio::error::would_block)
        return false;
    }
    return false;
  }

  CallerConnection& Connection() { return *this->connection; }
  int Served() const { return this->server.served; }
  const std::string& Targets() const { return this->server.targets; }

 private:
  static asio::awaitable<void> RunConnection(
      std::shared_ptr<CallerConnection> connection) {
    co_await connection->Run();
  }

  asio::io_context io;
  SlowServer server;
  asio::ip::tcp::socket caller;
  std::shared_ptr<CallerConnection> connection;
};

void IdleSweepKeepsArrivedRequest() {
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    ConnectedPair pair;
    pair.SendRequest();
    pair.RunSteps(steps);
    pair.Connection().CloseIfTimedOut(Clock::now() + std::chrono::hours(1));
    const std::string context =
        "idle sweep after step " + std::to_string(steps);
    CPPUNIT_ASSERT_MESSAGE(context, pair.ReceivesResponse());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 1, pair.Served());
  }
}

void AbortedRequestIsNotServed() {
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    ConnectedPair pair;
    pair.SendRequest();
    pair.RunSteps(steps);
    if (pair.Connection().IsBusy())
      return;
    pair.Connection().Abort();
    const std::string context = "aborted after step " + std::to_string(steps);
    CPPUNIT_ASSERT_MESSAGE(context, !pair.ReceivesResponse());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, pair.Served());
  }
  CPPUNIT_FAIL("the connection never became busy with the request");
}

/** The second request arrives while the first is in progress, and the third
 * once the second has been read. */
void RequestsInSequenceAreServedOnce() {
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    ConnectedPair pair;
    pair.SendRequest("/1");
    pair.RunSteps(steps);
    pair.SendRequest("/2");
    pair.RunSteps(2 * kMaxSteps);
    pair.SendRequest("/3");
    pair.RunSteps(2 * kMaxSteps);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("after step " + std::to_string(steps),
                                 std::string("/1/2/3"), pair.Targets());
  }
}

void IdleConnectionIsClosed() {
  ConnectedPair pair;
  pair.Connection().CloseIfTimedOut(Clock::now() + std::chrono::hours(1));
  // The read that waits for a request is cancelled first.
  pair.RunSteps(kMaxSteps);
  CPPUNIT_ASSERT(pair.Connection().IsDisconnected());
}

void RequestSentBeforeTimeoutIsAwaited() {
  ConnectedPair pair;
  const CallerLimits limits;
  const auto start = Clock::now();
  pair.Connection().CloseIfTimedOut(start + limits.idle_timeout +
                                    limits.header_timeout / 2);
  CPPUNIT_ASSERT(!pair.Connection().IsDisconnected());
  pair.SendRequest();
  CPPUNIT_ASSERT(pair.ReceivesResponse());
}

const Story kStory("caller_connection", [] {
  return Section(
      "given a connection beyond its idle timeout",
      {Then("it is closed", IdleConnectionIsClosed),
       Then("a request sent just before the timeout is awaited",
            RequestSentBeforeTimeoutIsAwaited),
       Section("when a request arrives during the idle sweep, at any step",
               {Then("it is answered", IdleSweepKeepsArrivedRequest)}),
       Section("when requests arrive while others are in progress",
               {Then("each is served once, in order",
                     RequestsInSequenceAreServedOnce)}),
       Section(
           "when the connection is aborted before it is busy",
           {Then("the request is not served", AbortedRequestIsNotServed)})});
});

}  // namespace

}  // namespace buckthornpath
