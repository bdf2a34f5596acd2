/** @file stream_origin_exchange.cc Tells gateways what has begun streams. */

#include "gateway/stream_origin_exchange.h"

#include <algorithm>
#include <array>
#include <utility>

#include "buckthornpath/stream_witnesses.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

/** Streams that a new receiver is told. */
constexpr std::size_t kMaxHandedOver = 256;

/** Labels of the results of lookups, in the order of LookupEnd. */
constexpr std::array<const char*, 4> kEndLabels = {
    R"(result="found")", R"(result="unknown")", R"(result="contradictory")",
    R"(result="silent")"};

}  // namespace

StreamOriginExchange::StreamOriginExchange(GatewayState& state, Sender send)
    : state(state), send(std::move(send)), wake(state.executor) {
  // The datagram leaves before the stream's first event does.
  state.announce_streams = [this] {
    this->SendAnnouncements(Clock::now());
    this->wake.Set();
  };
  state.ask_stream_origin = [this](const StreamKey& stream) {
    return this->Ask(stream);
  };
}

void StreamOriginExchange::Start() {
  WorkerPool::SpawnService(this->state.executor,
                           [this] { return this->Run(); });
}

asio::awaitable<void> StreamOriginExchange::Run() {
  while (true) {
    const auto now = Clock::now();
    this->EndLookups(now);
    this->SendAnnouncements(now);
    this->SendCopies(now);
    this->SendQuestions(now);
    auto next = Clock::time_point::max();
    for (const auto& due : {this->outbox.NextAt(), this->copies.NextAt(),
                            this->relayed.NextAt(), this->lookups.NextAt()})
      next = std::min(next, due.value_or(next));
    co_await this->wake.WaitUntil(next);
  }
}

template <class Item>
void StreamOriginExchange::SendAll(const std::vector<std::string>& addresses,
                                   std::vector<Item> StreamNews::*part,
                                   const std::vector<Item>& items) {
  for (std::size_t first = 0; first < items.size();
       first += StreamNews::kMaxStreams) {
    const std::size_t end =
        std::min(items.size(), first + StreamNews::kMaxStreams);
    StreamNews news;
    (news.*part)
        .assign(items.begin() + static_cast<std::ptrdiff_t>(first),
                items.begin() + static_cast<std::ptrdiff_t>(end));
    this->send(addresses, news);
  }
}

void StreamOriginExchange::SendAnnouncements(Clock::time_point now) {
  const std::vector<StreamRecord> fresh =
      this->state.stream_origins.TakeUnannounced();
  this->outbox.Add(fresh);
  if (!this->copy_receivers.empty())
    this->copies.Add(fresh, now);
  const std::vector<StreamRecord> round = this->outbox.TakeRound(now);
  if (!round.empty() && !this->witnesses.empty())
    this->SendAll(this->witnesses, &StreamNews::records, round);
}

void StreamOriginExchange::SendCopies(Clock::time_point now) {
  this->SendAll(this->copy_receivers, &StreamNews::copies,
                this->copies.TakeRound(now));
  this->SendAll(this->relay_receivers, &StreamNews::copies,
                this->relayed.TakeRound(now));
}

void StreamOriginExchange::SendQuestions(Clock::time_point now) {
  for (const auto& [gateway, streams] : this->lookups.TakeQuestions(now))
    this->SendAll({gateway}, &StreamNews::questions, streams);
}

void StreamOriginExchange::EndLookups(Clock::time_point now) {
  StreamOrigins& origins = this->state.stream_origins;
  for (const EndedLookup& ended : this->lookups.TakeEnded(now)) {
    ProcessMetrics().Add("stream_lookups_total",
                         kEndLabels.at(static_cast<std::size_t>(ended.end)));
    if (ended.origin)
      origins.RecordPeer({ended.stream, *ended.origin}, now);
    if (ended.end == LookupEnd::kContradictory)
      origins.RecordContradiction(ended.stream, now);
    const auto [first, last] = this->waiting.equal_range(ended.stream);
    for (auto request = first; request != last; ++request)
      request->second->Set();
    this->waiting.erase(first, last);
  }
}

asio::awaitable<void> StreamOriginExchange::AskGateways(
    StreamKey stream,
    std::vector<std::string> gateways) {
  if (!this->lookups.Begin(stream, gateways, Clock::now())) {
    ProcessMetrics().Add("stream_lookups_total", R"(result="not_asked")");
    co_return;
  }
  const auto ended = std::make_shared<WakeSignal>(this->state.executor);
  this->waiting.emplace(stream, ended);
  this->wake.Set();
  co_await ended->Wait();
}

