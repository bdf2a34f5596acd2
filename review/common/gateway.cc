/** @file gateway.cc Processes of the project, started as the deploy file says.
 */

#include "gateway.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr int kFirstGatewayHost = 10;
constexpr int kFrontPort = 8227;
constexpr int kReadyPort = 8220;
constexpr int kControlPort = 8229;
constexpr int kOperatorPort = 9464;  ///< Fixed in the settings template.
constexpr milliseconds kProbeInterval{1000};
constexpr milliseconds kProbeTimeout{500};
constexpr milliseconds kPollInterval{50};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

void ReplaceAll(std::string& text,
                const std::string& from,
                const std::string& to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos;
       at += to.size())
    text.replace(at, from.size(), to);
}

/** @return The words of the deploy file's command. */
std::vector<std::string> DeployedCommand() {
  std::istringstream lines(ReadFile("deploy/system.toml"));
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.starts_with("run = "))
      continue;
    const std::size_t begin = line.find('"') + 1;
    std::istringstream words(line.substr(begin, line.rfind('"') - begin));
    return {std::istream_iterator<std::string>(words), {}};
  }
  throw std::runtime_error("deploy/system.toml has no command");
}

}  // namespace

Network::Network() {
  std::random_device random;
  constexpr int kTries = 50;
  for (int i = 0; i < kTries; ++i) {
    this->prefix = "127." + std::to_string(20 + random() % 200) + "." +
                   std::to_string(1 + random() % 250) + ".";
    const bool is_free = Socket::Listen(this->At(1, kFrontPort)).IsOpen() &&
                         Socket::Listen(this->At(10, kOperatorPort)).IsOpen() &&
                         Socket::Listen(this->At(10, kFrontPort)).IsOpen();
    if (is_free)
      return;
  }
  throw std::runtime_error("no free loopback network");
}

Address Network::At(int host, int port) const {
  return {this->prefix + std::to_string(host), port};
}

ScratchFolder::ScratchFolder() {
  this->path = std::filesystem::temp_directory_path() / "review-XXXXXX";
  if (mkdtemp(this->path.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
}

ScratchFolder::~ScratchFolder() {
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(this->path);
}

Address Gateway::Control(const Network& network, int number) {
  return network.At(kFirstGatewayHost + number, kControlPort);
}

Gateway::Gateway(const Network& network,
                 Plan plan,
                 const std::string& folder,
                 Record& record)
    : plan(std::move(plan)), record(record) {
  const int host = kFirstGatewayHost + this->plan.number;
  const std::string name = "front-" + std::to_string(this->plan.number);
  this->front = network.At(host, kFrontPort);
  this->ready = network.At(host, kReadyPort);
  this->settings_path = folder + "/" + name + ".json";
  this->log_path = folder + "/" + name + ".log";
  std::string text = ReadFile("platform/settings.json.template");
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"{{node|json}}", "\"" + name + "\""},
      {"{{zone|json}}", "\"" + this->plan.zone + "\""},
      {"{{region}}", "region"},
      {"{{ip}}", this->front.ip},
      {"{{platform.address|json}}", "\"" + this->plan.store.Text() + "\""},
      {"{{listen.front|json}}", "\"" + this->front.Text() + "\""},
      {"{{listen.ready|json}}", "\"" + this->ready.Text() + "\""},
      {"{{listen.control|json}}",
       "\"" + Control(network, this->plan.number).Text() + "\""},
      {"{{seeds}}", this->plan.seeds},
      {"{{limits.linkMbps}}", "1000.0"},
      {"{{limits.memoryMb}}", "260"},
      {"{{limits.maxFds}}", "4100"},
      {"{{bounds.budgetSlack}}", "54"},
      {"{{bounds.coldOverage}}", ""},
      {"{{bounds.coldSlack}}", ""},
      {"{{bounds.drainMs}}", std::to_string(kDrain.count())},
      {"{{bounds.graceS}}", std::to_string(kGrace.count() / 1000)}};
  for (const auto& [placeholder, value] : fields)
    ReplaceAll(text, placeholder, value);
  if (text.find("{{") != std::string::npos)
    throw std::runtime_error("settings template has unknown fields");
  std::ofstream(this->settings_path) << text;
}

Gateway::~Gateway() {
  if (!this->HasEnded()) {
    this->Signal(SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

void Gateway::Start() {
  std::vector<std::string> words = DeployedCommand();
  std::vector<char*> arguments;
  for (std::string& word : words)
    arguments.push_back(word.data());
  arguments.push_back(nullptr);
  std::string variable = "BUCKTHORNPATH_BOOT=" + this->settings_path;
  std::vector<char*> environment = {variable.data(), nullptr};
  this->pid = fork();
  if (this->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(this->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  this->record.Line("front-" + std::to_string(this->plan.number) +
                    ": process starts");
}

void Gateway::Signal(int signal) const {
  kill(this->pid, signal);
}

bool Gateway::HasEnded() {
  if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    this->record.Line("front-" + std::to_string(this->plan.number) +
                      ": process has ended");
    this->pid = -1;
  }
  return this->pid < 0;
}

std::size_t Gateway::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  if (!(file >> total >> resident))
    return 0;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

bool Gateway::IsReady() const {
  const Socket socket = Socket::Connect(this->ready, kProbeTimeout);
  if (!socket.IsOpen() || !socket.Send("GET /ready HTTP/1.1\r\nHost: x\r\n"
                                       "Connection: close\r\n\r\n"))
    return false;
  Message answer;
  MessageReader reader(socket);
  return reader.Read(answer, true, Clock::now() + kProbeTimeout) ==
             ReadResult::kComplete &&
         answer.Word(1) == "200";
}

bool Gateway::AwaitReady(milliseconds timeout) const {
  const TimePoint until = Clock::now() + timeout;
  while (!this->IsReady()) {
    if (Clock::now() > until)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

Entry::Entry(std::vector<const Gateway*> gateways)
    : gateways(std::move(gateways)), misses(this->gateways.size()) {
  this->thread = std::thread([this] { this->Probe(); });
}

Entry::~Entry() {
  this->is_stopping = true;
  this->thread.join();
}

void Entry::Probe() {
  while (!this->is_stopping) {
    const TimePoint next = Clock::now() + kProbeInterval;
    for (std::size_t i = 0; i < this->gateways.size(); ++i)
      this->misses[i] = this->gateways[i]->IsReady() ? 0 : this->misses[i] + 1;
    while (!this->is_stopping && Clock::now() < next)
      std::this_thread::sleep_for(kPollInterval);
  }
}

bool Entry::Includes(std::size_t index) const {
  const auto ready = static_cast<std::size_t>(
      std::count_if(this->misses.begin(), this->misses.end(),
                    [](const auto& count) { return count < 2; }));
  return this->misses[index] < 2 || 2 * ready < this->misses.size();
}

}  // namespace review
