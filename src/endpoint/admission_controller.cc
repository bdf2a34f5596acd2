/** @file admission_controller.cc Admission control of an endpoint process. */

#include "endpoint/admission_controller.h"

#include <algorithm>

#include "endpoint/call_cost.h"
#include "kernel/control_traffic.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "wire/load_report_json.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kBusyRetryAfter{1000};

/** Interval of the check for queued calls past their deadline. */
constexpr std::chrono::milliseconds kExpiryCheckInterval{20};

/** Load reports of other endpoints in one refusal. */
constexpr std::size_t kMaxReportsPerRefusal = 2;

constexpr double kPercent = 100.0;

AdmissionLimits LimitsOf(const Settings& settings) {
  return {static_cast<std::size_t>(settings.max_running),
          static_cast<std::size_t>(settings.max_queued)};
}

/** @return For each rank, the largest minimum share of the service's profiles,
 * as a fraction. */
PerRank<double> MinimumSharesOf(const Configuration& active,
                                const std::string& service) {
  PerRank<double> shares{};
  for (const auto& [name, profile] : active.profiles) {
    if (profile.service != service)
      continue;
    double& share = shares[IndexOf(profile.RankValue())];
    share = std::max(
        share, static_cast<double>(profile.minimum_share_percent) / kPercent);
  }
  return shares;
}

std::string RankLabel(Rank rank) {
  return "rank=\"" + std::string(RankName(rank)) + "\"";
}

std::int64_t WeightOf(const Configuration& active,
                      const std::string& organisation) {
  const auto found = active.organisations.find(OrganisationId(organisation));
  return found == active.organisations.end() ? 1 : found->second.weight;
}

}  // namespace

AdmissionController::AdmissionController(
    const RoleContext& context,
    const ConfigurationStore& configuration,
    const MemberList& members)
    : context(context),
      configuration(configuration),
      load_exchange(
          context,
          members,
          [this] {
            return static_cast<std::int64_t>(this->running + this->queued);
          }),
      queue(LimitsOf(context.settings),
            MakeSchedulingPolicy(context.settings.start_order)) {}

void AdmissionController::Start() {
  this->load_exchange.Start();
  this->context.pool.Spawn(this->RefuseExpiredCalls());
}

std::chrono::milliseconds AdmissionController::TimeSinceStart() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      BootClock::now() - this->started);
}

CallRefused AdmissionController::MakeRefusal(const std::string& outcome,
                                             const std::string& reason) const {
  CallRefused refusal;
  refusal.outcome = outcome;
  refusal.reason = reason;
  refusal.running = static_cast<std::int64_t>(this->Running());
  refusal.queued = static_cast<std::int64_t>(this->Queued());
  return refusal;
}

CallAccepted AdmissionController::MakeAcceptedMessage(
    std::uint32_t attempt) const {
  CallAccepted accepted;
  accepted.attempt = attempt;
  accepted.running = static_cast<std::int64_t>(this->Running());
  accepted.queued = static_cast<std::int64_t>(this->Queued());
  CountControlTraffic(ControlTrafficKind::kLoad, ControlDirection::kSent,
                      EncodedSize(accepted));
  return accepted;
}

