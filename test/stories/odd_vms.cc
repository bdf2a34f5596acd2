/** @file odd_vms.cc Items of the VM list and documents with odd names. */

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "fleet/member_list.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"
#include "harness/tool.h"
#include "kernel/field_table.h"

namespace buckthornpath {

namespace {

using nlohmann::json;

const char* const kSoundVm =
    R"({"vm":"ledger-9","service":"ledger","failure_domain":"a",)"
    R"("address":"127.0.0.1:9","state":"live"})";

/** @return The sound item with one member that is another text. */
std::string VmWith(const std::string& member, const std::string& text) {
  json item = json::parse(kSoundVm);
  item[member] = "MEMBER";
  std::string all = item.dump();
  return all.replace(all.find("\"MEMBER\""), 8, text);
}

/** Items that name no VM to use; most have a sound value. */
std::vector<std::string> OddVms() {
  std::vector<std::string> items = {
      "null",
      "7",
      "[]",
      "{}",
      R"({"vm":"odd"})",
      R"({"vm":"odd","state":"live","role":7})",
      R"({"vm":"odd","state":"live","role":"router","gossip_address":"x"})",
      R"({"vm":"odd","vm":"odd-2","state":"live","role":"router"})"};
  for (const char* name :
       {"\"\"", "\"a b\"", "\"a&b\"", "\"a+b\"", "\"a#b\"", "\"a%b\"",
        "\"a/b\"", R"("a\r\nX-Evil: 1")", R"("a\u0000b")", "\"a\xff\xfe\"",
        "\"\xc3\xa9\"", "7", "null", "{}"})
    items.push_back(VmWith("vm", name));
  for (const char* address :
       {"\"127.0.0.1\"", "\"127.0.0.1:0\"", "\"127.0.0.1:99999\"",
        "\"ledger:9\"", "\"\"", "7", "null"})
    items.push_back(VmWith("address", address));
  for (const char* member : {"service", "failure_domain", "state"})
    items.push_back(VmWith(member, "[]"));
  return items;
}

void OddItemHidesNoOther() {
  for (const std::string& odd : OddVms()) {
    const std::string list = std::string("{\"vms\":[") + VmWith("vm", "\"a\"") +
                             "," + odd + "," + VmWith("vm", "\"z\"") + "]}";
    const VmList read = ParseVmList(list);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{2}, read.members.size());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{2}, read.known.size());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{1}, read.unusable.size());
    CPPUNIT_ASSERT(!read.unusable.front().reason.empty());
  }
}

void WhatIsNoListIsRefused() {
  for (const char* text : {"", "[]", "7", "{}", R"({"vms":7})",
                           R"({"vms":[],"vms":[]})", R"({"vms":[)"})
    CPPUNIT_ASSERT_THROW_MESSAGE(text, ParseVmList(text), InvalidDocument);
}

FleetPlan SmallPlan() {
  FleetPlan plan;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"ledger-1", "ledger", false}};
  plan.settings = {{"vm_list_interval", 200}};
  return plan;
}

/** Appends the odd items to the VM list that a fleet has published.
 * @return Number of names that are logged, the missing one included. */
std::size_t PublishOddVms(const LocalFleet& fleet) {
  HttpRequest read;
  read.target = "/v1/vms";
  std::string list = CallHttp(fleet.VmListService(), read).body;
  for (const std::string& odd : OddVms())
    list.insert(list.rfind(']'), "," + odd);
  SendHttp(fleet.VmListService(), "PUT", "/v1/vms", list);
  std::set<std::string> names;
  for (const UnusableVm& unusable : ParseVmList(list).unusable)
    names.insert(unusable.vm);
  return names.size();
}

std::uint64_t ReadsOfVmList(const LocalFleet& fleet) {
  HttpRequest request;
  request.target = "/control";
  const json counts =
      json::parse(CallHttp(fleet.ConfigurationService(), request).body);
  return counts.value("vm_list_reads", std::uint64_t{0});
}

std::size_t LinesOf(const LocalFleet& fleet,
                    const std::string& process,
                    const std::string& event) {
  std::istringstream lines(
      ReadWholeFile(fleet.Directory() / (process + ".log")));
  std::size_t count = 0;
  for (std::string line; std::getline(lines, line);)
    count += line.find("\"" + event + "\"") == std::string::npos ? 0 : 1;
  return count;
}

/** A router and an endpoint process that start beside odd items. */
void FleetStartsBesideOddItems() {
  LocalFleet fleet(SmallPlan());
  const std::size_t names = PublishOddVms(fleet);
  fleet.RouterProcess(0).Kill();
  fleet.EndpointProcess(0).Kill();
  fleet.RestartRouter(0);
  fleet.RestartEndpoint(0);
  for (const SocketAddress& address :
       {fleet.RouterOperator(0), fleet.EndpointOperator(0)}) {
    CPPUNIT_ASSERT(WaitUntil([&] {
      const json status = LocalFleet::StatusOf(address);
      return status.is_object() && status.value("ready", false) &&
             status.value("members", 0U) == 2;
    }));
  }
  CPPUNIT_ASSERT(WaitUntil([&] {
    return CallStream(fleet.Router(0),
                      ChatRequest(kParishCredential, "chat", "c", "words"))
        .complete;
  }));
  // A process that went on has logged each once, also if the list changes.
  const auto lines = [&] { return LinesOf(fleet, "ledger-1", "vm_unusable"); };
  CPPUNIT_ASSERT(WaitUntil([&] { return lines() == names; }));
  PublishOddVms(fleet);
  const std::uint64_t reads = ReadsOfVmList(fleet);
  CPPUNIT_ASSERT(WaitUntil([&] { return ReadsOfVmList(fleet) > reads + 9; }));
  CPPUNIT_ASSERT_EQUAL(names, lines());
}

void DocumentWithAnOddNameIsRead() {
  LocalFleet fleet(SmallPlan());
  for (const std::string name :
       {"a&b", "a+b", "a#b", "a%b", "a%41", "a b", "a?b", "a/b", "\xc3\xa9"}) {
    fleet.Publish({{"profiles/" + name,
                    {{"name", name},
                     {"service", "drafting"},
                     {"rank", "standard"},
                     {"repeatable", true}}}});
    CPPUNIT_ASSERT_MESSAGE(
        name, WaitUntil([&] {
          return CallStream(fleet.Router(0),
                            ChatRequest(kParishCredential, name, "c", "words"))
              .complete;
        }));
  }
}

const Story kStory("odd_vms", [] {
  return Section(
      "given a VM list with items of another writer",
      {Section("when it is read",
               {Then("an item that cannot be used hides no other",
                     OddItemHidesNoOther),
                Then("what is no list is refused", WhatIsNoListIsRefused)}),
       Section("when processes start beside them",
               {Then("they use the others", FleetStartsBesideOddItems)}),
       Section(
           "when a document has an odd name",
           {Then("it is read and in force", DocumentWithAnOddNameIsRead)})});
});

}  // namespace

}  // namespace buckthornpath
