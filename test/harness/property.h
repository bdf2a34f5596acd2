/** @file property.h Test cases that check properties with rapidcheck. */

#ifndef TEST_HARNESS_PROPERTY_H_
#define TEST_HARNESS_PROPERTY_H_

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

#include "harness/story.h"

namespace buckthornpath {

/**
 * @return A test case that checks a property with the seed in RC_PARAMS, which
 * ctest sets to a fixed value. A counterexample is printed.
 */
template <class Property>
CppUnit::Test* Always(const std::string& name, Property property) {
  return Then(name, [name, property] {
    CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, property));
  });
}

}  // namespace buckthornpath

#endif  // TEST_HARNESS_PROPERTY_H_
