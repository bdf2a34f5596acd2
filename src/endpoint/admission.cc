/** @file admission.cc Admits, starts or refuses calls at an endpoint process.
 */

#include "endpoint/admission.h"

#include "kernel/log.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kBusyRetryAfter{1000};

}  // namespace

Admission::Admission(const RoleContext& context,
                     const ConfigurationStore& configuration)
    : context(context), configuration(configuration) {}

CallRefused Admission::Refusal(const std::string& outcome,
                               const std::string& reason) const {
  CallRefused refusal;
  refusal.outcome = outcome;
  refusal.reason = reason;
  refusal.running = static_cast<std::int64_t>(this->Running());
  refusal.queued = static_cast<std::int64_t>(this->Queued());
  return refusal;
}

CallAccepted Admission::Accepted(std::uint32_t attempt) const {
  CallAccepted accepted;
  accepted.attempt = attempt;
  accepted.running = static_cast<std::int64_t>(this->Running());
  accepted.queued = static_cast<std::int64_t>(this->Queued());
  return accepted;
}

void Admission::Submit(const CallRequest& request,
                       const std::shared_ptr<CallRecord>& record) {
  const ConfigurationPtr in_force = this->configuration.InForce();
  const auto profile = in_force->profiles.find(ProfileName(request.profile));
  const auto service =
      in_force->services.find(ServiceName(this->context.settings.service));
  if (profile == in_force->profiles.end() ||
      service == in_force->services.end()) {
    record->Refuse(this->Refusal("not_run", "profile_unknown"));
    return;
  }
  CallRefused busy = this->Refusal("not_run", "endpoint_busy");
  busy.retry_after = kBusyRetryAfter;
  if (this->draining) {
    busy.reason = "endpoint_leaving";
    record->Refuse(std::move(busy));
    return;
  }
  if (this->running >=
      static_cast<std::size_t>(this->context.settings.max_running)) {
    record->Refuse(std::move(busy));
    return;
  }
  const EngineDriver* driver = EngineDriver::Find(service->second.kind);
  ++this->running;
  LogLine(LogLevel::kInfo, "admitted",
          {{"request", request.ticket},
           {"organisation", request.organisation},
           {"profile", request.profile},
           {"rank", profile->second.rank},
           {"running", this->running.load()}});
  this->context.pool.Spawn(
      this->Run(driver, {request, profile->second.RankValue(), record}));
}

asio::awaitable<void> Admission::Run(const EngineDriver* driver,
                                     EngineCall call) {
  const InFlightCalls::Mark mark(this->in_flight, call.request.ticket);
  if (call.record->TryStart()) {
    co_await driver->Run(
        ParseSocketAddress(this->context.settings.engine_address), call);
  }
  --this->running;
}

}  // namespace buckthornpath
