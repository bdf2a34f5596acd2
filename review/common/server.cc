/** @file server.cc Stand-in of a replica. */

#include "server.h"

#include <utility>

namespace review {

namespace {

constexpr std::chrono::seconds kIdleTimeout{10};
constexpr milliseconds kSlotPollInterval{20};

std::string Chunk(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string size;
  for (std::size_t left = bytes.size(); left > 0; left /= 16)
    size.insert(size.begin(), kDigits[left % 16]);
  return size + "\r\n" + bytes + "\r\n";
}

}  // namespace

std::string ServerCall::Fields() const {
  return "Buckthornpath-Request-Id: " +
         this->request.Field("Buckthornpath-Request-Id") +
         "\r\nBuckthornpath-Response-Seal: seal\r\n" +
         (this->is_leaving ? "Server-Leaving: 1\r\n" : "");
}

bool ServerCall::Answer(int status, const std::string& body) const {
  return this->socket.Send(
      "HTTP/1.1 " + std::to_string(status) + " X\r\n" + this->Fields() +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool ServerCall::BeginEvents() const {
  return this->socket.Send("HTTP/1.1 200 OK\r\n" + this->Fields() +
                           "Content-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
}

bool ServerCall::Event(int number) const {
  const std::string text = std::to_string(number);
  return this->socket.Send(Chunk("id: " + text + "\ndata: e" + text + "\n\n"));
}

Server::Server(Plan plan, Record& record)
    : plan(std::move(plan)),
      record(record),
      listener(Socket::Listen(this->plan.address)) {
  this->acceptor = std::thread([this] { this->AcceptConnections(); });
}

Server::~Server() {
  this->Stop();
  this->acceptor.join();
  for (std::thread& thread : this->threads)
    thread.join();
}

void Server::Stop() {
  const std::lock_guard lock(this->mutex);
  if (!std::exchange(this->is_stopping, true))
    this->record.Line(this->plan.id + ": ends");
  this->listener.Shutdown();
  for (const Socket& socket : this->connections)
    socket.Shutdown();
  this->freed.notify_all();
}

std::string Server::Entry(const std::string& service,
                          const std::string& state) const {
  return "{\"service\":\"" + service + "\",\"address\":\"" +
         this->plan.address.Text() +
         "\",\"zone\":\"zone-a\",\"version\":\"1\",\"slots\":" +
         std::to_string(this->plan.slots) + ",\"state\":\"" + state +
         "\",\"coldRemainingMs\":0,\"sequence\":1}";
}

std::vector<Run> Server::Runs() const {
  const std::lock_guard lock(this->mutex);
  return this->runs;
}

std::vector<Run> Server::Arrivals() const {
  const std::lock_guard lock(this->mutex);
  return this->arrivals;
}

bool Server::TakeSlot(const Socket& socket) {
  std::unique_lock lock(this->mutex);
  if (this->running >= this->plan.slots && this->waiting >= this->plan.queue)
    return false;
  ++this->waiting;
  while (this->running >= this->plan.slots && !this->is_stopping) {
    this->freed.wait_for(lock, kSlotPollInterval);
    if (socket.IsClosedBy(Clock::now()))
      break;
  }
  --this->waiting;
  if (this->running >= this->plan.slots)
    return false;
  ++this->running;
  return true;
}

bool Server::ServeRequest(const Message& request, const Socket& socket) {
  Run run{request.Field("Buckthornpath-Request-Id"),
          this->plan.id,
          request.Field("Buckthornpath-Tenant"),
          request.Word(1),
          Clock::now(),
          {},
          {}};
  this->record.Line(this->plan.id + ": " + run.id + " arrives");
  {
    const std::lock_guard lock(this->mutex);
    this->arrivals.push_back(run);
  }
  const std::string echo = "Buckthornpath-Request-Id: " + run.id + "\r\n";
  const std::string expected = request.Field("Buckthornpath-Expect-Instance");
  if (!expected.empty() && expected != this->plan.id) {
    this->record.Line(this->plan.id + ": " + run.id + " gets 421");
    return socket.Send("HTTP/1.1 421 X\r\n" + echo +
                       "Content-Length: 0\r\n\r\n");
  }
  if (!this->TakeSlot(socket)) {
    this->record.Line(this->plan.id + ": " + run.id + " gets 503, not run");
    return socket.Send("HTTP/1.1 503 X\r\n" + echo +
                       "Buckthornpath-Not-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n");
  }
  std::size_t index = 0;
  {
    const std::lock_guard lock(this->mutex);
    run.started_at = Clock::now();
    index = this->runs.size();
    this->runs.push_back(run);
  }
  this->record.Line(this->plan.id + ": " + run.id + " begins to run");
  this->plan.work(ServerCall(request, socket, this->is_leaving));
  this->record.Line(this->plan.id + ": " + run.id + " has ended");
  const std::lock_guard lock(this->mutex);
  this->runs[index].ended_at = Clock::now();
  --this->running;
  this->freed.notify_one();
  return true;
}

void Server::Serve(const Socket& socket) {
  MessageReader reader(socket);
  Message request;
  while (reader.Read(request, false, Clock::now() + kIdleTimeout) ==
             ReadResult::kComplete &&
         this->ServeRequest(request, socket)) {
  }
  socket.Shutdown();
}

void Server::AcceptConnections() {
  while (true) {
    Socket socket = this->listener.Accept();
    const std::lock_guard lock(this->mutex);
    if (!socket.IsOpen() || this->is_stopping) {
      this->listener.Close();
      return;
    }
    this->connections.push_back(std::move(socket));
    const Socket& connection = this->connections.back();
    this->threads.emplace_back(
        [this, &connection] { this->Serve(connection); });
  }
}

}  // namespace review
