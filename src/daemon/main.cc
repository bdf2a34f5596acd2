/** @file main.cc Entry point of the daemon. */

#include <docopt/docopt.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

#include "daemon/drain.h"
#include "daemon/operator_server.h"
#include "kernel/log.h"

namespace buckthornpath {

namespace {

constexpr const char* kUsage =
    R"(buckthornpathd: one process of the router fleet.

Usage:
  buckthornpathd --role=<name> --settings=<file>
  buckthornpathd --role=<name> --settings-variable=<name>
  buckthornpathd --list-roles
  buckthornpathd (-h | --help)

Options:
  --role=<name>      Role of the process.
  --settings=<file>  Settings file: JSON with comments.
  --settings-variable=<name>  Environment variable with the path of that file.
  --list-roles       Prints the roles and exits.
)";

/** Maximum wait for queued log lines to be written before the exit. */
constexpr std::chrono::milliseconds kLogFlushTimeout{200};

/**
 * Starts the drain on SIGTERM and SIGINT. A supervisor may repeat SIGTERM, so
 * only a SIGINT during the drain, which a user sends from a terminal, cuts
 * calls off.
 */
asio::awaitable<void> HandleSignals(asio::signal_set& signals, Drain& drain) {
  while (true) {
    const int signal = co_await signals.async_wait(asio::use_awaitable);
    if (signal == SIGINT)
      drain.Interrupt();
    else
      drain.Request();
  }
}

/**
 * Reads the settings file again. Only the log level takes effect at once; other
 * changed settings need a restart and are logged. An invalid file is logged and
 * changes nothing.
 */
void Reload(const std::string& path, const Settings& active) {
  try {
    const Settings settings = LoadSettings(path);
    SetLogLevel(ParseLogLevel(settings.log_level));
    LogLine(LogLevel::kNotice, "settings_reloaded",
            {{"need_restart", ChangedSettings(active, settings)}});
  } catch (const InvalidDocument& refused) {
    LogLine(LogLevel::kError, "settings_refused", {{"reason", refused.what()}});
  }
}

/** Reloads the settings on each SIGHUP. */
asio::awaitable<void> HandleReloadSignal(asio::signal_set& signals,
                                         const std::string& path,
                                         const Settings& active) {
  while (true) {
    co_await signals.async_wait(asio::use_awaitable);
    Reload(path, active);
  }
}

/**
 * Runs a role until it is drained, then exits. No destructors run, since tasks
 * that are still suspended hold references to the role.
 */
[[noreturn]] void RunRole(const RoleFactory& factory,
                          const std::string& settings_path,
                          const Settings& settings) {
  StartLog(factory.Name() + "/" + settings.vm,
           ParseLogLevel(settings.log_level), settings.log_bytes_per_second);
  WorkerPool pool(static_cast<int>(settings.worker_count));
  const RoleContext context{settings, pool};
  const std::unique_ptr<Role> role = factory.Create(context);
  Drain drain(pool, *role, settings.drain_timeout);
  OperatorServer operator_server(context, *role, [&drain] { drain.Request(); });
  asio::signal_set signals(pool.NewStrand(), SIGTERM, SIGINT);
  WorkerPool::SpawnService(signals.get_executor(),
                           [&] { return HandleSignals(signals, drain); });
  asio::signal_set reloads(pool.NewStrand(), SIGHUP);
  WorkerPool::SpawnService(reloads.get_executor(), [&] {
    return HandleReloadSignal(reloads, settings_path, settings);
  });
  role->Start();
  operator_server.Start();
  LogLine(LogLevel::kNotice, "started", {{"role", factory.Name()}});
  pool.Run();
  LogLine(LogLevel::kNotice, "stopped");
  FlushLog(kLogFlushTimeout);
  std::quick_exit(static_cast<int>(drain.Result()));
}

/** @throws InvalidDocument If the variable with the path is not set. */
std::string SettingsPath(const std::map<std::string, docopt::value>& options) {
  const docopt::value& file = options.at("--settings");
  if (file)
    return file.asString();
  const std::string variable = options.at("--settings-variable").asString();
  const char* path = std::getenv(variable.c_str());
  if (path == nullptr)
    throw InvalidDocument(variable, "is not set in the environment");
  return path;
}

ExitCode Main(const std::vector<std::string>& arguments) {
  auto options = docopt::docopt(kUsage, arguments);
  if (options["--list-roles"].asBool()) {
    for (const RoleFactory* factory : RoleFactory::All()) {
      std::cout << factory->Name() << "  " << factory->Description() << "\n";
    }
    return ExitCode::kDrained;
  }
  const std::string name = options["--role"].asString();
  const RoleFactory* factory = RoleFactory::Find(name);
  if (factory == nullptr) {
    std::cerr << "unknown role '" << name << "'; see --list-roles\n";
    return ExitCode::kError;
  }
  const std::string path = SettingsPath(options);
  const Settings settings = LoadSettings(path);
  std::vector<DocumentFault> faults = MissingSettings(settings, name);
  if (!faults.empty())
    throw InvalidDocument(std::move(faults));
  RunRole(*factory, path, settings);
}

}  // namespace

}  // namespace buckthornpath

int main(int argc, char** argv) {
  // A reload may be asked for before the process can serve one.
  std::signal(SIGHUP, SIG_IGN);
  try {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(buckthornpath::Main(arguments));
  } catch (const buckthornpath::InvalidDocument& refused) {
    for (const auto& fault : refused.Faults()) {
      std::cerr << fault.path << ": " << fault.reason << "\n";
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  return static_cast<int>(buckthornpath::ExitCode::kError);
}
