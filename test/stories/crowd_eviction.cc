/** @file crowd_eviction.cc Which callers give way when a process is full. */

#include "buckthornpath/crowd_eviction.h"

#include <cppunit/TestAssert.h>

#include "gateway/shared_body.h"
#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;

const std::chrono::steady_clock::time_point kStart{std::chrono::hours(1)};
constexpr std::size_t kMegabyte = 1000000;

UnreadRequest Request(std::size_t held,
                      milliseconds begun,
                      milliseconds advanced) {
  return {held, kStart + begun, kStart + advanced};
}

void StalledOneThatHoldsMostGoesFirst() {
  const auto selected = SelectForRoom(
      {Request(4 * kMegabyte, milliseconds(900), milliseconds(999)),
       Request(1 * kMegabyte, milliseconds(0), milliseconds(100)),
       Request(3 * kMegabyte, milliseconds(0), milliseconds(500)),
       Request(0, milliseconds(0), milliseconds(0))},
      kStart + milliseconds(1000));
  CPPUNIT_ASSERT(selected == std::size_t{2});
}

void OneThatBeganLastGoesNext() {
  const auto selected = SelectForRoom(
      {Request(2 * kMegabyte, milliseconds(700), milliseconds(990)),
       Request(1 * kMegabyte, milliseconds(800), milliseconds(990)),
       Request(4 * kMegabyte, milliseconds(600), milliseconds(990))},
      kStart + milliseconds(1000));
  CPPUNIT_ASSERT(selected == std::size_t{1});
}

void SmallOnesStay() {
  CPPUNIT_ASSERT(!SelectForRoom(
      {Request(kMinEvictedBytes - 1, milliseconds(0), milliseconds(0))},
      kStart + milliseconds(5000)));
  CPPUNIT_ASSERT(!SelectForRoom({}, kStart));
}

void ConnectionSilentLongestIsClosed() {
  const auto selected =
      SelectForConnection({Request(0, milliseconds(0), milliseconds(700)),
                           Request(5, milliseconds(0), milliseconds(300)),
                           Request(0, milliseconds(0), milliseconds(400))});
  CPPUNIT_ASSERT(selected == std::size_t{1});
  CPPUNIT_ASSERT(!SelectForConnection({}));
}

/** A large holder fills all but the reserve. */
void SmallHoldersHaveTheReserve() {
  ByteBudget budget(100 * kMegabyte, 4 * kMegabyte);
  ByteShare large(budget);
  CPPUNIT_ASSERT(large.TryTake(96 * kMegabyte));
  ByteShare next(budget);
  CPPUNIT_ASSERT(!next.TryTake(ByteBudget::kSmallHolder + 1));
  CPPUNIT_ASSERT(next.TryTake(ByteBudget::kSmallHolder));
  CPPUNIT_ASSERT_MESSAGE("it is small no more", !next.TryTake(1));
  large.ReleaseAll();
  CPPUNIT_ASSERT(next.TryTake(1));
}

/** The body's bytes return when the last copy is gone, by capacity. */
void SharedBytesReturnOnce() {
  ByteBudget budget(kMegabyte);
  {
    SharedBytes copy;
    {
      SharedBytes body(budget);
      CPPUNIT_ASSERT(body.TryReserve(kMegabyte / 2, kMegabyte));
      body.Append("body", 4);
      CPPUNIT_ASSERT_EQUAL(kMegabyte / 2, body.Reserved());
      CPPUNIT_ASSERT(!body.TryReserve(kMegabyte, 2 * kMegabyte));
      copy = body;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("body"), copy.Text());
    CPPUNIT_ASSERT_EQUAL(kMegabyte / 2, budget.Available());
  }
  CPPUNIT_ASSERT_EQUAL(kMegabyte, budget.Available());
}

const Story kStory("crowd_eviction", [] {
  return Section(
      "given a process whose bytes are used up by requests not yet read",
      {Section("when some have stalled",
               {Then("the one of them that holds most is refused",
                     StalledOneThatHoldsMostGoesFirst)}),
       Section("when all advance", {Then("the one that began last is refused",
                                         OneThatBeganLastGoesNext)}),
       Section("when none holds much", {Then("all stay", SmallOnesStay)}),
       Section("when connections are used up instead",
               {Then("the one silent for longest is closed",
                     ConnectionSilentLongestIsClosed)}),
       Section("when large requests have used up their part",
               {Then("small ones have the reserve", SmallHoldersHaveTheReserve),
                Then("a body's bytes return with its last copy",
                     SharedBytesReturnOnce)})});
});

}  // namespace

}  // namespace buckthornpath
