/** @file command_line.cc The command-line tool, as operators use it. */

#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "fakes/generation.h"
#include "fleet/published_type.h"
#include "harness/caller.h"
#include "harness/local_fleet.h"
#include "harness/story.h"
#include "harness/tool.h"

namespace buckthornpath {

namespace {

constexpr const char* kValidSettings = R"({
  // Comments are allowed.
  "vm": "r1", "failure_domain": "a", "operator_address": "127.0.0.1:1",
  "configuration_address": "127.0.0.1:2", "vm_list_address": "127.0.0.1:3",
  "caller_address": "127.0.0.1:4", "ticket_secret": "a-secret-for-tests-only"
})";

constexpr const char* kInvalidSettings = R"({
  "vm": 7, "failure_domain": "a", "operator_address": "localhost:1",
  "configuration_address": "127.0.0.1:2", "vm_list_address": "127.0.0.1",
  "heartbeat_interval": 5, "unheard_of": 1, "log_level": "loud",
  "ticket_secret": "short"
})";

constexpr const char* kConflictingTimes = R"({
  "vm": "r1", "failure_domain": "a", "operator_address": "127.0.0.1:1",
  "configuration_address": "127.0.0.1:2", "vm_list_address": "127.0.0.1:3",
  "ticket_secret": "a-secret-for-tests-only",
  "heartbeat_interval": 500, "silence_timeout": 400
})";

FleetPlan SmallPlan() {
  FleetPlan plan;
  plan.routers = 2;
  plan.endpoints = {{"draft-1", "drafting", true},
                    {"ledger-1", "ledger", false}};
  return plan;
}

std::string RouterOption(const LocalFleet& fleet, std::size_t index) {
  return "--router=" + FormatSocketAddress(fleet.Router(index));
}

void SetCredential() {
  setenv("BUCKTHORNPATH_CREDENTIAL", kParishCredential, 1);
}

/** A process that waits for its settings gets SIGHUP. */
void EarlyReloadEndsNoProcess() {
  const ScratchDirectory scratch;
  const std::string pipe = (scratch.Path() / "settings.json").string();
  CPPUNIT_ASSERT_EQUAL(0, mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR));
  ChildProcess process("buckthornpathd",
                       {"--role=gateway", "--settings=" + pipe},
                       (scratch.Path() / "log").string());
  int writer = -1;
  // Opens only once the process reads.
  CPPUNIT_ASSERT(WaitUntil([&] {
    writer = open(pipe.c_str(), O_WRONLY | O_NONBLOCK);
    return writer >= 0;
  }));
  process.Signal(SIGHUP);
  const std::string no_settings = "{}";
  const auto size = write(writer, no_settings.data(), no_settings.size());
  close(writer);
  CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(no_settings.size()), size);
  constexpr int kInvalidSettingsCode = 1;
  CPPUNIT_ASSERT_EQUAL(kInvalidSettingsCode,
                       process.WaitForExit(std::chrono::seconds(5)));
}

void InvalidSettingsAreListed() {
  const ScratchDirectory scratch;
  const ToolRun run = RunTool(
      {"check", "settings", scratch.Write("bad.json", kInvalidSettings)});
  CPPUNIT_ASSERT_EQUAL(1, run.exit_code);
  for (const char* path : {"/vm: ", "/operator_address: ", "/vm_list_address: ",
                           "/heartbeat_interval: ", "/unheard_of: ",
                           "/log_level: ", "/ticket_secret: "}) {
    CPPUNIT_ASSERT_MESSAGE(path + run.output, run.Says(path));
  }
}

void ConflictingTimesAreListed() {
  const ScratchDirectory scratch;
  const ToolRun run = RunTool(
      {"check", "settings", scratch.Write("slow.json", kConflictingTimes)});
  CPPUNIT_ASSERT_EQUAL(1, run.exit_code);
  CPPUNIT_ASSERT(run.Says("/silence_timeout: "));
}

void ValidSettingsAreAccepted() {
  const ScratchDirectory scratch;
  const std::string file = scratch.Write("good.json", kValidSettings);
  CPPUNIT_ASSERT_EQUAL(0, RunTool({"check", "settings", file}).exit_code);
  CPPUNIT_ASSERT_EQUAL(
      0, RunTool({"check", "settings", file, "--role=router"}).exit_code);
}

void RoleRequiresItsAddresses() {
  const ScratchDirectory scratch;
  const std::string file = scratch.Write("good.json", kValidSettings);
  const ToolRun run = RunTool({"check", "settings", file, "--role=endpoint"});
  CPPUNIT_ASSERT_EQUAL(1, run.exit_code);
  CPPUNIT_ASSERT(run.Says("/dialogue_address: "));
  CPPUNIT_ASSERT(run.Says("/engine_address: "));
  CPPUNIT_ASSERT(run.Says("/service: "));
  ChildProcess daemon("buckthornpathd",
                      {"--role=endpoint", "--settings=" + file}, "/dev/null");
  CPPUNIT_ASSERT_EQUAL(1, daemon.WaitForExit(kCallerTimeout));
}

