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
constexpr int kMostSteps = 40;

/** Timeout for a response over the loopback interface. */
constexpr std::chrono::seconds kArrivalTime{10};

/** Responds to each request after a few rounds of the event loop. */
class SlowServer final : public CallerServerContext {
 public:
  CallerLimits Limits() const override { return CallerLimits{}; }
  bool IsDraining() const override { return false; }

  asio::awaitable<void> Serve(CallerExchange& exchange) override {
    ++this->served;
    constexpr int kRounds = 3;
    for (int round = 0; round < kRounds; ++round)
      co_await asio::post(asio::use_awaitable);
    const HeaderFieldList fields;
    co_await exchange.Send(200, fields, "done");
  }

  int served = 0;
};

/** An accepted connection and the client socket connected to it. */
class Link {
 public:
  Link() : caller(this->io) {
    asio::ip::tcp::acceptor acceptor(this->io,
                                     {asio::ip::address_v4::loopback(), 0});
    this->caller.connect(acceptor.local_endpoint());
    this->connection =
        std::make_shared<CallerConnection>(acceptor.accept(), this->server);
    WorkerPool::SpawnOn(this->io.get_executor(), this->Hold(this->connection));
    this->RunSteps(kMostSteps);
  }

  void SendRequest() { asio::write(this->caller, asio::buffer(kRequest)); }

  /** Runs at most this many ready handlers, one at a time. */
  void RunSteps(int count) {
    for (int step = 0; step < count; ++step)
      this->io.poll_one();
  }

  /** @return True if a complete response arrives before the connection closes.
   */
  bool HasAnswer() {
    this->caller.non_blocking(true);
    std::string text;
    std::array<char, 512> piece{};
    const auto end = Clock::now() + kArrivalTime;
    while (Clock::now() < end) {
      this->io.poll();
      boost::system::error_code error;
      const std::size_t size =
          this->caller.read_some(asio::buffer(piece), error);
      text.append(piece.data(), size);
      if (text.ends_with("done"))
        return true;
      if (error && error != asio::error::would_block)
        return false;
    }
    return false;
  }

  CallerConnection& Connection() { return *this->connection; }
  int Served() const { return this->server.served; }

 private:
  static asio::awaitable<void> Hold(
      std::shared_ptr<CallerConnection> connection) {
    co_await connection->Run();
  }

  asio::io_context io;
  SlowServer server;
  asio::ip::tcp::socket caller;
  std::shared_ptr<CallerConnection> connection;
};

void SweepNeverCutsWhatArrived() {
  for (int steps = 0; steps < kMostSteps; ++steps) {
    Link link;
    link.SendRequest();
    link.RunSteps(steps);
    link.Connection().CloseIfTimedOut(Clock::now() + std::chrono::hours(1));
    const std::string place = "idle sweep after step " + std::to_string(steps);
    CPPUNIT_ASSERT_MESSAGE(place, link.HasAnswer());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(place, 1, link.Served());
  }
}

void WhatIsCutIsNotServed() {
  for (int steps = 0; steps < kMostSteps; ++steps) {
    Link link;
    link.SendRequest();
    link.RunSteps(steps);
    if (link.Connection().IsBusy())
      return;
    link.Connection().Abort();
    const std::string place = "aborted after step " + std::to_string(steps);
    CPPUNIT_ASSERT_MESSAGE(place, !link.HasAnswer());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(place, 0, link.Served());
  }
  CPPUNIT_FAIL("the connection never became busy with the request");
}

void IdleConnectionIsClosed() {
  Link link;
  link.Connection().CloseIfTimedOut(Clock::now() + std::chrono::hours(1));
  CPPUNIT_ASSERT(link.Connection().IsDisconnected());
}

void RequestSentAtTheLimitIsAwaited() {
  Link link;
  const CallerLimits limits;
  const auto begun = Clock::now();
  link.Connection().CloseIfTimedOut(begun + limits.idle_timeout +
                                    limits.header_timeout / 2);
  CPPUNIT_ASSERT(!link.Connection().IsDisconnected());
  link.SendRequest();
  CPPUNIT_ASSERT(link.HasAnswer());
}

const Story kStory("caller_connection", [] {
  return Section(
      "given a connection beyond its idle timeout",
      {Then("it is closed", IdleConnectionIsClosed),
       Then("a request sent just before the timeout is awaited",
            RequestSentAtTheLimitIsAwaited),
       Section("when a request arrives during the idle sweep, at any step",
               {Then("it is answered", SweepNeverCutsWhatArrived)}),
       Section("when the connection is aborted before it is busy",
               {Then("the request is not served", WhatIsCutIsNotServed)})});
});

}  // namespace

}  // namespace buckthornpath
