/** @file settings_template.cc Settings that a platform's template renders. */

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "gateway/gateway_state.h"
#include "harness/story.h"
#include "kernel/settings.h"

namespace buckthornpath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** Fields of a platform's settings file, as in its documentation. */
json PlatformFields() {
  return {{"node", "front-a-1"},
          {"zone", "a"},
          {"region", "r"},
          {"ip", "10.1.0.40"},
          {"seeds", {"10.1.0.40:8229", "10.2.0.29:8229"}},
          {"platform", {{"address", "10.200.1.7:8223"}}},
          {"listen",
           {{"front", "10.1.0.40:8227"},
            {"ready", "10.1.0.40:8220"},
            {"control", "10.1.0.40:8229"}}},
          {"bounds", {{"budgetSlack", 56}, {"graceS", 8}}}};
}

std::string JoinList(const json& list) {
  std::string text;
  for (const json& entry : list)
    text += (text.empty() ? "" : ",") + entry.get<std::string>();
  return text;
}

/** @return What a platform puts in place of one placeholder. */
std::string RenderPlaceholder(const json& fields, std::string name) {
  const bool is_json = name.ends_with("|json");
  if (is_json)
    name.resize(name.size() - std::string("|json").size());
  json value = fields;
  std::istringstream path(name);
  for (std::string part; std::getline(path, part, '.');)
    value = value.is_object() && value.contains(part) ? value[part] : json();
  if (value.is_null())
    return "";
  if (is_json)
    return value.dump();
  if (value.is_array())
    return JoinList(value);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string RenderTemplate(const json& fields) {
  std::ifstream file(std::string(BUCKTHORNPATH_SOURCE) +
                     "/platform/settings.json.template");
  std::ostringstream content;
  content << file.rdbuf();
  const std::string source = content.str();
  std::string rendered;
  std::size_t position = 0;
  while (true) {
    const std::size_t begin = source.find("{{", position);
    if (begin == std::string::npos)
      return rendered + source.substr(position);
    const std::size_t end = source.find("}}", begin);
    rendered += source.substr(position, begin - position);
    rendered +=
        RenderPlaceholder(fields, source.substr(begin + 2, end - begin - 2));
    position = end + 2;
  }
}

Settings RenderedSettings(const json& bounds) {
  json fields = PlatformFields();
  fields["bounds"] = bounds;
  return ParseSettings(RenderTemplate(fields));
}

void MultiplesBecomePercentages() {
  const Settings settings =
      RenderedSettings({{"coldOverage", 1.5}, {"coldSlack", 5}});
  CPPUNIT_ASSERT_EQUAL(std::int64_t{150}, settings.cold_overage);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, settings.cold_slack);
  CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.40:8229,10.2.0.29:8229"),
                       settings.cold_senders);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{100},
                       RenderedSettings(json::object()).cold_overage);
}

void WholeNumbersAreTaken() {
  const Settings settings = RenderedSettings(
      {{"budgetSlack", 246}, {"graceS", 8}, {"drainMs", 4000}});
  CPPUNIT_ASSERT(settings.endpoint_leave_time == milliseconds(4000));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{246}, settings.retry_slack);
  CPPUNIT_ASSERT(settings.drain_timeout == milliseconds(8000));
}

void FractionsAreRoundedDown() {
  const Settings settings =
      RenderedSettings({{"budgetSlack", 36.9}, {"graceS", 7.25}});
  CPPUNIT_ASSERT_EQUAL(std::int64_t{36}, settings.retry_slack);
  CPPUNIT_ASSERT(settings.drain_timeout == milliseconds(7250));
}

void MissingNumbersUseTheDefault() {
  const Settings settings = RenderedSettings(json::object());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{20}, settings.retry_slack);
  CPPUNIT_ASSERT(settings.drain_timeout == milliseconds(600000));
  CPPUNIT_ASSERT(settings.endpoint_leave_time == milliseconds(2000));
  CPPUNIT_ASSERT(RenderedSettings(json()).drain_timeout ==
                 milliseconds(600000));
  CPPUNIT_ASSERT(RenderedSettings({{"graceS", nullptr}}).drain_timeout ==
                 milliseconds(600000));
}

void LimitsOfTheVmAreTaken() {
  json fields = PlatformFields();
  const Settings missing = ParseSettings(RenderTemplate(fields));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{160}, missing.memory_limit);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{65536}, missing.descriptor_limit);
  fields["limits"] = {{"memoryMb", 260}, {"maxFds", 4100}};
  const Settings stated = ParseSettings(RenderTemplate(fields));
  CPPUNIT_ASSERT_EQUAL(std::int64_t{260}, stated.memory_limit);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{4100}, stated.descriptor_limit);
}

void AMissingRegionIsEmpty() {
  json fields = PlatformFields();
  fields.erase("region");
  CPPUNIT_ASSERT_EQUAL(std::string(),
                       ParseSettings(RenderTemplate(fields)).region);
}

void AFlagIsNamedWithItsValue() {
  try {
    RenderedSettings({{"budgetSlack", true}, {"graceS", 8}});
  } catch (const InvalidDocument& error) {
    CPPUNIT_ASSERT_EQUAL(
        std::string("/retry_slack: is \"true\", must be a number"),
        std::string(error.what()));
    return;
  }
  CPPUNIT_FAIL("a flag was taken as a number");
}

