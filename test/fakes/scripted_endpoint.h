/** @file scripted_endpoint.h Fake endpoint that runs a script of a test. */

#ifndef TEST_FAKES_SCRIPTED_ENDPOINT_H_
#define TEST_FAKES_SCRIPTED_ENDPOINT_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "kernel/socket_address.h"

namespace buckthornpath {

/** A request that an endpoint received, and its connection. */
class ScriptedCall {
 public:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  /** @param unread_bytes Bytes of the body that have not been read. */
  ScriptedCall(Message message,
               boost::asio::ip::tcp::socket& socket,
               std::size_t unread_bytes = 0)
      : message(std::move(message)),
        socket(socket),
        unread_bytes(unread_bytes) {}

  /** @return Value of a header field; empty if there is none. */
  std::string Field(const std::string& name) const;
  std::string Id() const { return this->Field("Buckthornpath-Request-Id"); }
  const Message& Request() const { return this->message; }

  /** Sends bytes unchanged. @return False if the connection has failed. */
  bool Send(const std::string& bytes);

  /** Reads bytes of the body that have not been read, at most this many. */
  void DiscardBody(std::size_t limit);

  /** Sends a complete response with the endpoint's response seal. */
  void Answer(unsigned status,
              const std::string& body,
              const std::string& more_fields = "");

  /** Sends the header of an event stream with the response seal. */
  void BeginEvents();
  void Event(int id);
  void EndEvents();

  /** Closes the connection. @param reset True to send a TCP reset. */
  void Close(bool reset);

  /** @return True if the caller closes the connection in time. */
  bool WaitForClose(std::chrono::milliseconds timeout);

 private:
  Message message;
  boost::asio::ip::tcp::socket& socket;
  std::size_t unread_bytes;
};

/** Handles one request of an endpoint. */
using EndpointScript = std::function<void(ScriptedCall&)>;

/** Serves each connection on its own thread and runs the script. */
class ScriptedEndpoint {
 public:
  ScriptedEndpoint(const SocketAddress& address, EndpointScript script);
  ~ScriptedEndpoint();

  void SetScript(EndpointScript script);

  /** Runs the script of each further request once its head has arrived. The
   * script must close the connection. */
  void StopReadingBodies();

  /** Ends as a process that crashes: all connections close and new ones are
   * refused, until Recover(). May be called by the script. */
  void Crash();
  void Recover();

  /** @return Requests received so far, in order of arrival. */
  std::vector<ScriptedCall::Message> Received();

  /** @return Number of requests received with this id. */
  std::size_t CountOf(const std::string& request_id);

  /** @return Number of connections accepted so far. */
  int Accepted() const { return this->accepted; }

 private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket socket)
        : socket(std::move(socket)) {}
    boost::asio::ip::tcp::socket socket;
    std::thread thread;
  };

  void AcceptConnections();

  /** Waits for the end of a crash. @return False if the endpoint is destroyed
   * instead. */
  bool WaitForRecovery();
  void ServeConnection(boost::asio::ip::tcp::socket& socket);

  std::mutex mutex;
  std::condition_variable recovered;
  EndpointScript script;
  std::vector<ScriptedCall::Message> received;
  bool is_crashed = false;
  std::atomic<bool> reads_bodies = true;
  std::atomic<int> accepted = 0;
  std::atomic<bool> is_stopping = false;
  SocketAddress address;
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  std::list<Connection> connections;
  std::thread thread;
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_SCRIPTED_ENDPOINT_H_