void AdmissionController::Submit(const CallRequest& request,
                                 const std::shared_ptr<CallRecord>& record) {
  const ConfigurationPtr active = this->configuration.Active();
  const auto profile = active->profiles.find(ProfileName(request.profile));
  const auto service =
      active->services.find(ServiceName(this->context.settings.service));
  if (profile == active->profiles.end() || service == active->services.end()) {
    record->Refuse(this->MakeRefusal("not_run", "profile_unknown"));
    return;
  }
  if (this->is_draining) {
    CallRefused leaving = this->MakeRefusal("not_run", "endpoint_leaving");
    leaving.retry_after = kBusyRetryAfter;
    record->Refuse(std::move(leaving));
    return;
  }
  CountControlTraffic(ControlTrafficKind::kLoad, ControlDirection::kReceived,
                      EncodedSize(request.loads));
  this->load_exchange.AddReports(request.loads);
  const EngineCall call{request, profile->second.RankValue(), record};
  WaitingCall waiting;
  waiting.rank = call.rank;
  waiting.organisation = OrganisationId(request.organisation);
  waiting.weight = WeightOf(*active, request.organisation);
  waiting.cost = EstimateCost(request.body);
  Decision decision;
  {
    const OrderedLock lock(this->mutex);
    this->UpdateShares(*active);
    waiting.deadline = this->LatestStart(profile->second.deadline);
    decision =
        this->TryEnqueue(waiting, profile->second.load_multiple_percent,
                         {call, EngineDriver::Find(service->second.kind)});
  }
  if (decision.evicted_record) {
    CallRefused evicted = this->MakeRefusal("not_run", "queue_full");
    evicted.retry_after = kBusyRetryAfter;
    decision.evicted_record->Refuse(std::move(evicted));
  }
  if (!decision.check.IsWithinBound()) {
    this->RefuseCall(decision, call, "endpoint_over_bound");
  } else if (decision.result.status == AdmissionStatus::kQueueFull) {
    this->RefuseCall(decision, call, "queue_full");
  } else if (decision.result.status == AdmissionStatus::kDeadlineUnmet) {
    this->RefuseCall(decision, call, "deadline_unmet");
  } else {
    this->LogAdmitted(decision, call);
    this->StartReadyCalls();
  }
}

AdmissionController::LoadCheck AdmissionController::CheckLoad(
    std::int64_t multiple_percent) const {
  LoadCheck check;
  check.count = static_cast<std::int64_t>(this->admitted_calls.size()) + 1;
  check.mean = this->load_exchange.MeanLoad(check.count);
  check.multiple_percent = multiple_percent;
  check.bound = MaxLoad(check.mean.mean, multiple_percent);
  return check;
}

std::chrono::milliseconds AdmissionController::LatestStart(
    std::chrono::milliseconds deadline) const {
  // Capped at half of the deadline: after a run of slow calls the estimate
  // could otherwise exceed the deadline and every new call would be refused.
  const auto to_first_byte =
      std::min(deadline / 2, this->first_byte_time.Estimate());
  return this->TimeSinceStart() + deadline - to_first_byte;
}

AdmissionController::Decision AdmissionController::TryEnqueue(
    const WaitingCall& waiting,
    std::int64_t multiple_percent,
    AdmittedCall call) {
  Decision decision;
  decision.check = this->CheckLoad(multiple_percent);
  decision.sequence = ++this->last_sequence;
  if (!decision.check.IsWithinBound())
    return decision;
  decision.result = this->queue.Offer(waiting, this->TimeSinceStart());
  if (decision.result.status != AdmissionStatus::kQueued)
    return decision;
  this->admitted_calls.emplace(decision.result.handle, std::move(call));
  if (decision.result.evicted) {
    const AdmittedCall evicted = this->RemoveAdmitted(*decision.result.evicted);
    decision.evicted_record = evicted.call.record;
    decision.evicted_ticket = evicted.call.request.ticket;
  }
  this->UpdateCounts();
  return decision;
}

void AdmissionController::RefuseCall(const Decision& decision,
                                     const EngineCall& call,
                                     const std::string& reason) {
  CallRefused refusal = this->MakeRefusal("not_run", reason);
  refusal.retry_after = std::max(kBusyRetryAfter, decision.result.retry_after);
  if (!decision.check.IsWithinBound())
    refusal.loads = this->load_exchange.LeastLoaded(kMaxReportsPerRefusal);
  CountControlTraffic(ControlTrafficKind::kLoad, ControlDirection::kSent,
                      EncodedSize(refusal.loads));
  ProcessMetrics().Add("calls_refused_total",
                       RankLabel(call.rank) + ",reason=\"" + reason + "\"");
  LogLine(LogLevel::kInfo, "refused",
          {{"request", call.request.ticket},
           {"organisation", call.request.organisation},
           {"rank", RankName(call.rank)},
           {"reason", reason},
           {"count", decision.check.count},
           {"mean", decision.check.mean.mean},
           {"mean_known", decision.check.mean.endpoint_count},
           {"bound", decision.check.bound},
           {"wait_ms", decision.result.wait.count()}});
  call.record->Refuse(std::move(refusal));
}

