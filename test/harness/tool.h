/** @file tool.h Runs the operators' command-line tool. */

#ifndef TEST_HARNESS_TOOL_H_
#define TEST_HARNESS_TOOL_H_

#include <filesystem>
#include <string>
#include <vector>

#include "harness/child_process.h"

namespace buckthornpath {

/** Result of a run of the tool. */
struct ToolRun {
  int exit_code = -1;
  std::string output;  ///< Standard output and error.

  bool Says(const std::string& text) const {
    return this->output.find(text) != std::string::npos;
  }
};

/** A temporary directory; removed by the destructor. */
class ScratchDirectory {
 public:
  ScratchDirectory();
  ~ScratchDirectory();
  ScratchDirectory(const ScratchDirectory&) = delete;
  ScratchDirectory& operator=(const ScratchDirectory&) = delete;

  /** Writes a file in the directory. @return Its path. */
  std::string Write(const std::string& name, const std::string& text) const;

  const std::filesystem::path& Path() const { return this->path; }

 private:
  std::filesystem::path path;
};

/** @return Content of a file; empty if it cannot be read. */
std::string ReadWholeFile(const std::filesystem::path& path);

/** Runs the tool and waits until it ends. */
ToolRun RunTool(const std::vector<std::string>& arguments);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_TOOL_H_