std::string FaultOf(const std::string& member) {
  const std::string required =
      R"({"vm": "v", "failure_domain": "a", "operator_address": "1.2.3.4:5",)"
      R"( "configuration_address": "1.2.3.4:6", )";
  try {
    ParseSettings(required + member + "}");
  } catch (const InvalidDocument& error) {
    return error.what();
  }
  return "";
}

void OnlyNumbersAreConverted() {
  CPPUNIT_ASSERT_EQUAL(std::string(), FaultOf(R"("drain_timeout": "1500ms")"));
  CPPUNIT_ASSERT(FaultOf(R"("drain_timeout": "8h")") != "");
  CPPUNIT_ASSERT(FaultOf(R"("retry_slack": "8s")") != "");
  CPPUNIT_ASSERT(FaultOf(R"("retry_slack": "8x")") != "");
  CPPUNIT_ASSERT(FaultOf(R"("retry_slack": [8])") != "");
  CPPUNIT_ASSERT(FaultOf(R"("retry_slack": 1e300)") != "");
  CPPUNIT_ASSERT(FaultOf(R"("retry_slack": "nan")") != "");
  CPPUNIT_ASSERT(FaultOf(R"("retry_slack": -1.5)") != "");
}

void LoadMultiplesHaveLimits() {
  const Settings defaults = RenderedSettings(json::object());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{160}, defaults.load_multiple);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{135}, defaults.short_prompt_load_multiple);
  for (const std::string name :
       {"load_multiple", "short_prompt_load_multiple"}) {
    const auto fault_of = [&](const json& value) {
      return FaultOf(json(name).dump() + ": " + value.dump());
    };
    for (const json& value : {json(100), json(1000), json("1.5x")})
      CPPUNIT_ASSERT_EQUAL(std::string(), fault_of(value));
    for (const json& value : {json(99), json(1001)}) {
      CPPUNIT_ASSERT_EQUAL("/" + name + ": must be from 100 to 1000 %",
                           fault_of(value));
    }
  }
}

/** @return Of 12 requests with one shared prompt, those at the endpoint with
 * the most. */
std::int64_t MostAtOneEndpoint(const std::string& multiples,
                               std::uint32_t tokens) {
  const Settings settings = ParseSettings(
      R"({"vm": "v", "failure_domain": "a", "operator_address": "1.2.3.4:5",)"
      R"( "configuration_address": "1.2.3.4:6", )" +
      multiples + "}");
  boost::asio::io_context io;
  GatewayState state(settings, io.get_executor());
  const auto now = GatewayState::Clock::now();
  for (const char* id : {"first", "second"}) {
    state.selector.Publish({.id = EndpointId(id),
                            .service = ServiceName("llm"),
                            .address = "10.0.0.1:1",
                            .failure_domain = FailureDomainId("a"),
                            .slots = 100});
  }
  std::int64_t most = 0;
  for (std::uint64_t i = 0; i < 12; ++i) {
    const std::vector<PromptSegment> prompt = {{1, tokens}, {100 + i, 10}};
    const EndpointHandle endpoint =
        state.selector.Choose({ServiceName("llm"), prompt, 0, {}}, now,
                              [](const EndpointState&) { return true; });
    state.selector.RecordPrefillEnd(
        *endpoint, state.selector.RecordStart(*endpoint, prompt, now));
    most = std::max(most, endpoint->OwnRequests());
  }
  return most;
}

void LoadMultiplesDecideWherePromptsGo() {
  const std::string low =
      R"("load_multiple": 100, "short_prompt_load_multiple": 100)";
  const std::string mixed =
      R"("load_multiple": 180, "short_prompt_load_multiple": 100)";
  const std::string high =
      R"("load_multiple": 180, "short_prompt_load_multiple": 180)";
  constexpr std::uint32_t kShort = 500;
  constexpr std::uint32_t kLong = 20000;
  // Two endpoints: 100 % of a mean of up to 6, and 2.5, is at most 8 requests.
  // At 180 % the home of a prompt is within the bound until it has 15.
  CPPUNIT_ASSERT(MostAtOneEndpoint(low, kLong) <= 8);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, MostAtOneEndpoint(mixed, kLong));
  CPPUNIT_ASSERT(MostAtOneEndpoint(mixed, kShort) <= 8);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, MostAtOneEndpoint(high, kShort));
}

const Story kStory("settings_template", [] {
  return Section(
      "given the settings template of the platform",
      {Section(
           "when the platform states a bound",
           {Then("a whole number is taken as it is", WholeNumbersAreTaken),
            Then("a fraction is rounded down", FractionsAreRoundedDown),
            Then("a multiple becomes a percentage", MultiplesBecomePercentages),
            Then("a missing one is replaced by the default",
                 MissingNumbersUseTheDefault),
            Then("memory and descriptors of the VM are taken",
                 LimitsOfTheVmAreTaken),
            Then("a flag is refused with name, value and expectation",
                 AFlagIsNamedWithItsValue)}),
       Section("when other fields are missing",
               {Then("the region is empty", AMissingRegionIsEmpty)}),
       Section("when settings are written by hand",
               {Then("texts that are no numbers are refused",
                     OnlyNumbersAreConverted),
                Then("load multiples beyond their limits are refused by name",
                     LoadMultiplesHaveLimits),
                Then("load multiples decide where prompts go",
                     LoadMultiplesDecideWherePromptsGo)})});
});

}  // namespace

}  // namespace buckthornpath
