/** @file standby_attempt.cc A standby attempt that must send nothing. */

#include "gateway/standby_attempt.h"

#include <cppunit/TestAssert.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <thread>

#include "gateway/gateway_state.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kTimeout{5000};

/** One endpoint, which accepts connections and answers nothing. */
struct SilentEndpoint {
  SilentEndpoint()
      : acceptor(this->io, {asio::ip::address_v4::loopback(), 0}),
        state(this->settings, this->io.get_executor()) {
    EndpointEntry entry;
    entry.id = EndpointId("endpoint");
    entry.service = ServiceName("service");
    entry.address =
        "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    entry.slots = 1;
    this->state.selector.Publish(entry);
    this->acceptor.non_blocking(true);
  }

  EndpointHandle Endpoint() const {
    return this->state.selector.Find(EndpointId("endpoint"));
  }

  std::shared_ptr<StandbyAttempt> MakeAttempt() {
    EndpointReservation reservation(this->state.selector, this->Endpoint(), {},
                                    0, Clock::now());
    ForwardRequest request;
    request.method(boost::beast::http::verb::post);
    request.target("/");
    return std::make_shared<StandbyAttempt>(this->state, std::move(reservation),
                                            std::move(request), "id-1", false);
  }

  /** Runs the event loop until a condition holds. @return False if it does not
   * hold in time. */
  template <class Condition>
  bool RunUntil(Condition holds) {
    const auto end = Clock::now() + kTimeout;
    while (!holds() && Clock::now() < end) {
      this->io.poll();
      this->io.restart();
      std::this_thread::yield();
    }
    return holds();
  }

  /** @return The next connection; closed if there is none. */
  asio::ip::tcp::socket Accept() {
    asio::ip::tcp::socket socket(this->io);
    boost::system::error_code none;
    this->acceptor.accept(socket, none);
    return socket;
  }

  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  Settings settings;
  GatewayState state;
};

/** Guards against the use of an endpoint whose reservation has been released.
 */
void CancelledBeforeItRuns() {
  SilentEndpoint endpoint;
  std::weak_ptr<StandbyAttempt> task;
  bool has_ended = false;
  {
    const auto attempt = endpoint.MakeAttempt();
    task = attempt;
    attempt->Start(
        kTimeout, [] { return true; }, [&] { has_ended = true; });
    attempt->Cancel();
  }
  CPPUNIT_ASSERT(endpoint.RunUntil([&] { return task.expired(); }));
  CPPUNIT_ASSERT(!has_ended);
  CPPUNIT_ASSERT(!endpoint.Accept().is_open());
  CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(endpoint.Endpoint()->OwnRequests()));
}

/** Guards against a request being sent although it, or its endpoint, was ruled
 * out while the connection was opened. */
void RuledOutWhileItConnects() {
  SilentEndpoint endpoint;
  bool has_ended = false;
  const auto attempt = endpoint.MakeAttempt();
  attempt->Start(
      kTimeout, [] { return false; }, [&] { has_ended = true; });
  CPPUNIT_ASSERT(endpoint.RunUntil([&] { return has_ended; }));
  CPPUNIT_ASSERT(attempt->State() == StandbyAttempt::Status::kEnded);
  CPPUNIT_ASSERT(attempt->Failure() == AttemptResult::kWithheld);
  asio::ip::tcp::socket peer = endpoint.Accept();
  CPPUNIT_ASSERT(peer.is_open());
  attempt->Cancel();
  // The connection ends without a byte.
  char byte = 0;
  boost::system::error_code error;
  CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                       peer.read_some(asio::buffer(&byte, 1), error));
  CPPUNIT_ASSERT(error == asio::error::eof);
  CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(endpoint.Endpoint()->OwnRequests()));
}

const Story kStory("standby_attempt", [] {
  return Section(
      "given a standby attempt",
      {Section("when it is cancelled before its task has run",
               {Then("no connection is opened", CancelledBeforeItRuns)}),
       Section("when it is ruled out while it connects",
               {Then("nothing is sent", RuledOutWhileItConnects)})});
});

}  // namespace

}  // namespace buckthornpath
