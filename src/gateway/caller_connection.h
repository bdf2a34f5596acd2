/** @file caller_connection.h One HTTP connection from a caller. */

#ifndef SRC_GATEWAY_CALLER_CONNECTION_H_
#define SRC_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "buckthornpath/routing_table.h"
#include "gateway/wake_signal.h"

namespace buckthornpath {

/** Header fields of an answer, in order. */
using HeaderFieldList = std::vector<std::pair<std::string, std::string>>;

using CallerMessage =
    boost::beast::http::request<boost::beast::http::string_body>;

/** One request that has been read whole, and the means to answer it. */
class CallerExchange {
 public:
  using Clock = std::chrono::steady_clock;

  virtual ~CallerExchange() = default;

  virtual const CallerMessage& Message() const = 0;

  /** @return Time at which the first byte of the request was seen. */
  virtual Clock::time_point ReceivedAt() const = 0;

  /** @return True if the caller has closed the connection. */
  virtual bool IsGone() const = 0;

  /** Sets what to call, once, when the caller closes the connection. */
  virtual void OnGone(std::function<void()> handler) = 0;

  /** Sends a whole answer. */
  virtual asio::awaitable<void> Send(unsigned status,
                                     const HeaderFieldList& fields,
                                     std::string body) = 0;

  /** Sends the head of an answer whose length is not known, and a piece. */
  virtual asio::awaitable<void> BeginStream(unsigned status,
                                            const HeaderFieldList& fields,
                                            std::string_view piece) = 0;

  /** Sends one piece; an empty one sends nothing. */
  virtual asio::awaitable<void> SendPiece(std::string_view piece) = 0;

  /** Ends the answer as complete. */
  virtual asio::awaitable<void> EndStream() = 0;

  /** Ends the connection, so that the answer does not look complete. */
  virtual void BreakOff() = 0;
};

/** What all connections of callers share. */
class CallerServerContext {
 public:
  virtual ~CallerServerContext() = default;

  /** @return Bounds in force on what callers send. */
  virtual CallerLimits Limits() const = 0;

  /** @return True if connections are to be closed after their answer. */
  virtual bool IsDraining() const = 0;

  /** Answers a request; every exchange gets an answer or is broken off. */
  virtual asio::awaitable<void> Serve(CallerExchange& exchange) = 0;
};

/** Reads requests from one connection, one after the other. */
class CallerConnection final
    : public CallerExchange,
      public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(asio::ip::tcp::socket socket, CallerServerContext& context);

  /** Serves the connection until it ends. */
  asio::awaitable<void> Run();

  /** Closes the connection if it waits too long or too slowly for a request.
   */
  void Sweep(Clock::time_point now);

  /** Closes the connection if no request has begun to arrive. */
  void CloseIfIdle();

  /** @return True while a request is being answered. */
  bool IsBusy() const { return this->is_busy; }

  const CallerMessage& Message() const override { return this->message; }
  Clock::time_point ReceivedAt() const override { return this->received_at; }
  bool IsGone() const override { return this->is_gone; }
  void OnGone(std::function<void()> handler) override;
  asio::awaitable<void> Send(unsigned status,
                             const HeaderFieldList& fields,
                             std::string body) override;
  asio::awaitable<void> BeginStream(unsigned status,
                                    const HeaderFieldList& fields,
                                    std::string_view piece) override;
  asio::awaitable<void> SendPiece(std::string_view piece) override;
  asio::awaitable<void> EndStream() override;
  void BreakOff() override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /** @return False if the connection is to end. */
  asio::awaitable<bool> ReadRequest();

  /** @return True if bytes of a further request are here, parsed or not. */
  bool HasArrivals() const;
  asio::awaitable<void> SendContinue(const Parser& parser);
  asio::awaitable<void> RefuseUnread(unsigned status);
  void ArmRead();
  asio::awaitable<void> Write(std::string bytes);
  std::string HeadText(unsigned status, const HeaderFieldList& fields) const;
  void Close();

  asio::ip::tcp::socket socket;
  CallerServerContext& context;
  boost::beast::flat_buffer input;
  WakeSignal arrived;
  CallerMessage message;
  Clock::time_point received_at{};
  Clock::time_point idle_since;
  std::function<void()> on_gone;
  bool is_reading = false;
  bool is_gone = false;
  bool is_busy = false;
  bool is_continue_sent = false;
  bool keeps_open = true;  ///< The connection serves another request.
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_CALLER_CONNECTION_H_
