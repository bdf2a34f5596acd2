/** @file restored_versions.cc The store comes back from a copy that was made
 * before some replicas were upgraded in place. */

#include "stand_ins.h"

namespace review {

namespace {

constexpr char kService[] = "lm-pool";
constexpr int kReplicas = 12;

/** Replicas with the old version when the copy is made, and those of them that
 * are upgraded afterwards. */
constexpr int kOldReplicas = 6;
constexpr int kUpgraded = 5;

struct Stream {
  std::vector<Try> tries;
};

std::set<std::string> VersionsOf(const Stream& stream) {
  std::set<std::string> versions;
  for (const Try& seen : stream.tries)
    versions.insert(seen.versions.begin(), seen.versions.end());
  return versions;
}

/** Asks for a stream, and takes it up once at the other gateway if its channel
 * breaks. */
void Ask(const std::vector<std::unique_ptr<Gateway>>& gateways,
         int number,
         Stream& stream,
         Record& record) {
  const auto deadline = Clock::now() + milliseconds(12000);
  const std::string id = "stream-" + std::to_string(number);
  const std::size_t first = static_cast<std::size_t>(number) % gateways.size();
  stream.tries.push_back(
      CallStream(*gateways[first], id, 0, "", deadline, record));
  const Try before = stream.tries.back();
  if (before.is_complete)
    return;
  const bool has_begun = !before.events.empty();
  stream.tries.push_back(CallStream(*gateways[(first + 1) % gateways.size()],
                                    id + "-b",
                                    has_begun ? before.events.back() : 0,
                                    has_begun ? id : "", deadline, record));
}

bool Run(const std::filesystem::path& scratch, bool trouble, Record& record) {
  const Network network;
  Store store(network.At(1, 3), record);
  store.Put("op/config", MakeConfiguration(kService), false);
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        "lm-" + std::to_string(i), kService, i % 2 == 0 ? "a" : "b",
        network.At(100 + i, 4), StreamShape{}, store, record));
    replicas.back()->Start(i < kOldReplicas ? "old" : "new");
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  const std::string seeds =
      network.At(10, 2).Text() + "," + network.At(11, 2).Text();
  for (int i = 0; i < 2; ++i) {
    const Address front = network.At(10 + i, 0);
    gateways.push_back(std::make_unique<Gateway>(
        Gateway::Place{"front-" + std::to_string(i), i == 0 ? "a" : "b",
                       front.ip, front.port, seeds, network.At(1, 3).Text()},
        scratch, record));
    gateways.back()->Start();
  }
  const auto are_ready = [&] {
    return gateways[0]->IsReady() && gateways[1]->IsReady();
  };
  for (int i = 0; i < 100 && !are_ready(); ++i)
    SleepMs(100);
  if (!are_ready())
    throw CannotRun("the gateways do not become ready");
  SleepMs(4000);  // Longer than contactMs.

  // Before the traffic, so that no request meets the upgrade.
  const auto copy = store.TakeCopy();
  for (int i = 0; i < kUpgraded; ++i) {
    replicas[i]->Crash();
    SleepMs(100);
    replicas[i]->Start("new");
  }
  SleepMs(500);

  std::atomic<bool> is_ending = false;
  std::vector<std::unique_ptr<Stream>> streams;
  std::vector<std::thread> requesters;
  std::thread traffic([&] {
    for (int number = 0; !is_ending; ++number) {
      streams.push_back(std::make_unique<Stream>());
      Stream& stream = *streams.back();
      requesters.emplace_back(
          [&, number] { Ask(gateways, number, stream, record); });
      SleepMs(20);
    }
  });
  SleepMs(4000);
  if (trouble) {
    store.SetDown(true);
    SleepMs(300);
    store.ComeBackFrom(*copy);
    SleepMs(300);
  }
  replicas[kOldReplicas - 1]->Crash();
  SleepMs(3000);
  is_ending = true;
  traffic.join();
  for (std::thread& requester : requesters)
    requester.join();

  int mixed = 0;
  int complete = 0;
  for (const auto& stream : streams) {
    const bool is_mixed = VersionsOf(*stream).size() > 1;
    mixed += is_mixed ? 1 : 0;
    complete += stream->tries.back().is_complete ? 1 : 0;
    for (const Try& seen : stream->tries) {
      if (is_mixed)
        record.Line("two versions: " + Describe(seen));
    }
  }
  std::ostringstream text;
  text << streams.size() << " streams, " << complete << " complete, " << mixed
       << " with events of two versions";
  record.Line(text.str() + " (at most 2 allowed)");
  std::cout << text.str() << "\n";
  return mixed <= 2;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
