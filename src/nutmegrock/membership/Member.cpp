#include "membership/Member.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::membership {

std::string_view
NameOf(MemberState aState)
{
  switch (aState) {
    case MemberState::Starting:
      return "starting";
    case MemberState::Serving:
      return "serving";
    case MemberState::Draining:
      return "draining";
    case MemberState::Left:
      break;
  }
  return "left";
}

core::Expected<bool>
Member::Check() const
{
  const auto isName = [](const std::string& aName) {
    return !aName.empty() && aName.size() <= kMaxName &&
           aName.find('/') == std::string::npos;
  };
  if (!mIncarnation.IsKnown()) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "incarnation of the own node is not set");
  }
  if (!isName(mService) || !isName(mRegion) || !isName(mAvailabilityZone)) {
    return core::Fail(
      core::ErrorKind::InvalidSettings,
      fmt::format("service, region and availability zone must have 1 to {} "
                  "characters without '/'",
                  kMaxName));
  }
  return true;
}

} // namespace nutmegrock::membership
