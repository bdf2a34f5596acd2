/** @file tool.cc Runs the operators' command-line tool. */

#include "harness/tool.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "harness/caller.h"

namespace buckthornpath {

ScratchDirectory::ScratchDirectory() {
  std::string name =
      (std::filesystem::temp_directory_path() / "buckthornpath-XXXXXX")
          .string();
  if (mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary directory");
  this->path = name;
}

ScratchDirectory::~ScratchDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(this->path, ignored);
}

std::string ScratchDirectory::Write(const std::string& name,
                                    const std::string& text) const {
  const auto file = this->path / name;
  std::filesystem::create_directories(file.parent_path());
  std::ofstream(file) << text;
  return file.string();
}

std::string ReadWholeFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

ToolRun RunTool(const std::vector<std::string>& arguments) {
  const ScratchDirectory scratch;
  const std::string log = (scratch.Path() / "tool.log").string();
  ChildProcess tool("buckthornpath", arguments, log);
  ToolRun run;
  run.exit_code = tool.WaitForExit(kCallerTimeout);
  run.output = ReadWholeFile(log);
  return run;
}

}  // namespace buckthornpath
