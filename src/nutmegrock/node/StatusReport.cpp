#include "node/StatusReport.h"

#include <utility>

namespace nutmegrock::node {

namespace {

using web::json::value;

value
MemberJson(const membership::Member& aMember)
{
  value member = value::object();
  member["incarnation"] = value(aMember.mIncarnation.ToString());
  member["address"] = value(aMember.mAddress.ToString());
  member["availability_zone"] = value(aMember.mAvailabilityZone);
  member["slots"] = value(aMember.mSlots);
  member["state"] = value(std::string(membership::NameOf(aMember.mState)));
  return member;
}

value
ServicesJson(const membership::MemberView& aView)
{
  value services = value::object();
  for (const auto& [name, members] : aView.mByService) {
    std::vector<value> list;
    list.reserve(members.size());
    for (const membership::MemberPtr& member : members) {
      list.push_back(MemberJson(*member));
    }
    services[name] = value::array(std::move(list));
  }
  return services;
}

} // namespace

std::string_view
NameOf(ServerState aState)
{
  switch (aState) {
    case ServerState::Starting:
      return "starting";
    case ServerState::Serving:
      return "serving";
    case ServerState::Draining:
      break;
  }
  return "draining";
}

value
StatusJson(const StatusReport& aReport)
{
  value status = value::object();
  status["service"] = value(aReport.mService);
  status["availability_zone"] = value(aReport.mAvailabilityZone);
  status["incarnation"] = value(aReport.mIncarnation.ToString());
  status["profile_version"] = value(aReport.mProfileVersion);
  status["ready"] = value(aReport.mProfileVersion > 0 &&
                          aReport.mServing.mState == ServerState::Serving);
  const ServingStatus& serving = aReport.mServing;
  status["state"] = value(std::string(NameOf(serving.mState)));
  status["limit"] = value(serving.mLimit);
  status["in_flight"] = value(serving.mInFlight);
  status["waiting"] = value(serving.mWaiting);
  status["level"]["importance"] =
    value(std::string(core::NameOf(serving.mLevel.mImportance)));
  status["level"]["cohort"] = value(serving.mLevel.mCohort);
  status["ejected"] = value(aReport.mEjected);
  status["members"] = value(static_cast<std::uint64_t>(aReport.mView->Alive()));
  status["services"] = ServicesJson(*aReport.mView);
  return status;
}

} // namespace nutmegrock::node
