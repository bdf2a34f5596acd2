/** @file tool.h Runs the operators' command-line tool. */

#ifndef TEST_HARNESS_TOOL_H_
#define TEST_HARNESS_TOOL_H_

#include <filesystem>
#include <string>
#include <vector>

#include "harness/child_process.h"

namespace buckthornpath {

/** What a run of the tool left behind. */
struct ToolRun {
  int exit_code = -1;
  std::string output;  ///< Standard output and error.

  bool Says(const std::string& text) const {
    return this->output.find(text) != std::string::npos;
  }
};

/** A directory for one test; removed at its end. */
class ScratchDirectory {
 public:
  ScratchDirectory();
  ~ScratchDirectory();
  ScratchDirectory(const ScratchDirectory&) = delete;
  ScratchDirectory& operator=(const ScratchDirectory&) = delete;

  /** Writes a file below the directory. @return Its path. */
  std::string Write(const std::string& name, const std::string& text) const;

  const std::filesystem::path& Path() const { return this->path; }

 private:
  std::filesystem::path path;
};

/** @return All bytes of a file; empty if there is none. */
std::string ReadWholeFile(const std::filesystem::path& path);

/** Runs the tool to its end. */
ToolRun RunTool(const std::vector<std::string>& arguments);

}  // namespace buckthornpath

#endif  // TEST_HARNESS_TOOL_H_
