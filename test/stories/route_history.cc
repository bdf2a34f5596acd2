/** @file route_history.cc Routes whose limits and services change. */

#include "buckthornpath/route_history.h"

#include <cppunit/TestAssert.h>

#include <utility>
#include <vector>

#include "harness/story.h"

namespace buckthornpath {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = RouteHistory::TimePoint;

const TimePoint kStart{std::chrono::hours(1)};
const ServiceName kService("llm");
const ServiceName kOther("other");

Route MakeRoute(milliseconds limit, std::vector<RouteShare> shares) {
  Route route;
  route.host = "h.example";
  route.prefix = "/talk/";
  route.timeout = limit;
  route.shares = std::move(shares);
  return route;
}

/** A route of successive configurations. */
class ChangedRoute {
 public:
  void Set(milliseconds limit, std::vector<RouteShare> shares, TimePoint now) {
    this->route = MakeRoute(limit, std::move(shares));
    RoutingTable::Parts parts;
    parts.routes.push_back(this->route);
    this->history.Record(RoutingTable(std::move(parts)), now);
  }

  milliseconds Limit() const { return this->history.LongestLimit(this->route); }

  bool HasUsedOnly(const ServiceName& service, TimePoint now) const {
    return this->history.HasUsedOnly(service, this->route, seconds(10), now);
  }

 private:
  Route route;
  RouteHistory history;
};

void LongestLimitIsRemembered() {
  ChangedRoute route;
  route.Set(seconds(4), {{kService}}, kStart);
  CPPUNIT_ASSERT(route.Limit() == seconds(4));
  route.Set(seconds(30), {{kService}}, kStart + seconds(1));
  route.Set(milliseconds(500), {{kService}}, kStart + seconds(2));
  CPPUNIT_ASSERT(route.Limit() == seconds(30));
}

void OneServiceIsKnownWithTime() {
  ChangedRoute route;
  route.Set(seconds(4), {{kService}}, kStart);
  CPPUNIT_ASSERT(!route.HasUsedOnly(kService, kStart + seconds(9)));
  CPPUNIT_ASSERT(route.HasUsedOnly(kService, kStart + seconds(10)));
  CPPUNIT_ASSERT(!route.HasUsedOnly(kOther, kStart + seconds(10)));
  // A configuration that leaves it as it is.
  route.Set(seconds(5), {{kService}}, kStart + seconds(11));
  CPPUNIT_ASSERT(route.HasUsedOnly(kService, kStart + seconds(12)));
}

void MovedRouteHasUsedBoth() {
  ChangedRoute route;
  route.Set(seconds(4), {{kService}}, kStart);
  route.Set(seconds(4), {{kOther}}, kStart + seconds(20));
  CPPUNIT_ASSERT(!route.HasUsedOnly(kOther, kStart + seconds(29)));
  CPPUNIT_ASSERT(!route.HasUsedOnly(kService, kStart + seconds(29)));
  CPPUNIT_ASSERT(route.HasUsedOnly(kOther, kStart + seconds(30)));
}

void SplitRouteUsesSeveral() {
  ChangedRoute route;
  route.Set(seconds(4), {{kService}, {kOther}}, kStart);
  CPPUNIT_ASSERT(!route.HasUsedOnly(kService, kStart + seconds(20)));
  CPPUNIT_ASSERT(!route.HasUsedOnly(kOther, kStart + seconds(20)));
}

const Story kStory("route_history", [] {
  return Section(
      "given a route of successive configurations",
      {Then("its longest limit is remembered", LongestLimitIsRemembered),
       Then("its only service is known with time", OneServiceIsKnownWithTime),
       Then("one that has moved has used both", MovedRouteHasUsedBoth),
       Then("one that is split uses several", SplitRouteUsesSeveral)});
});

}  // namespace

}  // namespace buckthornpath
