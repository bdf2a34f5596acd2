/** @file property.h Properties checked by rapidcheck in a story. */

#ifndef TEST_HARNESS_PROPERTY_H_
#define TEST_HARNESS_PROPERTY_H_

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

#include "harness/story.h"

namespace buckthornpath {

/**
 * @return A case that checks a property under the seed in RC_PARAMS, which
 * ctest fixes; the counterexample is printed.
 */
template <class Property>
CppUnit::Test* Always(const std::string& name, Property property) {
  return Then(name, [name, property] {
    CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, property));
  });
}

}  // namespace buckthornpath

#endif  // TEST_HARNESS_PROPERTY_H_
