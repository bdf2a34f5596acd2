/** @file fake_program.h Functions shared by the fake programs. */

#ifndef TEST_FAKES_FAKE_PROGRAM_H_
#define TEST_FAKES_FAKE_PROGRAM_H_

#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "kernel/http_server.h"

namespace buckthornpath {

/** Appends JSON lines to a history file; an empty path disables it. */
class HistoryFile {
 public:
  explicit HistoryFile(const std::string& path) {
    if (!path.empty())
      this->file.open(path, std::ios::app);
  }

  /** Writes one line with the time of the system's monotonic clock, in ns. */
  void Write(nlohmann::json line);

 private:
  std::mutex mutex;
  std::ofstream file;
};

/** @return A JSON response. */
HttpResponse JsonResponse(const nlohmann::json& body, unsigned status = 200);

/** @return A response without a body. */
HttpResponse StatusResponse(unsigned status);

/** Runs a pool until SIGTERM or SIGINT. */
void RunUntilSignal(WorkerPool& pool);

}  // namespace buckthornpath

#endif  // TEST_FAKES_FAKE_PROGRAM_H_
