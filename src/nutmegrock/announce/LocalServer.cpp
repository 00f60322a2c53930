#include "announce/LocalServer.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::announce {

namespace {

/// Maximum number of departed identities remembered. Dropping one is safe: a
/// server that restarts under a known identity has a later start time.
constexpr std::size_t kMaxDeparted = 64;

} // namespace

std::string_view
NameOf(ServerPhase aPhase)
{
  switch (aPhase) {
    case ServerPhase::Absent:
      return "absent";
    case ServerPhase::Serving:
      return "serving";
    case ServerPhase::Leaving:
      break;
  }
  return "leaving";
}

LocalServer::LocalServer(LocalServerSettings aSettings)
  : mSettings(std::move(aSettings))
{
}

bool
LocalServer::IsStale(const Announcement& aAnnouncement) const
{
  const auto departed = mDeparted.find(aAnnouncement.mId);
  if (departed != mDeparted.end() &&
      aAnnouncement.mStartedMs <= departed->second) {
    return true;
  }
  if (!mLatest) {
    return false;
  }
  if (aAnnouncement.mStartedMs != mLatest->mStartedMs) {
    return aAnnouncement.mStartedMs < mLatest->mStartedMs;
  }
  // A heartbeat whose acknowledgement was lost is resent with the same number.
  return aAnnouncement.mId == mLatest->mId &&
         aAnnouncement.mSequence < mLatest->mSequence;
}

core::Expected<bool>
LocalServer::OnHeartbeat(core::TimePoint aNow,
                         const Announcement& aAnnouncement)
{
  if (aAnnouncement.mService != mSettings.mService ||
      aAnnouncement.mAddress != mSettings.mAddress) {
    return core::Fail(
      core::ErrorKind::BadRequest,
      fmt::format("heartbeat of {} at {} for service {} does not belong to the "
                  "server at {} of service {}",
                  aAnnouncement.mId,
                  aAnnouncement.mAddress.ToString(),
                  aAnnouncement.mService,
                  mSettings.mAddress.ToString(),
                  mSettings.mService));
  }
  if (aAnnouncement.mId.empty() || aAnnouncement.mSlots == 0) {
    return core::Fail(core::ErrorKind::BadRequest,
                      "a heartbeat needs an identity and at least one slot");
  }
  if (IsStale(aAnnouncement)) {
    return core::Fail(
      core::ErrorKind::VersionConflict,
      fmt::format("heartbeat {} of {} is older than what is known",
                  aAnnouncement.mSequence,
                  aAnnouncement.mId));
  }
  const ServerPhase before = Phase(aNow);
  const bool same_run = mLatest && mLatest->mId == aAnnouncement.mId &&
                        mLatest->mStartedMs == aAnnouncement.mStartedMs;
  const bool was_leaving = same_run && mLeavingSince.has_value();
  const bool repeated =
    same_run && mLatest->mSequence == aAnnouncement.mSequence;
  mUnconfirmed = !mLatest || (mUnconfirmed && repeated);
  mDoubted = mDoubted && mUnconfirmed;
  mLatest = aAnnouncement;
  mLastHeartbeatAt = aNow;
  if (aAnnouncement.mDraining) {
    if (!was_leaving) {
      mLeavingSince = aNow;
    }
  } else if (!was_leaving) {
    // A leave is final for one start of a server.
    mLeavingSince.reset();
  }
  return !same_run || Phase(aNow) != before;
}

bool
LocalServer::OnLeave(core::TimePoint aNow,
                     const std::string& aId,
                     std::int64_t aStartedMs)
{
  const bool present = mLatest && mLatest->mId == aId &&
                       (aStartedMs == 0 || aStartedMs == mLatest->mStartedMs);
  const std::int64_t started = present ? mLatest->mStartedMs : aStartedMs;
  const auto found = mDeparted.find(aId);
  if (found == mDeparted.end()) {
    if (mDeparted.size() >= kMaxDeparted) {
      mDeparted.erase(mDeparted.begin());
    }
    mDeparted.emplace(aId, started);
  } else {
    found->second = std::max(found->second, started);
  }
  if (!present || mLeavingSince) {
    return false;
  }
  mLeavingSince = aNow;
  return true;
}

bool
LocalServer::OnHealthy(core::TimePoint aNow,
                       const std::string& aId,
                       std::uint32_t aSlots)
{
  if (mLatest && mLatest->mId == aId) {
    mUnconfirmed = false;
    return std::exchange(mDoubted, false);
  }
  if (mLatest || aId.empty() || aSlots == 0 || mDeparted.count(aId) > 0) {
    return false;
  }
  Announcement announcement;
  announcement.mId = aId;
  announcement.mService = mSettings.mService;
  announcement.mAddress = mSettings.mAddress;
  announcement.mSlots = aSlots;
  mLatest = std::move(announcement);
  mLastHeartbeatAt = aNow;
  return true;
}

bool
LocalServer::OnUnhealthy()
{
  if (!mUnconfirmed || mLeavingSince) {
    return false;
  }
  return !std::exchange(mDoubted, true);
}

bool
LocalServer::NeedsCheck() const
{
  return !mLatest || (mUnconfirmed && !mDoubted);
}

ServerPhase
LocalServer::Phase(core::TimePoint aNow) const
{
  if (!mLatest || mDoubted) {
    return ServerPhase::Absent;
  }
  if (mLeavingSince) {
    return ServerPhase::Leaving;
  }
  return aNow - mLastHeartbeatAt > mSettings.mHeartbeatLifetime
           ? ServerPhase::Absent
           : ServerPhase::Serving;
}

bool
LocalServer::CanStartWork(core::TimePoint aNow) const
{
  switch (Phase(aNow)) {
    case ServerPhase::Absent:
      return false;
    case ServerPhase::Serving:
      return true;
    case ServerPhase::Leaving:
      break;
  }
  return aNow - *mLeavingSince < mSettings.mLeaveGracePeriod;
}

} // namespace nutmegrock::announce
