/** @file caller_connection.h HTTP connection of a caller (server side). */

#ifndef SRC_GATEWAY_CALLER_CONNECTION_H_
#define SRC_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "buckthornpath/crowd_eviction.h"
#include "buckthornpath/routing_table.h"
#include "gateway/byte_budget.h"
#include "gateway/shared_body.h"
#include "gateway/wake_signal.h"

namespace buckthornpath {

/** Header fields of a response, in order. */
using HeaderFieldList = std::vector<std::pair<std::string, std::string>>;

using CallerRequest = boost::beast::http::request<SharedBody>;

class CallerConnection;

/** A request that has been read in full, and the methods to respond to it. */
class CallerExchange {
 public:
  using Clock = std::chrono::steady_clock;

  virtual ~CallerExchange() = default;

  virtual const CallerRequest& Request() const = 0;

  /** @return Time at which the first byte of the request was read. */
  virtual Clock::time_point ReceivedAt() const = 0;

  /** @return True if the caller has closed the connection. */
  virtual bool IsDisconnected() const = 0;

  /** Looks at the connection itself, as the event loop may not have handled its
   * end yet. Takes a system call; the disconnect handler is not called.
   * @return True if the caller has closed the connection. */
  virtual bool HasCallerLeft() = 0;

  /** Sets a handler that is called once when the caller disconnects. */
  virtual void SetDisconnectHandler(std::function<void()> handler) = 0;

  /** Sets a handler that is called once when the process ends before the
   * response; the response must then be ended at once. */
  virtual void SetCutOffHandler(std::function<void()> handler) = 0;

  /** Sends a complete response with a Content-Length. */
  virtual asio::awaitable<void> Send(unsigned status,
                                     const HeaderFieldList& fields,
                                     std::string body) = 0;

  /** Sends the head of a chunked response and its first chunk. */
  virtual asio::awaitable<void> BeginStream(unsigned status,
                                            const HeaderFieldList& fields,
                                            std::string_view chunk) = 0;

  /** Sends one chunk of a chunked response; nothing if it is empty. */
  virtual asio::awaitable<void> SendChunk(std::string_view chunk) = 0;

  /** Sends the last chunk, which marks the response as complete. */
  virtual asio::awaitable<void> EndStream() = 0;

  /** Closes the connection at once, so that the response is seen to be
   * truncated. */
  virtual void Abort() = 0;
};

/** Settings and request handler shared by all connections of callers. */
class CallerServerContext {
 public:
  virtual ~CallerServerContext() = default;

  /** @return Current limits on the size and duration of requests. */
  virtual CallerLimits Limits() const = 0;

  /** @return True if connections are closed after the current response. */
  virtual bool IsDraining() const = 0;

  /** @return Budget of the bytes that requests hold. */
  virtual ByteBudget& BufferedBytes() = 0;

  /**
   * Refuses the part of a request that has arrived on another connection, so
   * that its bytes return to the budget.
   * @param asking Connection that needs room.
   * @return False if the asking connection's request is to be refused instead.
   */
  virtual bool MakeRoom(const CallerConnection& asking) = 0;

  /** Handles a request; each exchange gets a response or is closed. */
  virtual asio::awaitable<void> Serve(CallerExchange& exchange) = 0;
};

/** Serves the requests of one connection in sequence. */
class CallerConnection final
    : public CallerExchange,
      public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(asio::ip::tcp::socket socket, CallerServerContext& context);

  /** Serves the connection until it ends. */
  asio::awaitable<void> Run();

  /** Closes the connection if it has been idle for too long, or if a request
   * takes too long to arrive. */
  void CloseIfTimedOut(Clock::time_point now);

  /** Closes the connection unless a request is arriving or in progress. */
  void CloseIfIdle();

  /** Asks for an end of the request in progress, if there is one. */
  void CutOff();

  /** Refuses the part of a request that has arrived, and frees it at once. The
   * request has not run. @pre !IsBusy() */
  void RefuseUnread();

  /** @return The part of a request that has arrived. @pre !IsBusy() */
  UnreadRequest Unread() const;

  /** @return True while a request is in progress. */
  bool IsBusy() const { return this->is_busy; }

  const CallerRequest& Request() const override { return this->request; }
  Clock::time_point ReceivedAt() const override { return this->received_at; }
  bool IsDisconnected() const override { return this->is_disconnected; }
  bool HasCallerLeft() override;
  void SetDisconnectHandler(std::function<void()> handler) override;
  void SetCutOffHandler(std::function<void()> handler) override;
  asio::awaitable<void> Send(unsigned status,
                             const HeaderFieldList& fields,
                             std::string body) override;
  asio::awaitable<void> BeginStream(unsigned status,
                                    const HeaderFieldList& fields,
                                    std::string_view chunk) override;
  asio::awaitable<void> SendChunk(std::string_view chunk) override;
  asio::awaitable<void> EndStream() override;
  void Abort() override;

 private:
  using Parser = boost::beast::http::request_parser<SharedBody>;

  /** @return False if the connection must be closed. */
  asio::awaitable<bool> ReadRequest();

  /** Prepares to read a request. */
  void BeginRequest(const CallerLimits& limits);

  /** Parses what has arrived. @return Status to refuse it with; 0 if none. */
  unsigned ParseInput(std::size_t max_body_bytes, std::size_t& consumed);

  /** Takes the memory of the parsed header from the budget.
   * @return False if there is no room. */
  bool ReserveHeader(std::size_t consumed);

  /** Takes memory for the next read from the budget.
   * @return False if there is no room. */
  bool ReserveInput();

  /** Calls a function that takes bytes until it succeeds or nothing can make
   * room for it. */
  bool ReserveWith(const std::function<bool()>& reserve);

  /** Closes the connection after its read was cancelled, unless bytes have
   * arrived since. */
  void FinishClosingIdle();

  /** @return True if part of another request has arrived, parsed or not. */
  bool HasPendingInput() const;
  asio::awaitable<void> SendContinue();
  asio::awaitable<void> RejectRequest(unsigned status);
  void StartRead();

  /** Reads what has arrived, without waiting. */
  boost::system::error_code ReadArrived();
  asio::awaitable<void> Write(std::string bytes);
  std::string FormatHead(unsigned status, const HeaderFieldList& fields) const;
  void Close();

  asio::ip::tcp::socket socket;
  CallerServerContext& context;
  boost::beast::flat_buffer input;
  WakeSignal input_signal;
  ByteShare input_share;         ///< Of `input`, beyond its first read.
  ByteShare header_share;        ///< Of the header of the request.
  std::optional<Parser> parser;  ///< None while no request is being read.
  std::size_t header_bytes = 0;  ///< Size of the header read so far.
  CallerRequest request;
  Clock::time_point received_at{};
  Clock::time_point idle_since;
  Clock::time_point advanced_at;  ///< Time at which bytes were parsed last.
  std::function<void()> disconnect_handler;
  std::function<void()> cut_off_handler;
  bool is_reading = false;
  bool is_closing_idle = false;  ///< The read was cancelled by CloseIfIdle().
  bool is_disconnected = false;
  bool is_busy = false;
  bool is_continue_sent = false;
  bool is_persistent = true;  ///< Serve another request afterwards.
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_CALLER_CONNECTION_H_
