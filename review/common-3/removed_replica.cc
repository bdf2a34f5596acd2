/** @file removed_replica.cc The store comes back from a copy that lists a
 * replica which has removed its entry. */

#include "stand_ins.h"

namespace review {

namespace {

constexpr char kService[] = "lm-pool";
constexpr int kReplicas = 12;
constexpr int kGateways = 4;

/** Bound of the rule: `drainMs` of the sheet. */
constexpr milliseconds kDrainTime{2000};

bool Run(const std::filesystem::path& scratch, bool trouble, Record& record) {
  const Network network;
  Store store(network.At(1, 3), record);
  store.Put("op/config", MakeConfiguration(kService, false), false);
  StreamShape shape;
  shape.events = 64;
  std::vector<std::unique_ptr<Replica>> replicas;
  const char* const zones[] = {"a", "b", "c"};
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        "lm-" + std::to_string(i), kService, zones[i % 3],
        network.At(100 + i, 4), shape, store, record));
    replicas.back()->Start("v1");
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  const std::string seeds = network.At(10, 2).Text() + "," +
                            network.At(11, 2).Text() + "," +
                            network.At(12, 2).Text();
  for (int i = 0; i < kGateways; ++i) {
    const Address front = network.At(10 + i, 0);
    gateways.push_back(std::make_unique<Gateway>(
        Gateway::Place{"front-" + std::to_string(i), zones[i % 3], front.ip,
                       front.port, seeds, network.At(1, 3).Text()},
        scratch, record));
    gateways.back()->Start();
  }
  const auto are_ready = [&] {
    return std::all_of(gateways.begin(), gateways.end(),
                       [](const auto& one) { return one->IsReady(); });
  };
  for (int i = 0; i < 100 && !are_ready(); ++i)
    SleepMs(100);
  if (!are_ready())
    throw CannotRun("the gateways do not become ready");
  SleepMs(4000);  // Longer than contactMs.

  std::atomic<bool> is_ending = false;
  std::atomic<int> complete = 0;
  std::atomic<int> asked = 0;
  std::vector<std::thread> requesters;
  std::thread traffic([&] {
    for (int number = 0; !is_ending; ++number) {
      ++asked;
      requesters.emplace_back([&, number] {
        const Try seen =
            CallStream(*gateways[static_cast<std::size_t>(number % kGateways)],
                       "plan-" + std::to_string(number), 0, "",
                       Clock::now() + milliseconds(15000), record);
        complete += seen.is_complete ? 1 : 0;
      });
      SleepMs(20);
    }
  });
  SleepMs(2000);
  Replica& leaving = *replicas[0];
  const auto copy = store.TakeCopy();
  SleepMs(1000);
  leaving.Leave();
  std::this_thread::sleep_for(kDrainTime);
  SleepMs(500);
  const std::size_t runs_before = leaving.Runs();
  if (trouble) {
    store.SetDown(true);
    SleepMs(300);
    store.ComeBackFrom(*copy);
  }
  SleepMs(1200);  // At its next heartbeat, the replica writes again.
  if (trouble)
    leaving.RemoveAgain();
  SleepMs(1500);
  const std::size_t late = leaving.Runs() - runs_before;
  leaving.Crash();  // The end of its planned stop.
  is_ending = true;
  traffic.join();
  for (std::thread& requester : requesters)
    requester.join();

  std::ostringstream text;
  text << late << " requests reached the replica later than drainMs after the "
       << "store had acknowledged that it is gone; " << complete << " of "
       << asked << " plans complete";
  record.Line(text.str());
  std::cout << text.str() << "\n";
  return late == 0;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
