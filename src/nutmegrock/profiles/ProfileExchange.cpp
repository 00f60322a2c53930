#include "profiles/ProfileExchange.h"

#include <algorithm>

namespace nutmegrock::profiles {

bool
ProfileExchange::OnVersionSeen(const core::Address& aFrom,
                               std::uint64_t aVersion,
                               std::uint64_t aInForce,
                               core::TimePoint aNow)
{
  if (aVersion <= aInForce) {
    return false;
  }
  RemoveExpired(aNow);
  const bool failed = std::any_of(
    mFailures.begin(), mFailures.end(), [&aFrom](const Failure& aFailure) {
      return aFailure.mFrom == aFrom;
    });
  const bool isInProgress = std::any_of(
    mPulls.begin(), mPulls.end(), [&aFrom, aVersion](const Pull& aPull) {
      return aPull.mVersion >= aVersion || aPull.mFrom == aFrom;
    });
  if (failed || isInProgress || mPulls.size() >= mSettings.mMaxPulls) {
    return false;
  }
  mPulls.push_back({ aFrom, aVersion, aNow });
  return true;
}

void
ProfileExchange::OnPulled(const core::Address& aFrom,
                          bool aUsable,
                          core::TimePoint aNow)
{
  std::erase_if(mPulls,
                [&aFrom](const Pull& aPull) { return aPull.mFrom == aFrom; });
  if (aUsable) {
    return;
  }
  if (mFailures.size() == kMaxFailures) {
    mFailures.erase(mFailures.begin());
  }
  mFailures.push_back({ aFrom, aNow + mSettings.mFailureCooldown });
}

core::Expected<PublishedSet>
ProfileExchange::Check(const core::Expected<std::string>& aResult)
{
  if (!aResult) {
    return tl::make_unexpected(aResult.error());
  }
  return PublishedSet::Read(*aResult);
}

core::Expected<std::string>
ProfileExchange::MakeResponse(const ActiveProfiles& aActiveProfiles)
{
  const auto record = aActiveProfiles.Record();
  if (!record) {
    return core::Fail(core::ErrorKind::NoProfiles,
                      "no profiles are in force on this node");
  }
  return record->Encode();
}

void
ProfileExchange::RemoveExpired(core::TimePoint aNow)
{
  std::erase_if(mPulls, [&](const Pull& aPull) {
    return aPull.mStarted + mSettings.mPullTimeout <= aNow;
  });
  std::erase_if(mFailures, [aNow](const Failure& aFailure) {
    return aFailure.mUntil <= aNow;
  });
}

} // namespace nutmegrock::profiles
