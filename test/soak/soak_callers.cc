/** @file soak_callers.cc Callers and endpoint scripts of the soak test. */

#include "soak/soak_callers.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

#include "soak/persistent_connection.h"

namespace buckthornpath {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** Time in which a caller must get the complete response: the routes' limit of
 * 4 s, the platform's margin of 0.5 s, and the maximum pause of a process,
 * doubled. */
constexpr milliseconds kResponseTimeout{5800};

/** Processing time of a request whose caller disconnects, and the time after
 * which the caller disconnects. */
constexpr milliseconds kLongRequestTime{1500};
constexpr milliseconds kDisconnectDelay{100};

CallerText TextFor(const CallOutcome& outcome, const std::string& path) {
  CallerText text;
  text.id = outcome.id;
  text.path = path;
  text.keeps_open = true;
  text.more_fields = "Buckthornpath-Deadline-Ms: 3000\r\n";
  return text;
}

void StreamFrom(ScriptedCall& call, bool breaks) {
  const std::string after = call.Field("Last-Event-Id");
  call.BeginEvents();
  for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= kStreamEvents;
       ++id) {
    std::this_thread::sleep_for(milliseconds(10));
    call.Event(id);
    if (breaks && id == kStreamEvents / 2) {
      call.Close(true);
      return;
    }
  }
  call.EndEvents();
}

}  // namespace

EndpointScript SoakEndpoint(SoakHistory& history,
                            const EndpointBehaviour& behaviour,
                            const std::string& name,
                            std::uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  auto mutex = std::make_shared<std::mutex>();
  return [&history, &behaviour, name, random, mutex](ScriptedCall& call) {
    const std::string id = call.Id();
    history.RecordArrival(id, name);
    if (id.starts_with(kDeadlyPrefix)) {
      history.RecordCrash(id);
      behaviour.crash(name);
      return;
    }
    constexpr int kDrawRange = 40;
    int draw = 0;
    {
      const std::lock_guard lock(*mutex);
      draw = std::uniform_int_distribution<int>(0, kDrawRange - 1)(*random);
    }
    constexpr int kRefusalDraw = 2;
    if (draw == kRefusalDraw) {
      call.Answer(503, "",
                  "Buckthornpath-Not-Executed: 1\r\nRetry-After: 1.2\r\n");
      history.RecordAskedForTime(id, name, milliseconds(1200));
      return;
    }
    history.RecordRun(id, call.Field("Buckthornpath-Tenant"),
                      !call.Field("X-Api-Key").empty(), name);
    if (id.starts_with(kDisconnectPrefix)) {
      if (call.WaitForClose(kLongRequestTime))
        history.RecordWorkStopped(id);
      else
        call.Answer(200, "late");
      return;
    }
    std::this_thread::sleep_for(milliseconds(5 + draw));
    const bool is_leaving = behaviour.is_leaving && name == kLeavingEndpoint;
    if (draw == 0 || (behaviour.is_failing && !id.starts_with(kOncePrefix))) {
      call.Close(true);
    } else if (id.starts_with(kStreamPrefix)) {
      StreamFrom(call, draw == 1);
    } else {
      call.Answer(200, "answer to " + id,
                  is_leaving ? "Server-Leaving: 1\r\n" : "");
      if (is_leaving)
        history.RecordSaidLeaving(id, name);
    }
  };
}

void CallUntil(const std::atomic<bool>& is_over,
               const GatewayFleet& fleet,
               SoakHistory& history,
               std::size_t gateway,
               std::size_t caller) {
  constexpr std::array<std::pair<const char*, const char*>, 4> kKinds = {
      {{kOncePrefix, "/issue/x"},
       {kRetryablePrefix, "/lookup/x"},
       {kStreamPrefix, "/talk/x"},
       {kAddedRoutePrefix, ""}}};
  std::optional<PersistentConnection> connection;
  for (std::size_t i = caller; !is_over; ++i) {
    const auto& [prefix, fixed_path] = kKinds.at(i % kKinds.size());
    CallOutcome outcome;
    outcome.id = prefix + std::to_string(gateway) + "-" +
                 std::to_string(caller) + "-" + std::to_string(i);
    outcome.gateway = gateway;
    std::string path = fixed_path;
    if (path.empty()) {
      const std::uint64_t newest = history.NewestVersion();
      if (newest == 0)
        continue;
      // Version 1 adds no route.
      outcome.version = 2 + i / kKinds.size() % (newest - 1);
      path = "/v" + std::to_string(outcome.version) + "/x";
    }
    try {
      if (!connection)
        connection.emplace(fleet.Caller(gateway));
    } catch (const boost::system::system_error&) {
      std::this_thread::sleep_for(kMinPause);  // The gateway is down.
      continue;
    }
    outcome.sent_at = Clock::now();
    if (!connection->Exchange(TextOf(TextFor(outcome, path)), kResponseTimeout,
                              outcome))
      connection.reset();
    history.RecordOutcome(outcome);
    if (outcome.status != 200)
      std::this_thread::sleep_for(kMinPause);
  }
}

void RepeatDeadlyUntil(const std::atomic<bool>& is_over,
                       const GatewayFleet& fleet,
                       SoakHistory& history,
                       std::size_t gateways) {
  constexpr milliseconds kInterval{100};
  for (std::size_t i = 0; !is_over; ++i) {
    std::this_thread::sleep_for(kInterval);
    CallOutcome outcome;
    outcome.gateway = i % gateways;
    outcome.id = kDeadlyPrefix + std::to_string(outcome.gateway) + "-" +
                 std::to_string(i);
    CallerText text = TextFor(outcome, "/lookup/deadly");
    text.body = "deadly";
    try {
      PersistentConnection connection(fleet.Caller(outcome.gateway));
      outcome.sent_at = Clock::now();
      connection.Exchange(TextOf(text), kResponseTimeout, outcome);
    } catch (const boost::system::system_error&) {
      continue;  // The gateway is down.
    }
    if (outcome.status == 200)
      history.AddViolation(outcome.id + " was served");
  }
}

void DisconnectUntil(const std::atomic<bool>& is_over,
                     const GatewayFleet& fleet,
                     SoakHistory& history,
                     std::size_t gateway) {
  for (std::size_t i = 0; !is_over; ++i) {
    CallOutcome outcome;
    outcome.id =
        kDisconnectPrefix + std::to_string(gateway) + "-" + std::to_string(i);
    try {
      asio::io_context io;
      asio::ip::tcp::socket socket(io);
      socket.connect(fleet.Caller(gateway));
      asio::write(socket, asio::buffer(TextOf(TextFor(outcome, "/draft/x"))));
      std::this_thread::sleep_for(kDisconnectDelay);
    } catch (const boost::system::system_error&) {
      std::this_thread::sleep_for(kMinPause);  // The gateway is down.
      continue;
    }
    history.RecordDisconnect(outcome.id);
    std::this_thread::sleep_for(kMinPause);
  }
}

}  // namespace buckthornpath
