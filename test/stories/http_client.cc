/** @file http_client.cc Limits of an exchange of the HTTP client, and responses
 * that it must not take for one. */

#include "kernel/http_client.h"

#include <cppunit/TestAssert.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "fakes/broken_answer.h"
#include "fakes/scripted_endpoint.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

/** Sends a head, and then one byte of the body after the other. */
class TricklingServer {
 public:
  TricklingServer()
      : acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}),
        thread([this] { this->Run(); }) {}

  ~TricklingServer() {
    this->is_stopping = true;
    this->thread.join();
  }

  SocketAddress Address() { return this->acceptor.local_endpoint(); }

  /** @return True once the client has closed the connection. */
  bool IsClosed() const { return this->is_closed; }

 private:
  void Run() {
    boost::system::error_code error;
    auto socket = this->acceptor.accept(error);
    asio::write(socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")),
                error);
    while (!error && !this->is_stopping) {
      std::this_thread::sleep_for(milliseconds(20));
      asio::write(socket, asio::buffer(std::string("x")), error);
    }
    this->is_closed = true;
  }

  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> is_stopping = false;
  std::atomic<bool> is_closed = false;
  std::thread thread;
};

/** Guards against a service that sends a byte now and then and so keeps its
 * reader waiting without end. */
void TricklingResponseIsGivenUp() {
  TricklingServer server;
  asio::io_context io;
  HttpRequest request;
  request.target = "/";
  auto result = asio::co_spawn(
      io,
      HttpFetch(server.Address(), std::move(request),
                HttpTimeouts(milliseconds(300), milliseconds(600))),
      asio::use_future);
  std::thread thread([&] { io.run(); });
  CPPUNIT_ASSERT(WaitUntil([&] { return server.IsClosed(); }));
  thread.join();
  CPPUNIT_ASSERT_THROW(result.get(), HttpError);
}

/** Nothing that a process or command of ours reads by HTTP is taken from a
 * broken response. */
std::function<void()> ClientRejects(
    const std::function<std::vector<BrokenAnswer>()>& answers) {
  return [answers] {
    const NetworkClaim claim;
    const SocketAddress address =
        ParseSocketAddress(claim.Network() + "1:7100");
    for (const BrokenAnswer& broken : answers()) {
      ScriptedEndpoint server(address, [&](ScriptedCall& call) {
        call.Send(broken.Format("Content-Type: application/json\r\n"));
        call.Close(false);
      });
      CPPUNIT_ASSERT_THROW_MESSAGE(broken.name, CallHttp(address, {}),
                                   HttpError);
    }
  };
}

void FinalResponseIsRead() {
  const NetworkClaim claim;
  const SocketAddress address = ParseSocketAddress(claim.Network() + "1:7100");
  const ScriptedEndpoint server(address, [](ScriptedCall& call) {
    for (const std::string& head : InterimHeads("X-Interim: 1\r\n"))
      call.Send(head);
    call.Answer(201, "final");
  });
  const HttpResponse response = CallHttp(address, {});
  CPPUNIT_ASSERT_EQUAL(201U, response.status);
  CPPUNIT_ASSERT_EQUAL(std::string("final"), response.body);
  CPPUNIT_ASSERT(!response.headers.Find("X-Interim"));
}

void TrailerIsNoPartOfTheHead() {
  const NetworkClaim claim;
  const SocketAddress address = ParseSocketAddress(claim.Network() + "1:7100");
  const ScriptedEndpoint server(address, [](ScriptedCall& call) {
    call.Send(WithTrailer("X-Head: 1\r\n", "whole", "X-Trailer: 1\r\n"));
  });
  const HttpResponse response = CallHttp(address, {});
  CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
  CPPUNIT_ASSERT(response.headers.Find("X-Head").has_value());
  CPPUNIT_ASSERT(!response.headers.Find("X-Trailer"));
}

void InterimResponsesAreBounded() {
  const NetworkClaim claim;
  const SocketAddress address = ParseSocketAddress(claim.Network() + "1:7100");
  const ScriptedEndpoint server(address, [](ScriptedCall& call) {
    while (call.Send(InterimHeads("").front())) {
    }
  });
  CPPUNIT_ASSERT_THROW(CallHttp(address, {}), HttpError);
}

const Story kStory("http_client", [] {
  return Section(
      "given a server in trouble",
      {Section("when the exchange has a limit as a whole",
               {Then("the client gives a response up that comes byte by byte",
                     TricklingResponseIsGivenUp)}),
       Section("when the server sends what looks like a response",
               {Then("a status code that ends no exchange is an error",
                     ClientRejects(InvalidStatuses)),
                Then("so is another transfer coding than chunked",
                     ClientRejects(InvalidTransferCodings)),
                Then("so is a content coding that was not asked for",
                     ClientRejects(ContentCodings)),
                Then("so is a malformed status line",
                     ClientRejects(InvalidStatusLines)),
                Then("so is a field name with a blank or a control byte",
                     ClientRejects(InvalidFieldNames)),
                Then("so is a line that is no field",
                     ClientRejects(InvalidFieldLines)),
                Then("so is a malformed length", ClientRejects(InvalidLengths)),
                Then("so are malformed chunks", ClientRejects(InvalidChunks))}),
       Section(
           "when fields follow the body of a response",
           {Then("they are no part of its head", TrailerIsNoPartOfTheHead)}),
       Section("when interim responses come first",
               {Then("the final response is read", FinalResponseIsRead),
                Then("they do not come without end",
                     InterimResponsesAreBounded)})});
});

}  // namespace

}  // namespace buckthornpath
