/** @file caller.cc Requests of a caller. */

#include "caller.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {

namespace {

constexpr milliseconds kConnectTimeout{1000};
/** Time after the deadline for which a caller of a case still listens. */
constexpr milliseconds kListenTime{1500};
constexpr std::size_t kBodyPieces = 20;

std::string Head(const CallerRequest& request) {
  std::string head = request.method + " " + request.target +
                     " HTTP/1.1\r\nHost: h.example\r\n"
                     "Buckthornpath-Request-Id: " +
                     request.id + "\r\nBuckthornpath-Deadline-Ms: " +
                     std::to_string(request.deadline.count()) + "\r\n";
  if (!request.key.empty())
    head += "X-Api-Key: " + request.key + "\r\n";
  return head + request.more_fields +
         "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
}

bool SendBody(const Socket& socket, const CallerRequest& request) {
  if (request.send_time == milliseconds(0))
    return socket.Send(request.body);
  const std::size_t piece = request.body.size() / kBodyPieces + 1;
  for (std::size_t at = 0; at < request.body.size(); at += piece) {
    if (!socket.Send(request.body.substr(at, piece)))
      return false;
    std::this_thread::sleep_for(request.send_time / kBodyPieces);
  }
  return true;
}

}  // namespace

CallerResult Exchange(const Socket& socket,
                      const CallerRequest& request,
                      Record& record) {
  CallerResult result;
  result.id = request.id;
  result.started_at = Clock::now();
  record.Line("caller: " + request.id + " sent, " + request.target);
  bool is_sent = socket.IsOpen() && socket.Send(Head(request));
  is_sent = is_sent && SendBody(socket, request);
  result.sent_at = Clock::now();
  const bool has_left =
      is_sent && request.patience > milliseconds(0) &&
      !socket.HasInputBy(result.started_at + request.patience);
  if (is_sent && !has_left) {
    MessageReader reader(socket);
    const ReadResult read =
        reader.Read(result.response, true,
                    result.started_at + request.deadline + kListenTime);
    result.is_complete = read == ReadResult::kComplete;
    result.is_closed = read == ReadResult::kEnded;
    result.status = std::atoi(result.response.Word(1).c_str());
  }
  result.ended_at = Clock::now();
  const char* end = result.is_closed ? " without a whole answer: closed"
                                     : " without a whole answer";
  record.Line("caller: " + request.id + " ends with status " +
              std::to_string(result.status) + (result.is_complete ? "" : end));
  return result;
}

CallerResult Call(const Address& address,
                  const CallerRequest& request,
                  Record& record) {
  const Socket socket = Socket::Connect(address, kConnectTimeout);
  return Exchange(socket, request, record);
}

}  // namespace review
