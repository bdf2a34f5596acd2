/** @file member_list.cc Endpoints known from the VM list. */

#include "fleet/member_list.h"

#include "kernel/field_table.h"
#include "kernel/http_client.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

namespace buckthornpath {

namespace {

constexpr std::chrono::milliseconds kReadTimeout{3000};

Member ParseMember(const nlohmann::json& item) {
  Member member;
  member.vm = VmId(item.at("vm").get<std::string>());
  member.id = EndpointId(member.vm.str());
  member.service = ServiceName(item.at("service").get<std::string>());
  member.failure_domain =
      FailureDomainId(item.at("failure_domain").get<std::string>());
  member.address = ParseSocketAddress(item.at("address").get<std::string>());
  member.state = item.at("state").get<std::string>() == "live"
                     ? MemberState::kLive
                     : MemberState::kLeaving;
  return member;
}

}  // namespace

void MemberList::Replace(std::vector<Member> next) {
  const OrderedLock lock(this->mutex);
  this->members = std::move(next);
}

std::vector<Member> MemberList::LiveMembers(const ServiceName& service) const {
  const OrderedLock lock(this->mutex);
  std::vector<Member> live;
  for (const Member& member : this->members) {
    if (member.service != service)
      continue;
    if (member.state == MemberState::kLive)
      live.push_back(member);
  }
  return live;
}

std::vector<Member> MemberList::All() const {
  const OrderedLock lock(this->mutex);
  return this->members;
}

std::vector<Member> ParseVmList(const std::string& text) {
  const nlohmann::json object = ParseJsonWithComments(text);
  try {
    std::vector<Member> members;
    for (const nlohmann::json& item : object.at("vms")) {
      members.push_back(ParseMember(item));
    }
    return members;
  } catch (const nlohmann::json::exception& error) {
    throw DocumentRefused("/vms", error.what());
  } catch (const std::invalid_argument& error) {
    throw DocumentRefused("/vms", error.what());
  }
}

asio::awaitable<void> FollowVmList(MemberList& list,
                                   SocketAddress service,
                                   std::chrono::milliseconds interval) {
  while (true) {
    try {
      HttpRequest request;
      request.target = "/v1/vms";
      const HttpResponse response =
          co_await HttpFetch(service, request, kReadTimeout);
      if (response.status != 200)
        throw HttpError("VM list unavailable");
      list.Replace(ParseVmList(response.body));
    } catch (const std::exception& error) {
      ProcessMetrics().Add("vm_list_faults_total");
      LogLine(LogLevel::kWarning, "vm_list_fault", {{"reason", error.what()}});
    }
    co_await SleepFor(interval);
  }
}

}  // namespace buckthornpath
