/** @file soak_callers.cc Callers and endpoints of the soak. */

#include "soak/soak_callers.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace buckthornpath {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** A caller's patience: the routes' limit of 4 s, the platform's half second
 * and the longest pause of a process, doubled. */
constexpr milliseconds kPatience{5800};

/** Work of a request whose caller leaves, and the caller's stay. */
constexpr milliseconds kLongWork{1500};
constexpr milliseconds kShortStay{100};

/** A connection that a caller keeps for its next request. */
class KeptConnection {
 public:
  explicit KeptConnection(const SocketAddress& address) : socket(this->io) {
    this->socket.connect(address);
  }

  /** Sends a request and reads its answer. @return False once it is closed. */
  bool Exchange(const std::string& bytes, CallerEnd& end) {
    ErrorCode error;
    asio::write(this->socket, asio::buffer(bytes), error);
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    while (!error && !end.is_silent && !parser.is_done())
      this->ReadSome(parser, error, end);
    if (parser.is_header_done()) {
      end.status = parser.get().result_int();
      end.body = parser.get().body();
      end.is_whole = !error && parser.is_done();
    }
    return end.is_whole && parser.keep_alive();
  }

 private:
  using ErrorCode = boost::system::error_code;

  void ReadSome(http::response_parser<http::string_body>& parser,
                ErrorCode& error,
                CallerEnd& end) {
    const auto left =
        std::chrono::ceil<milliseconds>(end.sent_at + kPatience - Clock::now());
    pollfd readable{this->socket.native_handle(), POLLIN, 0};
    if (poll(&readable, 1, std::max(0, static_cast<int>(left.count()))) <= 0) {
      end.is_silent = true;
      return;
    }
    constexpr std::size_t kReadBytes = 4096;
    this->buffer.commit(
        this->socket.read_some(this->buffer.prepare(kReadBytes), error));
    if (error == asio::error::eof && parser.is_header_done()) {
      parser.put_eof(error);
      return;
    }
    while (!error && this->buffer.size() > 0 && !parser.is_done()) {
      const std::size_t used = parser.put(this->buffer.data(), error);
      this->buffer.consume(used);
      if (error == http::error::need_more)
        error = {};
      if (used == 0)
        break;
    }
  }

  asio::io_context io;
  asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

CallerText TextFor(const CallerEnd& end, const std::string& path) {
  CallerText text;
  text.id = end.id;
  text.path = path;
  text.keeps_open = true;
  text.more_fields = "Buckthornpath-Deadline-Ms: 3000\r\n";
  return text;
}

void StreamFrom(ScriptedCall& call, bool breaks) {
  const std::string after = call.Field("Last-Event-Id");
  call.BeginEvents();
  for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= kEvents; ++id) {
    std::this_thread::sleep_for(milliseconds(10));
    call.Event(id);
    if (breaks && id == kEvents / 2) {
      call.Close(true);
      return;
    }
  }
  call.EndEvents();
}

}  // namespace

EndpointScript SoakEndpoint(SoakHistory& history,
                            const std::atomic<bool>& is_sick,
                            const std::string& name,
                            std::uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  auto mutex = std::make_shared<std::mutex>();
  return [&history, &is_sick, name, random, mutex](ScriptedCall& call) {
    const std::string id = call.Id();
    history.NoteRun(id, call.Field("Buckthornpath-Tenant"),
                    !call.Field("X-Api-Key").empty(), name);
    constexpr int kSides = 40;
    int dice = 0;
    {
      const std::lock_guard lock(*mutex);
      dice = std::uniform_int_distribution<int>(0, kSides - 1)(*random);
    }
    if (id.starts_with(kLeft)) {
      if (call.WaitForClose(kLongWork))
        history.NoteWorkStopped(id);
      else
        call.Answer(200, "late");
      return;
    }
    std::this_thread::sleep_for(milliseconds(5 + dice));
    if (dice == 0 || (is_sick && !id.starts_with(kOnce)))
      call.Close(true);
    else if (id.starts_with(kTalk))
      StreamFrom(call, dice == 1);
    else
      call.Answer(200, "answer to " + id);
  };
}

void CallUntil(const std::atomic<bool>& is_over,
               const GatewayFleet& fleet,
               SoakHistory& history,
               std::size_t gateway,
               std::size_t caller) {
  constexpr std::array<std::pair<const char*, const char*>, 4> kKinds = {
      {{kOnce, "/issue/x"},
       {kMany, "/lookup/x"},
       {kTalk, "/talk/x"},
       {kKnown, ""}}};
  std::optional<KeptConnection> connection;
  for (std::size_t i = caller; !is_over; ++i) {
    const auto& [prefix, fixed_path] = kKinds.at(i % kKinds.size());
    CallerEnd end;
    end.id = prefix + std::to_string(gateway) + "-" + std::to_string(caller) +
             "-" + std::to_string(i);
    end.gateway = gateway;
    std::string path = fixed_path;
    if (path.empty()) {
      const std::uint64_t newest = history.NewestVersion();
      if (newest == 0)
        continue;
      // Version 1 has no route of its own.
      end.version = 2 + i / kKinds.size() % (newest - 1);
      path = "/v" + std::to_string(end.version) + "/x";
    }
    try {
      if (!connection)
        connection.emplace(fleet.Caller(gateway));
    } catch (const boost::system::system_error&) {
      std::this_thread::sleep_for(kShortestPause);  // No process there now.
      continue;
    }
    end.sent_at = Clock::now();
    if (!connection->Exchange(TextOf(TextFor(end, path)), end))
      connection.reset();
    history.NoteEnd(end);
    if (end.status != 200)
      std::this_thread::sleep_for(kShortestPause);
  }
}

void LeaveUntil(const std::atomic<bool>& is_over,
                const GatewayFleet& fleet,
                SoakHistory& history,
                std::size_t gateway) {
  for (std::size_t i = 0; !is_over; ++i) {
    CallerEnd end;
    end.id = kLeft + std::to_string(gateway) + "-" + std::to_string(i);
    try {
      asio::io_context io;
      asio::ip::tcp::socket socket(io);
      socket.connect(fleet.Caller(gateway));
      asio::write(socket, asio::buffer(TextOf(TextFor(end, "/draft/x"))));
      std::this_thread::sleep_for(kShortStay);
    } catch (const boost::system::system_error&) {
      std::this_thread::sleep_for(kShortestPause);  // No process there now.
      continue;
    }
    history.NoteCallerLeft(end.id);
    std::this_thread::sleep_for(kShortestPause);
  }
}

}  // namespace buckthornpath
