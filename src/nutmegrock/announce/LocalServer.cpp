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

bool
LocalServer::IsKnownRun(const Announcement& aAnnouncement) const
{
  return mLatest && mLatest->mId == aAnnouncement.mId &&
         (mLatest->mStartedMs == 0 ||
          mLatest->mStartedMs == aAnnouncement.mStartedMs);
}

LocalServer::Confirmation
LocalServer::ConfirmationAfter(core::TimePoint aNow,
                               const Announcement& aAnnouncement) const
{
  if (IsKnownRun(aAnnouncement) &&
      (mConfirmation == Confirmation::Confirmed ||
       mLatest->mSequence == aAnnouncement.mSequence)) {
    // A repeated heartbeat tells nothing new.
    return mConfirmation;
  }
  return MayHaveLeft(aNow, aAnnouncement) ? Confirmation::Pending
                                          : Confirmation::Confirmed;
}

bool
LocalServer::MayHaveLeft(core::TimePoint aNow,
                         const Announcement& aAnnouncement) const
{
  const bool early = aNow - mSettings.mNodeStart < mSettings.mMaxHeartbeatDelay;
  const std::int64_t latest_start =
    mSettings.mNodeStartMs - mSettings.mMinServerLifetime.count();
  return early && (aAnnouncement.mStartedMs == 0 ||
                   aAnnouncement.mStartedMs < latest_start);
}

bool
LocalServer::IsUsable(core::TimePoint aNow) const
{
  switch (mConfirmation) {
    case Confirmation::Confirmed:
      return true;
    case Confirmation::Rejected:
      return false;
    case Confirmation::Pending:
      break;
  }
  return mChecks >= mSettings.mMaxChecks &&
         aNow - mCheckedAt >= mSettings.mCheckTimeout;
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
  const Confirmation confirmation = ConfirmationAfter(aNow, aAnnouncement);
  if (confirmation == Confirmation::Pending &&
      (mConfirmation != Confirmation::Pending || !IsKnownRun(aAnnouncement))) {
    mChecks = 0;
    mCheckedAt = {};
  }
  mConfirmation = confirmation;
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

std::int64_t
LocalServer::WallClockMs(core::TimePoint aNow) const
{
  return mSettings.mNodeStartMs +
         std::chrono::duration_cast<std::chrono::milliseconds>(
           aNow - mSettings.mNodeStart)
           .count();
}

bool
LocalServer::OnLeave(core::TimePoint aNow,
                     const std::string& aId,
                     std::int64_t aStartedMs)
{
  // Of a server that only a health check has identified, the start is unknown.
  const bool present = mLatest && mLatest->mId == aId &&
                       (aStartedMs == 0 || aStartedMs >= mLatest->mStartedMs);
  std::int64_t started = aStartedMs;
  if (started == 0) {
    started = present && mLatest->mStartedMs != 0 ? mLatest->mStartedMs
                                                  : WallClockMs(aNow);
  }
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
  const ServerPhase before = Phase(aNow);
  if (mLatest && mLatest->mId == aId) {
    mConfirmation = Confirmation::Confirmed;
    return Phase(aNow) != before;
  }
  if ((mLatest && mConfirmation == Confirmation::Confirmed) || aId.empty() ||
      aSlots == 0 || mDeparted.count(aId) > 0) {
    return false;
  }
  Announcement announcement;
  announcement.mId = aId;
  announcement.mService = mSettings.mService;
  announcement.mAddress = mSettings.mAddress;
  announcement.mSlots = aSlots;
  mLatest = std::move(announcement);
  mLastHeartbeatAt = aNow;
  mLeavingSince.reset();
  mConfirmation = Confirmation::Confirmed;
  return true;
}

bool
LocalServer::OnUnhealthy()
{
  if (!mLatest || mConfirmation != Confirmation::Pending || mLeavingSince) {
    return false;
  }
  mConfirmation = Confirmation::Rejected;
  return true;
}

bool
LocalServer::NeedsCheck(core::TimePoint aNow) const
{
  return mConfirmation == Confirmation::Pending && !mLeavingSince &&
         mChecks < mSettings.mMaxChecks &&
         aNow - mCheckedAt >= mSettings.mCheckInterval;
}

void
LocalServer::OnCheckSent(core::TimePoint aNow)
{
  ++mChecks;
  mCheckedAt = aNow;
}

ServerPhase
LocalServer::Phase(core::TimePoint aNow) const
{
  if (!mLatest) {
    return ServerPhase::Absent;
  }
  if (mLeavingSince) {
    return ServerPhase::Leaving;
  }
  return !IsUsable(aNow) ||
             aNow - mLastHeartbeatAt > mSettings.mHeartbeatLifetime
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
  return IsUsable(aNow) && aNow - *mLeavingSince < mSettings.mLeaveGracePeriod;
}

} // namespace nutmegrock::announce
