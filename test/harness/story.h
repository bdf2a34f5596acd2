/** @file story.h Test suites of nested sections and cases. */

#ifndef TEST_HARNESS_STORY_H_
#define TEST_HARNESS_STORY_H_

#include <cppunit/Test.h>

#include <functional>
#include <initializer_list>
#include <string>

namespace buckthornpath {

/** @return A section; it owns the sections and cases in it. */
CppUnit::Test* Section(const std::string& name,
                       std::initializer_list<CppUnit::Test*> parts);

/** @return A test case; an assertion of CppUnit or an exception fails it. */
CppUnit::Test* Then(const std::string& name, std::function<void()> body);

/**
 * Runs one registered test suite and prints its sections and cases.
 * @return Exit code: 0 if no case failed but those in KNOWN-RED.txt; 1 if
 * another case failed or none ran; 2 if there is no such suite.
 */
int RunStory(const std::string& name);

/** Registers the test suite of one file under the file's name. */
class Story {
 public:
  Story(std::string name, std::function<CppUnit::Test*()> make);
};

}  // namespace buckthornpath

#endif  // TEST_HARNESS_STORY_H_