/** Writes the documents of StandardDocuments(). */
void WriteDocuments(const ScratchDirectory& scratch) {
  for (const auto& [name, document] : StandardDocuments())
    scratch.Write(name, document.dump());
}

void InvalidDocumentsAreListed() {
  const ScratchDirectory scratch;
  WriteDocuments(scratch);
  const std::string directory = scratch.Path().string();
  CPPUNIT_ASSERT_EQUAL(0, RunTool({"check", "published", directory}).exit_code);
  scratch.Write("profiles/lost", R"({"name": "lost", "service": "none"})");
  const ToolRun bad_reference = RunTool({"check", "published", directory});
  CPPUNIT_ASSERT_EQUAL(1, bad_reference.exit_code);
  CPPUNIT_ASSERT(bad_reference.Says("profiles/lost: /service: "));
  const std::string bad_profile = scratch.Write(
      "profiles/odd", R"({"name": "even", "rank": "first", "worth": 3})");
  const ToolRun run = RunTool({"check", "published", bad_profile});
  CPPUNIT_ASSERT_EQUAL(1, run.exit_code);
  for (const char* path : {"/service: ", "/rank: ", "/worth: "})
    CPPUNIT_ASSERT_MESSAGE(path, run.Says(path));
}

void IndexListsEveryDocument() {
  const ScratchDirectory scratch;
  WriteDocuments(scratch);
  const std::string directory = scratch.Path().string();
  const ToolRun first = RunTool({"index", directory, "--revision=3"});
  CPPUNIT_ASSERT_EQUAL(0, first.exit_code);
  const Index index = ParseIndex(first.output);
  CPPUNIT_ASSERT_EQUAL(StandardDocuments().size(), index.entries.size());
  Configuration configuration;
  for (const IndexEntry& entry : index.entries) {
    const std::string text = ReadWholeFile(scratch.Path() / entry.name);
    CPPUNIT_ASSERT_EQUAL(DocumentDigest(text), entry.digest);
    AddDocument(configuration, entry, text);
  }
}

void UnchangedDocumentsKeepRevisions() {
  const ScratchDirectory scratch;
  const ScratchDirectory other;
  WriteDocuments(scratch);
  const std::string directory = scratch.Path().string();
  const std::string previous = other.Write(
      "index", RunTool({"index", directory, "--revision=3"}).output);
  scratch.Write("services/ledger",
                R"({"name": "ledger", "kind": "plain", "model": ""})");
  const ToolRun next =
      RunTool({"index", directory, "--revision=4", "--previous=" + previous});
  for (const IndexEntry& entry : ParseIndex(next.output).entries) {
    const Revision expected{entry.name == "services/ledger" ? 4U : 3U};
    CPPUNIT_ASSERT(expected == entry.revision);
  }
  const ToolRun same =
      RunTool({"index", directory, "--revision=3", "--previous=" + previous});
  CPPUNIT_ASSERT_EQUAL(1, same.exit_code);
}

void ActiveConfigurationIsShown() {
  const LocalFleet fleet(SmallPlan());
  const std::string address = FormatSocketAddress(fleet.RouterOperator(0));
  const ToolRun run = RunTool({"show", address});
  CPPUNIT_ASSERT_EQUAL(0, run.exit_code);
  CPPUNIT_ASSERT(run.Says("role: router"));
  CPPUNIT_ASSERT(run.Says("configuration_revision: 1"));
  const ToolRun json = RunTool({"show", address, "--json"});
  CPPUNIT_ASSERT_EQUAL(std::string("router"),
                       nlohmann::json::parse(json.output).value("role", ""));
  CPPUNIT_ASSERT_EQUAL(2, RunTool({"show", "127.0.0.1:1"}).exit_code);
}

void DrainedProcessExits() {
  LocalFleet fleet(SmallPlan());
  const ToolRun run =
      RunTool({"drain", FormatSocketAddress(fleet.RouterOperator(0))});
  CPPUNIT_ASSERT_EQUAL(0, run.exit_code);
  CPPUNIT_ASSERT_EQUAL(0, fleet.RouterProcess(0).WaitForExit(kCallerTimeout));
}