void AdmissionController::LogAdmitted(const Decision& decision,
                                      const EngineCall& call) const {
  ProcessMetrics().Add("calls_admitted_total", RankLabel(call.rank));
  LogLine(LogLevel::kInfo, "admitted",
          {{"sequence", decision.sequence},
           {"request", call.request.ticket},
           {"organisation", call.request.organisation},
           {"profile", call.request.profile},
           {"rank", RankName(call.rank)},
           {"count", decision.check.count},
           {"mean", decision.check.mean.mean},
           {"mean_known", decision.check.mean.endpoint_count},
           {"mean_age_ms", decision.check.mean.oldest.count()},
           {"multiple_percent", decision.check.multiple_percent},
           {"bound", decision.check.bound},
           {"evicted", decision.evicted_ticket},
           {"wait_ms", decision.result.wait.count()}});
}

void AdmissionController::LogReleased(const EngineCall& call,
                                      const char* how,
                                      std::uint64_t sequence) const {
  LogLine(
      LogLevel::kInfo, "released",
      {{"sequence", sequence}, {"request", call.request.ticket}, {"how", how}});
}

void AdmissionController::StartReadyCalls() {
  struct ReadyCall {
    WaitingCall waiting;
    AdmittedCall call;
    std::uint64_t sequence;
  };
  std::vector<ReadyCall> ready;
  {
    const OrderedLock lock(this->mutex);
    while (const auto next = this->queue.StartNext(this->TimeSinceStart())) {
      ready.push_back({*next, this->admitted_calls.at(next->handle),
                       ++this->last_sequence});
    }
    this->UpdateCounts();
  }
  for (ReadyCall& next : ready) {
    const std::string label = RankLabel(next.call.call.rank);
    ProcessMetrics().Add("calls_started_total", label);
    ProcessMetrics().Add("work_started_tokens_total", label,
                         static_cast<std::uint64_t>(next.waiting.cost));
    LogLine(LogLevel::kInfo, "started",
            {{"sequence", next.sequence},
             {"request", next.call.call.request.ticket},
             {"organisation", next.waiting.organisation.str()},
             {"rank", RankName(next.waiting.rank)},
             {"cost", next.waiting.cost}});
    this->context.pool.Spawn(
        this->RunCall(next.waiting.handle, std::move(next.call)));
  }
}

asio::awaitable<void> AdmissionController::RunCall(CallHandle handle,
                                                   AdmittedCall call) {
  const BootClock::time_point started_at = BootClock::now();
  if (call.call.record->TryStart()) {
    const SocketAddress engine =
        ParseSocketAddress(this->context.settings.engine_address);
    try {
      co_await call.driver->Run(engine, call.call);
    } catch (const std::exception& fault) {
      CallRefused failed = this->MakeRefusal("unknown", "engine_failed");
      failed.detail = fault.what();
      call.call.record->Refuse(std::move(failed));
    }
  }
  const auto first_byte = call.call.record->FirstChunkTime();
  std::uint64_t sequence = 0;
  {
    const OrderedLock lock(this->mutex);
    if (first_byte)
      this->first_byte_time.RecordSample(*first_byte - started_at);
    this->queue.Finish(handle, this->TimeSinceStart());
    this->RemoveAdmitted(handle);
    sequence = ++this->last_sequence;
    this->UpdateCounts();
  }
  this->LogReleased(call.call, "finished", sequence);
  this->StartReadyCalls();
}

