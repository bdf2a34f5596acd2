/** @file lost_witnesses.cc Three of five gateway machines lose power at once,
 * while replicas of two software versions serve. */

#include "stand_ins.h"

namespace review {

namespace {

constexpr char kService[] = "lm-pool";
constexpr int kReplicas = 12;
constexpr int kOldReplicas = 6;

/** Tries of a requester that reach a gateway; without a channel it tries again
 * until its deadline. */
constexpr int kMaxTries = 3;

/** The platform's ingress: PROTOCOL.md. */
class Ingress {
 public:
  explicit Ingress(const std::vector<std::unique_ptr<Gateway>>& gateways)
      : gateways(gateways), misses(gateways.size()) {
    for (std::size_t i = 0; i < gateways.size(); ++i) {
      this->probes.emplace_back([this, i] {
        while (!this->is_ending) {
          this->misses[i] =
              this->gateways[i]->IsReady() ? 0 : this->misses[i] + 1;
          for (int step = 0; step < 100 && !this->is_ending; ++step)
            SleepMs(10);
        }
      });
    }
  }

  ~Ingress() {
    this->is_ending = true;
    for (std::thread& probe : this->probes)
      probe.join();
  }

  /** @return The node of a new channel. */
  std::size_t Choose(const std::string& zone, std::size_t hash) const {
    std::vector<std::size_t> all;
    std::vector<std::size_t> own;
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
      const bool is_own = this->gateways[i]->Zone() == zone;
      if (is_own)
        all.push_back(i);
      if (this->misses[i] < 2)
        (is_own ? own : others).push_back(i);
    }
    if (own.empty())
      return others.at(hash % others.size());
    const auto& nodes = 2 * own.size() < all.size() ? all : own;
    return nodes[hash % nodes.size()];
  }

