/** @file hostile_crowd.cc Many callers that send more than they should. */

#include "harness/hostile_crowd.h"

#include <arpa/inet.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <utility>

namespace buckthornpath {

namespace {

using ErrorCode = boost::system::error_code;

/** @return An address as the kernel's table of TCP connections has it. */
std::string TableText(const SocketAddress& address) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%08X:%04X",
                htonl(address.address().to_v4().to_uint()), address.port());
  return text.data();
}

/** @return True if bytes or connections to an address wait to be taken. */
bool HasUnreadInput(const SocketAddress& address) {
  const std::string wanted = TableText(address);
  const std::string empty(8, '0');
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> slot >> local >> remote >> state >> queues;
    const std::string unsent = queues.substr(0, empty.size());
    const std::string unread = queues.substr(empty.size() + 1);
    if ((local == wanted && unread != empty) ||
        (remote == wanted && unsent != empty))
      return true;
  }
  return false;
}

}  // namespace

struct HostileCrowd::Caller {
  Caller(boost::asio::io_context& io,
         std::shared_ptr<const HostileScript> script)
      : socket(io), script(std::move(script)) {}

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<const HostileScript> script;
  std::size_t step = 0;  ///< Parts of the script that have been sent.
  bool is_settled = false;
  std::array<char, 4096> unread{};
};

HostileCrowd::HostileCrowd(SocketAddress address)
    : address(std::move(address)),
      work(this->io.get_executor()),
      thread([this] { this->io.run(); }) {}

HostileCrowd::~HostileCrowd() {
  this->work.reset();
  this->io.stop();
  this->thread.join();
}

void HostileCrowd::Add(std::size_t count, const HostileScript& script) {
  const auto shared = std::make_shared<const HostileScript>(script);
  for (std::size_t i = 0; i < count; ++i) {
    const auto caller = std::make_shared<Caller>(this->io, shared);
    this->callers.push_back(caller);
    boost::asio::post(this->io, [this, caller] {
      caller->socket.async_connect(this->address,
                                   [this, caller](const ErrorCode& error) {
                                     if (error) {
                                       this->Settle(*caller);
                                       return;
                                     }
                                     this->ReadOn(caller);
                                     this->SendNext(caller);
                                   });
    });
  }
}

bool HostileCrowd::IsSettled() const {
  return this->settled == this->callers.size() &&
         !HasUnreadInput(this->address);
}

void HostileCrowd::SendNext(const std::shared_ptr<Caller>& caller) {
  const HostileScript& script = *caller->script;
  const std::size_t step = caller->step++;
  if (step > script.repeats + 1) {
    this->Settle(*caller);
    return;
  }
  const std::string* part = &script.piece;
  if (step == 0)
    part = &script.head;
  else if (step == script.repeats + 1)
    part = &script.tail;
  boost::asio::async_write(
      caller->socket, boost::asio::buffer(*part),
      [this, caller](const ErrorCode& error, std::size_t /*size*/) {
        if (error)
          this->Settle(*caller);
        else
          this->SendNext(caller);
      });
}

void HostileCrowd::Settle(Caller& caller) {
  if (!std::exchange(caller.is_settled, true))
    ++this->settled;
}

void HostileCrowd::ReadOn(const std::shared_ptr<Caller>& caller) {
  caller->socket.async_read_some(
      boost::asio::buffer(caller->unread),
      [this, caller](const ErrorCode& error, std::size_t /*size*/) {
        if (!error) {
          this->ReadOn(caller);
          return;
        }
        this->Settle(*caller);
        ErrorCode ignored;
        caller->socket.close(ignored);
      });
}

}  // namespace buckthornpath
