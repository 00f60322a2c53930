#include "announce/LocalServer.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::announce {

namespace {

/// Identities that have left and are remembered. A server that starts again
/// under a known identity has a later start, so forgetting the oldest is safe.
constexpr std::size_t kMaxLeft = 64;

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
LocalServer::IsOlder(const Announcement& aAnnouncement) const
{
  const auto left = mLeft.find(aAnnouncement.mId);
  if (left != mLeft.end() && aAnnouncement.mStartedMs <= left->second) {
    return true;
  }
  if (!mLatest) {
    return false;
  }
  if (aAnnouncement.mStartedMs != mLatest->mStartedMs) {
    return aAnnouncement.mStartedMs < mLatest->mStartedMs;
  }
  // A heartbeat whose acknowledgement was lost comes again with its number.
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
  if (IsOlder(aAnnouncement)) {
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
  mLatest = aAnnouncement;
  mHeardAt = aNow;
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
  const auto found = mLeft.find(aId);
  if (found == mLeft.end()) {
    if (mLeft.size() >= kMaxLeft) {
      mLeft.erase(mLeft.begin());
    }
    mLeft.emplace(aId, started);
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
  if (mLatest || aId.empty() || aSlots == 0 || mLeft.count(aId) > 0) {
    return false;
  }
  Announcement seen;
  seen.mId = aId;
  seen.mService = mSettings.mService;
  seen.mAddress = mSettings.mAddress;
  seen.mSlots = aSlots;
  mLatest = std::move(seen);
  mHeardAt = aNow;
  return true;
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
  return aNow - mHeardAt > mSettings.mHeartbeatLifetime ? ServerPhase::Absent
                                                        : ServerPhase::Serving;
}

bool
LocalServer::MayStartWork(core::TimePoint aNow) const
{
  switch (Phase(aNow)) {
    case ServerPhase::Absent:
      return false;
    case ServerPhase::Serving:
      return true;
    case ServerPhase::Leaving:
      break;
  }
  return aNow - *mLeavingSince < mSettings.mLeaveSlack;
}

} // namespace nutmegrock::announce
