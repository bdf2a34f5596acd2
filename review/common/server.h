/** @file server.h Stand-in of a replica. */

#ifndef REVIEW_COMMON_SERVER_H_
#define REVIEW_COMMON_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "record.h"

namespace review {

/** A request that a server has begun to work on. */
struct Run {
  std::string id;
  std::string server;
  std::string tenant;
  std::string target;
  TimePoint arrived_at{};
  TimePoint started_at{};
  TimePoint ended_at{};  ///< Zero: still at work.
};

/** A request at a server, and the methods to answer it. */
class ServerCall {
 public:
  ServerCall(const Message& request, const Socket& socket, bool is_leaving)
      : request(request), socket(socket), is_leaving(is_leaving) {}

  const Message& Request() const { return this->request; }

  /** Works for a time. @return False if the caller has left. */
  bool Work(milliseconds time) const {
    return !this->socket.IsClosedBy(Clock::now() + time);
  }

  bool Answer(int status, const std::string& body) const;
  bool BeginEvents() const;
  bool Event(int number) const;
  bool EndEvents() const { return this->socket.Send("0\r\n\r\n"); }

 private:
  std::string Fields() const;

  const Message& request;
  const Socket& socket;
  bool is_leaving;
};

/**
 * Sound server: runs requests in its slots, lets a few more wait, refuses the
 * rest and those for another instance, and drops a request whose connection
 * closes.
 */
class Server {
 public:
  using Work = std::function<void(const ServerCall& call)>;

  struct Plan {
    std::string id;
    Address address;
    std::size_t slots = 4;
    std::size_t queue = 8;
    Work work;
  };

  Server(Plan plan, Record& record);
  ~Server();

  const Plan& Settings() const { return this->plan; }

  /** @return The value of the server's entry in the store. */
  std::string Entry(const std::string& service, const std::string& state) const;

  /** From now on all answers say that the server leaves. */
  void SayLeaving() { this->is_leaving = true; }

  /** Ends as a process does at exit: all connections are closed. */
  void Stop();

  std::vector<Run> Runs() const;

  /** @return Times at which requests arrived, run or not. */
  std::vector<Run> Arrivals() const;

 private:
  void AcceptConnections();
  void Serve(const Socket& socket);
  bool ServeRequest(const Message& request, const Socket& socket);
  bool TakeSlot(const Socket& socket);

  Plan plan;
  Record& record;
  Socket listener;
  mutable std::mutex mutex;
  std::condition_variable freed;
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::vector<Run> runs;
  std::vector<Run> arrivals;
  std::atomic<bool> is_leaving = false;
  bool is_stopping = false;
  std::list<Socket> connections;
  std::list<std::thread> threads;
  std::thread acceptor;
};

}  // namespace review

#endif  // REVIEW_COMMON_SERVER_H_
