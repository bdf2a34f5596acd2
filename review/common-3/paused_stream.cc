/** @file paused_stream.cc Engines preempt single streams; one of them doesn't
 * drop a request when its channel closes. */

#include "stand_ins.h"

namespace review {

namespace {

constexpr char kService[] = "lm-pool";
constexpr int kReplicas = 4;

/** The rule's time for which the replica before may still work on a request. */
constexpr milliseconds kOverlap{400};

bool Run(const std::filesystem::path& scratch, bool trouble, Record& record) {
  const Network network;
  Store store(network.At(1, 3), record);
  store.Put("op/config", MakeConfiguration(kService), false);
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    Habits habits;
    habits.drops_closed = i != 0;
    habits.preempts_each = trouble ? 10 : 0;
    replicas.push_back(std::make_unique<Replica>(
        "lm-" + std::to_string(i), kService, i % 2 == 0 ? "a" : "b",
        network.At(100 + i, 4), StreamShape{}, store, record, habits));
    replicas.back()->Start("v1");
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

  std::vector<std::thread> requesters;
  std::atomic<int> complete = 0;
  constexpr int kStreams = 300;
  for (int number = 0; number < kStreams; ++number) {
    requesters.emplace_back([&, number] {
      const Try seen =
          CallStream(*gateways[static_cast<std::size_t>(number % 2)],
                     "stream-" + std::to_string(number), 0, "",
                     Clock::now() + milliseconds(12000), record);
      complete += seen.is_complete ? 1 : 0;
    });
    SleepMs(40);
  }
  for (std::thread& requester : requesters)
    requester.join();
  SleepMs(4000);  // Runs whose channels were closed go on for so long.

  std::map<std::string, std::vector<RunOfRequest>> by_request;
  for (const auto& replica : replicas) {
    for (const RunOfRequest& run : replica->Runs())
      by_request[run.request].push_back(run);
  }
  int moved = 0;
  int twice = 0;
  for (auto& [request, runs] : by_request) {
    std::sort(runs.begin(), runs.end(),
              [](const auto& left, const auto& right) {
                return left.began_at < right.began_at;
              });
    moved += runs.size() > 1 ? 1 : 0;
    for (std::size_t i = 1; i < runs.size(); ++i) {
      const auto overlap = std::chrono::duration_cast<milliseconds>(
          runs[i - 1].last_event_at - runs[i].began_at);
      if (overlap <= kOverlap)
        continue;
      ++twice;
      record.Line(request + " went on at " + runs[i].replica + " while " +
                  runs[i - 1].replica + " worked on it for " +
                  std::to_string(overlap.count()) + " ms more");
    }
  }
  std::ostringstream text;
  text << kStreams << " streams, " << complete << " complete, " << moved
       << " went on at another replica, " << twice
       << " of them while the one before still worked on them";
  record.Line(text.str());
  std::cout << text.str() << "\n";
  return twice == 0;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
