/** @file story.h Tests in nested sections that read as a story. */

#ifndef TEST_HARNESS_STORY_H_
#define TEST_HARNESS_STORY_H_

#include <cppunit/Test.h>

#include <functional>
#include <initializer_list>
#include <string>

namespace buckthornpath {

/** @return A section that holds other sections and cases; owns them. */
CppUnit::Test* Section(const std::string& name,
                       std::initializer_list<CppUnit::Test*> parts);

/** @return A case; its body fails by a CppUnit assertion or an exception. */
CppUnit::Test* Then(const std::string& name, std::function<void()> body);

/**
 * Runs one story and prints its sections and cases.
 * @return 0 if it passed but for what KNOWN-RED.txt lists.
 */
int RunStory(const std::string& name);

/** Registers the story of one file under the file's name. */
class Story {
 public:
  Story(std::string name, std::function<CppUnit::Test*()> make);
};

}  // namespace buckthornpath

#endif  // TEST_HARNESS_STORY_H_
