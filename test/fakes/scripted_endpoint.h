/** @file scripted_endpoint.h Endpoint that does what a test says. */

#ifndef TEST_FAKES_SCRIPTED_ENDPOINT_H_
#define TEST_FAKES_SCRIPTED_ENDPOINT_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "kernel/socket_address.h"

namespace buckthornpath {

/** One request as an endpoint received it, and its connection. */
class ScriptedCall {
 public:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  ScriptedCall(Message message, boost::asio::ip::tcp::socket& socket)
      : message(std::move(message)), socket(socket) {}

  /** @return A header field; empty if it is missing. */
  std::string Field(const std::string& name) const;
  std::string Id() const { return this->Field("Buckthornpath-Request-Id"); }
  const Message& Request() const { return this->message; }

  /** Sends bytes as they are. */
  void Send(const std::string& bytes);

  /** Sends a whole answer with the endpoint's proof. */
  void Answer(unsigned status,
              const std::string& body,
              const std::string& more_fields = "");

  /** Sends the head of a stream with the endpoint's proof. */
  void BeginEvents();
  void Event(int id);
  void EndEvents();

  /** Closes the connection; a reset if asked for. */
  void Close(bool reset);

  /** @return True if the caller closes within the time. */
  bool WaitForClose(std::chrono::milliseconds timeout);

 private:
  Message message;
  boost::asio::ip::tcp::socket& socket;
};

/** What an endpoint does with a request. */
using EndpointScript = std::function<void(ScriptedCall&)>;

/** Accepts connections on threads of its own and runs the script. */
class ScriptedEndpoint {
 public:
  ScriptedEndpoint(const SocketAddress& address, EndpointScript script);
  ~ScriptedEndpoint();

  void SetScript(EndpointScript script);

  /** @return Requests received so far, in order. */
  std::vector<ScriptedCall::Message> Received();

  /** @return How often a request of an id was received. */
  std::size_t CountOf(const std::string& request_id);

  /** @return Connections accepted so far. */
  int Accepted() const { return this->accepted; }

 private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket socket)
        : socket(std::move(socket)) {}
    boost::asio::ip::tcp::socket socket;
    std::thread thread;
  };

  void Accept();
  void Serve(boost::asio::ip::tcp::socket& socket);

  std::mutex mutex;
  EndpointScript script;
  std::vector<ScriptedCall::Message> received;
  std::atomic<int> accepted = 0;
  std::atomic<bool> is_ending = false;
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  std::list<Connection> connections;
  std::thread thread;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_SCRIPTED_ENDPOINT_H_