void ServiceCallRunsOnce() {
  SetCredential();
  const LocalFleet fleet(SmallPlan());
  const std::string ticket = [&] {
    std::string text =
        RunTool({"ticket", RouterOption(fleet, 0), "--profile=receipt"}).output;
    text.pop_back();
    return text;
  }();
  for (std::size_t router : {0U, 1U}) {
    const ToolRun run =
        RunTool({"send", RouterOption(fleet, router), "--profile=receipt",
                 "--service-path=/ledger/issue", "--body={\"for\":7}",
                 "--ticket=" + ticket});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(run.output, 0, run.exit_code);
    CPPUNIT_ASSERT(run.Says("outcome: ran"));
    CPPUNIT_ASSERT(run.Says("\"run\":1"));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.RunsOf(ticket));
}

void RefusedCallIsReported() {
  SetCredential();
  const LocalFleet fleet(SmallPlan());
  const ToolRun run =
      RunTool({"send", RouterOption(fleet, 0), "--profile=receipt",
               "--ticket=bpt1.forged.forged", "--service-path=/ledger/issue"});
  CPPUNIT_ASSERT_EQUAL(1, run.exit_code);
  // Only the endpoint process that a ticket names can report `not_run`.
  CPPUNIT_ASSERT(run.Says("outcome: unknown"));
  CPPUNIT_ASSERT(run.Says("ticket_refused"));
}

/** @return Text that the fake engine generates for a prompt. */
std::string ExpectedText(const std::string& prompt, std::size_t tokens) {
  std::string text;
  const HttpRequest request = ChatRequest("", "", "", prompt);
  const auto words = PromptTokens(request.body);
  for (std::size_t i = 0; i < tokens; ++i)
    text += GeneratedToken(words, i);
  return text;
}

void StreamResumesThroughAnotherRouter() {
  SetCredential();
  FleetPlan plan = SmallPlan();
  LocalFleet fleet(plan);
  const std::string log = (fleet.Directory() / "tool.log").string();
  ChildProcess tool("buckthornpath",
                    {"send", RouterOption(fleet, 0), RouterOption(fleet, 1),
                     "--profile=statement", "--max-tokens=800", "a long draft"},
                    log);
  const std::string start = ExpectedText("a long draft", 10);
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return ReadWholeFile(log).find(start) != std::string::npos; }));
  fleet.RouterProcess(0).Kill();
  CPPUNIT_ASSERT_EQUAL(0, tool.WaitForExit(kCallerTimeout));
  const ToolRun run{0, ReadWholeFile(log)};
  CPPUNIT_ASSERT(run.Says(ExpectedText("a long draft", 800) + "\n"));
  CPPUNIT_ASSERT(run.Says("outcome: ran"));
  CPPUNIT_ASSERT(run.Says("complete: yes"));
  CPPUNIT_ASSERT(!run.Says("resumed: 0"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.EngineHistory().size());
}

void ReferencePagesAreUpToDate() {
  const std::filesystem::path docs =
      std::filesystem::path(BUCKTHORNPATH_SOURCE) / "docs";
  CPPUNIT_ASSERT_EQUAL(ReadWholeFile(docs / "SETTINGS.md"),
                       RunTool({"help", "settings"}).output);
  CPPUNIT_ASSERT_EQUAL(ReadWholeFile(docs / "PROFILES.md"),
                       RunTool({"help", "profiles"}).output);
  CPPUNIT_ASSERT_EQUAL(ReadWholeFile(docs / "LOG_EVENTS.md"),
                       RunTool({"help", "log"}).output);
}

const Story kStory("command_line", [] {
  return Section(
      "given an operator with the command-line tool",
      {Section(
           "when settings are checked",
           {Then("every invalid setting is listed", InvalidSettingsAreListed),
            Then("conflicting times are listed", ConflictingTimesAreListed),
            Then("valid settings are accepted", ValidSettingsAreAccepted),
            Then("the addresses that a role requires must be present",
                 RoleRequiresItsAddresses)}),
       Section(
           "when documents are prepared for publication",
           {Then("every invalid field is listed", InvalidDocumentsAreListed),
            Then("the index lists every document", IndexListsEveryDocument),
            Then("unchanged documents keep their revisions",
                 UnchangedDocumentsKeepRevisions)}),
       Section("when a process is told to reload before it has started",
               {Then("it goes on with its start", EarlyReloadEndsNoProcess)}),
       Section("when a fleet is running",
               {Then("the active configuration of a process is shown",
                     ActiveConfigurationIsShown),
                Then("a process is drained", DrainedProcessExits),
                Then("a call under a ticket runs once", ServiceCallRunsOnce),
                Then("a refused call is reported", RefusedCallIsReported),
                Then("a stream is resumed through another router",
                     StreamResumesThroughAnotherRouter)}),
       Section("when a table of settings, profiles or events changes",
               {Then("the reference pages are up to date",
                     ReferencePagesAreUpToDate)})});
});

}  // namespace

}  // namespace buckthornpath
