/** @file fake_program.cc Functions shared by the fake programs. */

#include "fakes/fake_program.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace buckthornpath {

void HistoryFile::Write(nlohmann::json line) {
  const std::lock_guard lock(this->mutex);
  if (!this->file.is_open())
    return;
  line["time_ns"] = std::chrono::steady_clock::now().time_since_epoch().count();
  this->file << line.dump() << std::endl;
}

HttpResponse JsonResponse(const nlohmann::json& body, unsigned status) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

HttpResponse StatusResponse(unsigned status) {
  return {status, {}, ""};
}

void RunUntilSignal(WorkerPool& pool) {
  asio::signal_set signals(pool.context(), SIGTERM, SIGINT);
  signals.async_wait(
      [&pool](const auto& /*error*/, int /*signal*/) { pool.Stop(); });
  pool.Run();
}

}  // namespace buckthornpath