asio::awaitable<void> AdmissionController::RefuseExpiredCalls() {
  while (true) {
    co_await SleepFor(kExpiryCheckInterval);
    std::vector<std::pair<AdmittedCall, std::uint64_t>> expired;
    {
      const OrderedLock lock(this->mutex);
      for (const CallHandle handle :
           this->queue.TakeExpired(this->TimeSinceStart())) {
        AdmittedCall call = this->RemoveAdmitted(handle);
        expired.emplace_back(std::move(call), ++this->last_sequence);
      }
      this->UpdateCounts();
    }
    for (const auto& [call, sequence] : expired) {
      CallRefused refusal = this->MakeRefusal("not_run", "deadline_unmet");
      refusal.retry_after = kBusyRetryAfter;
      call.call.record->Refuse(std::move(refusal));
      ProcessMetrics().Add("calls_expired_total", RankLabel(call.call.rank));
      this->LogReleased(call.call, "deadline_unmet", sequence);
    }
  }
}

bool AdmissionController::Cancel(const std::string& ticket) {
  AdmittedCall call;
  std::uint64_t sequence = 0;
  {
    const OrderedLock lock(this->mutex);
    const auto found =
        std::find_if(this->admitted_calls.begin(), this->admitted_calls.end(),
                     [&](const auto& entry) {
                       return entry.second.call.request.ticket == ticket;
                     });
    if (found == this->admitted_calls.end() ||
        !this->queue.Cancel(found->first))
      return false;
    call = this->RemoveAdmitted(found->first);
    sequence = ++this->last_sequence;
    this->UpdateCounts();
  }
  call.call.record->Refuse(this->MakeRefusal("not_run", "cancelled"));
  this->LogReleased(call.call, "cancelled", sequence);
  return true;
}

AdmissionController::AdmittedCall AdmissionController::RemoveAdmitted(
    CallHandle handle) {
  const auto found = this->admitted_calls.find(handle);
  AdmittedCall call = std::move(found->second);
  this->admitted_calls.erase(found);
  return call;
}

void AdmissionController::UpdateShares(const Configuration& active) {
  if (active.revision == this->shares_revision)
    return;
  this->shares_revision = active.revision;
  this->queue.SetShares(
      MinimumSharesOf(active, this->context.settings.service));
}

void AdmissionController::UpdateCounts() {
  this->running = this->queue.Running();
  this->queued = this->queue.Queued();
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    const RankLoad load = this->queue.LoadOf(static_cast<Rank>(rank));
    const std::string label = RankLabel(static_cast<Rank>(rank));
    ProcessMetrics().Set("calls_running", label,
                         static_cast<double>(load.running));
    ProcessMetrics().Set("calls_queued", label,
                         static_cast<double>(load.queued));
  }
}

std::vector<std::string> AdmissionController::AdmittedTickets() const {
  const OrderedLock lock(this->mutex);
  std::vector<std::string> tickets;
  for (const auto& [handle, call] : this->admitted_calls)
    tickets.push_back(call.call.request.ticket);
  return tickets;
}

nlohmann::json AdmissionController::Status() const {
  const OrderedLock lock(this->mutex);
  const LoadMean mean = this->load_exchange.MeanLoad(
      static_cast<std::int64_t>(this->admitted_calls.size()));
  nlohmann::json ranks = nlohmann::json::object();
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    const RankLoad load = this->queue.LoadOf(static_cast<Rank>(rank));
    ranks[std::string(kRankNames.at(rank))] = {{"running", load.running},
                                               {"queued", load.queued},
                                               {"started", load.started}};
  }
  return {{"count", this->admitted_calls.size()},
          {"mean", mean.mean},
          {"mean_known", mean.endpoint_count},
          {"mean_age_ms", mean.oldest.count()},
          {"ranks", ranks}};
}

}  // namespace buckthornpath
