/** @file story.cc Runs test suites and reports their cases. */

#include "harness/story.h"

#include <cppunit/TestCase.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace buckthornpath {

namespace {

using StoryMap = std::map<std::string, std::function<CppUnit::Test*()>>;

StoryMap& Stories() {
  static StoryMap stories;
  return stories;
}

class FunctionTestCase final : public CppUnit::TestCase {
 public:
  FunctionTestCase(const std::string& name, std::function<void()> body)
      : CppUnit::TestCase(name), body(std::move(body)) {}

  void runTest() override { this->body(); }

 private:
  std::function<void()> body;
};

/** Prints sections when they begin and cases when they end. */
class ProgressListener final : public CppUnit::TestListener {
 public:
  void startSuite(CppUnit::Test* suite) override {
    this->path.push_back(suite->getName());
    std::cout << std::string(2 * this->path.size() - 2, ' ') << suite->getName()
              << std::endl;
  }

  void endSuite(CppUnit::Test* /*suite*/) override { this->path.pop_back(); }

  void startTest(CppUnit::Test* /*test*/) override { this->failed = false; }

  void addFailure(const CppUnit::TestFailure& failure) override {
    this->failed = true;
    this->failures.insert(failure.failedTest()->getName());
    std::cout << failure.thrownException()->message().details() << "\n"
              << "  at " << failure.sourceLine().fileName() << ":"
              << failure.sourceLine().lineNumber() << std::endl;
  }

  void endTest(CppUnit::Test* test) override {
    std::cout << std::string(2 * this->path.size(), ' ')
              << (this->failed ? "FAILED " : "ok ") << test->getName()
              << std::endl;
    ++this->count;
  }

  const std::set<std::string>& Failures() const { return this->failures; }
  std::size_t Count() const { return this->count; }

 private:
  std::vector<std::string> path;
  std::set<std::string> failures;
  bool failed = false;
  std::size_t count = 0;
};

/** @return Names of known failures: lines `test: <name>` of KNOWN-RED.txt. */
std::set<std::string> KnownFailures() {
  constexpr std::string_view kPrefix = "test: ";
  std::set<std::string> names;
  const char* path = std::getenv("BUCKTHORNPATH_KNOWN_RED");
  if (path == nullptr)
    return names;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line.compare(0, kPrefix.size(), kPrefix) == 0) {
      names.insert(line.substr(kPrefix.size()));
    }
  }
  return names;
}

}  // namespace

CppUnit::Test* Section(const std::string& name,
                       std::initializer_list<CppUnit::Test*> parts) {
  auto* suite = new CppUnit::TestSuite(name);
  for (CppUnit::Test* part : parts)
    suite->addTest(part);
  return suite;
}

CppUnit::Test* Then(const std::string& name, std::function<void()> body) {
  return new FunctionTestCase(name, std::move(body));
}

int RunStory(const std::string& name) {
  const auto found = Stories().find(name);
  if (found == Stories().end()) {
    std::cerr << "no story '" << name << "'\n";
    return 2;
  }
  const std::unique_ptr<CppUnit::Test> story(found->second());
  ProgressListener listener;
  CppUnit::TestResult result;
  result.addListener(&listener);
  story->run(&result);
  const std::set<std::string> known = KnownFailures();
  std::size_t unexpected = 0;
  for (const std::string& failure : listener.Failures()) {
    if (known.count(failure) > 0) {
      std::cout << "known red, passed over: " << failure << "\n";
    } else {
      ++unexpected;
    }
  }
  std::cout << listener.Count() - listener.Failures().size() << " passed, "
            << listener.Failures().size() << " failed" << std::endl;
  return unexpected == 0 && listener.Count() > 0 ? 0 : 1;
}

Story::Story(std::string name, std::function<CppUnit::Test*()> make) {
  Stories()[std::move(name)] = std::move(make);
}

}  // namespace buckthornpath