asio::awaitable<std::optional<StreamOrigin>> StreamOriginExchange::Ask(
    StreamKey stream) {
  const StreamOrigins& origins = this->state.stream_origins;
  co_await this->AskGateways(stream, this->gateways_to_ask);
  const bool is_known = origins.Find(stream, Clock::now()).has_value();
  if (!is_known && !origins.IsContradictory(stream, Clock::now()) &&
      !this->gateways_to_ask_next.empty())
    co_await this->AskGateways(stream, this->gateways_to_ask_next);
  co_return origins.Find(stream, Clock::now());
}

void StreamOriginExchange::Answer(const std::string& sender,
                                  const std::vector<StreamKey>& streams) {
  const auto now = Clock::now();
  StreamNews answer;
  for (const StreamKey& stream : streams) {
    const auto origin = this->state.stream_origins.Find(stream, now);
    if (origin)
      answer.records.push_back({stream, *origin});
    else if (this->state.stream_origins.IsContradictory(stream, now))
      answer.contradictory.push_back(stream);
    else
      answer.unknown.push_back(stream);
  }
  this->send({sender}, answer);
}

void StreamOriginExchange::RecordNews(const GatewayMember& sender,
                                      const std::vector<StreamRecord>& records,
                                      bool is_copy) {
  const auto now = Clock::now();
  StreamOrigins& origins = this->state.stream_origins;
  const bool is_relayed =
      !this->relay_receivers.empty() &&
      sender.failure_domain != this->state.roster.Self().failure_domain;
  std::vector<StreamRecord> news;
  for (const StreamRecord& record : records) {
    if (is_relayed && origins.Find(record.stream, now) != record.origin)
      news.push_back(record);
    if (is_copy)
      origins.RecordCopy(record, now);
    else
      origins.RecordPeer(record, now);
  }
  if (news.empty())
    return;
  this->relayed.Add(news, now);
  this->wake.Set();
}

void StreamOriginExchange::Handle(const GatewayMember& sender,
                                  const StreamNews& news) {
  const auto now = Clock::now();
  const std::string& address = sender.address;
  const std::size_t count_before = this->lookups.Count();
  std::vector<StreamRecord> told;
  for (const StreamRecord& record : news.records) {
    // The lookup records it once others have had time to contradict it.
    if (!this->lookups.RecordAnswer(address, record.stream, {record.origin},
                                    now))
      told.push_back(record);
  }
  this->RecordNews(sender, told, false);
  this->RecordNews(sender, news.copies, true);
  for (const StreamKey& stream : news.unknown)
    this->lookups.RecordAnswer(address, stream, {}, now);
  for (const StreamKey& stream : news.contradictory) {
    this->lookups.RecordAnswer(address, stream,
                               {.origin = {}, .is_contradictory = true}, now);
  }
  if (!news.questions.empty())
    this->Answer(address, news.questions);
  if (count_before != 0)
    this->wake.Set();
}

void StreamOriginExchange::FindNewReceivers(
    const std::vector<std::string>& addresses,
    std::map<std::string, std::uint64_t>& known_runs,
    std::vector<std::string>& added) const {
  std::map<std::string, std::uint64_t> runs;
  for (const std::string& address : addresses) {
    const std::uint64_t run =
        this->state.roster.Others().at(address).member.run;
    runs[address] = run;
    const auto known = known_runs.find(address);
    if (known == known_runs.end() || known->second != run)
      added.push_back(address);
  }
  known_runs = std::move(runs);
}

void StreamOriginExchange::UpdateWitnesses() {
  const GatewayRoster& roster = this->state.roster;
  this->gateways_to_ask = GatewaysToAsk(roster);
  this->gateways_to_ask_next = GatewaysToAskNext(roster);
  this->witnesses = StreamWitnesses(roster);
  this->copy_receivers = GatewaysToCopyTo(roster);
  this->copies.SetReceivers(this->copy_receivers.size());
  this->relay_receivers = GatewaysToRelayTo(roster);
  this->relayed.SetReceivers(this->relay_receivers.size());
  const auto now = Clock::now();
  std::vector<std::string> added;
  this->FindNewReceivers(this->witnesses, this->witness_runs, added);
  if (!added.empty()) {
    this->SendAll(added, &StreamNews::records,
                  this->state.stream_origins.NewestOwn(kMaxHandedOver, now));
  }
  this->FindNewReceivers(this->copy_receivers, this->copy_receiver_runs,
                         this->new_copy_receivers);
  if (this->new_copy_receivers.empty())
    return;
  this->SendAll({this->new_copy_receivers.back()}, &StreamNews::copies,
                this->state.stream_origins.NewestOwn(kMaxHandedOver, now));
  this->new_copy_receivers.pop_back();
}

}  // namespace buckthornpath