 private:
  const std::vector<std::unique_ptr<Gateway>>& gateways;
  std::vector<std::atomic<int>> misses;
  std::atomic<bool> is_ending = false;
  std::vector<std::thread> probes;
};

struct Stream {
  Clock::time_point began_at;
  std::vector<Try> tries;
  std::vector<std::size_t> nodes;  ///< Of the tries.
};

void Ask(const Ingress& ingress,
         const std::vector<std::unique_ptr<Gateway>>& gateways,
         int number,
         Stream& stream,
         Record& record) {
  const char* const zones[] = {"a", "a", "b", "b", "c"};
  const std::string zone = zones[number % 5];
  const auto deadline = Clock::now() + milliseconds(12000);
  const std::string id = "stream-" + std::to_string(number);
  std::string begun_by;
  int last = 0;
  int sent = 0;
  std::size_t hash = std::hash<std::string>()(id);
  while (sent < kMaxTries && Clock::now() < deadline) {
    const std::size_t node = ingress.Choose(zone, hash++);
    const std::string own = id + "-" + std::to_string(sent);
    const Try seen =
        CallStream(*gateways[node], own, last, begun_by, deadline, record);
    if (!seen.is_connected) {
      SleepMs(300);
      continue;
    }
    ++sent;
    stream.tries.push_back(seen);
    stream.nodes.push_back(node);
    if (!seen.events.empty()) {
      if (begun_by.empty())
        begun_by = own;
      last = seen.events.back();
    }
    if (seen.is_complete)
      return;
    if (!seen.retry_after.empty())
      SleepMs(static_cast<std::int64_t>(1000 *
                                        std::atof(seen.retry_after.c_str())));
  }
}

/** @return The gateways to fail: those of zone a, and the gateway of zone b
 * that is named in /status as a witness of their streams. */
std::vector<std::size_t> ChooseFailing(
    const std::vector<std::unique_ptr<Gateway>>& gateways) {
  const json status = gateways[0]->Status();
  const json gossip =
      status.is_object() ? status.value("gossip", json::object()) : json();
  const json list = gossip.is_object()
                        ? gossip.value("stream_witnesses", json::array())
                        : json::array();
  for (const std::size_t i : {2, 3}) {
    const json address = gateways[i]->Control().Text();
    if (std::find(list.begin(), list.end(), address) != list.end())
      return {0, 1, i};
  }
  // Any three that include zone a; without the list, the first of zone b.
  return {0, 1, 2};
}

bool Run(const std::filesystem::path& scratch, bool trouble, Record& record) {
  const Network network;
  Store store(network.At(1, 3), record);
  store.Put("op/config", MakeConfiguration(kService), false);
  const StreamShape shape;
  std::vector<std::unique_ptr<Replica>> replicas;
  const char* const replica_zones[] = {"a", "b", "c"};
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        "lm-" + std::to_string(i), kService, replica_zones[i % 3],
        network.At(100 + i, 4), shape, store, record));
    replicas.back()->Start(i < kOldReplicas ? "old" : "new");
  }

  const char* const zones[] = {"a", "a", "b", "b", "c"};
  std::vector<std::unique_ptr<Gateway>> gateways;
  const std::string seeds = network.At(10, 2).Text() + "," +
                            network.At(12, 2).Text() + "," +
                            network.At(14, 2).Text();
  for (int i = 0; i < 5; ++i) {
    const Address front = network.At(10 + i, 0);
    gateways.push_back(std::make_unique<Gateway>(
        Gateway::Place{"front-" + std::to_string(i), zones[i], front.ip,
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

  const Ingress ingress(gateways);
  std::atomic<bool> is_ending = false;
  std::vector<std::unique_ptr<Stream>> streams;
  std::vector<std::thread> requesters;
  std::thread traffic([&] {
    for (int number = 0; !is_ending; ++number) {
      streams.push_back(std::make_unique<Stream>());
      Stream& stream = *streams.back();
      stream.began_at = Clock::now();
      requesters.emplace_back(
          [&, number] { Ask(ingress, gateways, number, stream, record); });
      SleepMs(40);
    }
  });

  SleepMs(5000);
  const auto fails_at = Clock::now();
  std::set<std::size_t> failed;
  if (trouble) {
    for (const std::size_t i : ChooseFailing(gateways)) {
      gateways[i]->Signal(SIGKILL);
      failed.insert(i);
    }
    for (const std::size_t i : failed)
      gateways[i]->Reap();
  }
  SleepMs(4000);
  is_ending = true;
  traffic.join();
  for (std::thread& requester : requesters)
    requester.join();

  int taken_up = 0;
  int gone_on = 0;
  int asked = 0;
  int begun = 0;
  for (const auto& stream : streams) {
    bool is_taken_up = false;
    bool has_gone_on = false;
    for (std::size_t i = 0; i < stream->tries.size(); ++i) {
      const Try& seen = stream->tries[i];
      // Only machines in touch count.
      if (failed.contains(stream->nodes[i]))
        continue;
      const bool has_begun = i > 0 && !stream->tries[0].events.empty();
      if (has_begun) {
        is_taken_up = true;
        has_gone_on = has_gone_on || !seen.events.empty();
      } else if (i == 0 && stream->began_at > fails_at) {
        ++asked;
        begun += seen.events.empty() ? 0 : 1;
      }
    }
    taken_up += is_taken_up ? 1 : 0;
    gone_on += has_gone_on ? 1 : 0;
  }
  std::ostringstream text;
  text << taken_up << " streams taken up at machines in touch, " << gone_on
       << " of them went on; " << asked << " new streams there, " << begun
       << " of them began";
  record.Line(text.str());
  std::cout << text.str() << "\n";
  if (asked == 0 || (trouble && taken_up < 12))
    throw CannotRun("too few streams");
  if (taken_up < 12)
    return true;
  const double share = static_cast<double>(gone_on) / taken_up;
  return share >= 0.5 * begun / asked;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
