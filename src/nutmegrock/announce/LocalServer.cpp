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
LocalServer::HasLeft(const Announcement& aAnnouncement) const
{
  const auto departed = mDeparted.find(aAnnouncement.mId);
  return departed != mDeparted.end() &&
         aAnnouncement.mStartedMs <= departed->second;
}

bool
LocalServer::IsLate(const Announcement& aAnnouncement) const
{
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

ServerState
LocalServer::StateAfterHeartbeat(core::TimePoint aNow,
                                 const Announcement& aAnnouncement) const
{
  const bool is_old = MayHaveLeft(aNow, aAnnouncement);
  // A start that has left without telling its time is not this one.
  const bool is_next = mState == ServerState::Leaving &&
                       mLatest->mStartedMs != aAnnouncement.mStartedMs;
  if (!IsKnownRun(aAnnouncement) || is_next) {
    if (is_old) {
      return ServerState::Pending;
    }
    // The other server was in use until now; a health check decides.
    return mLatest && mLatest->mId != aAnnouncement.mId &&
               Phase(aNow) == ServerPhase::Serving
             ? ServerState::Doubted
             : ServerState::Announced;
  }
  if (mLatest->mSequence == aAnnouncement.mSequence) {
    // A repeated heartbeat tells nothing new.
    return mState;
  }
  return StateAfter(
    mState, is_old ? ServerEvent::OldHeartbeat : ServerEvent::Heartbeat);
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
  switch (mState) {
    case ServerState::Announced:
    case ServerState::Proven:
    case ServerState::Doubted:
      return true;
    case ServerState::Absent:
    case ServerState::Rejected:
    case ServerState::Leaving:
      return false;
    case ServerState::Pending:
      break;
  }
  return mChecks >= mSettings.mMaxChecks &&
         aNow - mCheckedAt >= mSettings.mCheckTimeout;
}

core::Expected<bool>
LocalServer::CheckOrigin(const Announcement& aAnnouncement) const
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
  return true;
}

core::Expected<bool>
LocalServer::OnHeartbeat(core::TimePoint aNow,
                         const Announcement& aAnnouncement)
{
  if (auto origin = CheckOrigin(aAnnouncement); !origin) {
    return origin;
  }
  const bool has_left = HasLeft(aAnnouncement);
  if (has_left || IsLate(aAnnouncement)) {
    if (!has_left) {
      OnLate(aNow, aAnnouncement);
    }
    return core::Fail(
      core::ErrorKind::VersionConflict,
      fmt::format("heartbeat {} of {} is older than what is known",
                  aAnnouncement.mSequence,
                  aAnnouncement.mId));
  }
  const ServerPhase before = Phase(aNow);
  if (mLatest && mLatest->mId != aAnnouncement.mId &&
      mState == ServerState::Proven && before == ServerPhase::Serving) {
    SetCandidate(aNow, aAnnouncement);
    return false;
  }
  const bool same_run = mLatest && mLatest->mId == aAnnouncement.mId &&
                        mLatest->mStartedMs == aAnnouncement.mStartedMs;
  const ServerState state = StateAfterHeartbeat(aNow, aAnnouncement);
  const bool is_open =
    state == ServerState::Pending || state == ServerState::Doubted;
  if (is_open && (state != mState || !IsKnownRun(aAnnouncement))) {
    RestartChecks();
  }
  Use(aNow, aAnnouncement, state);
  return !same_run || Phase(aNow) != before;
}

void
LocalServer::OnLate(core::TimePoint aNow, const Announcement& aAnnouncement)
{
  if (mLatest->mId != aAnnouncement.mId) {
    if (mState != ServerState::Proven || Phase(aNow) == ServerPhase::Absent) {
      SetCandidate(aNow, aAnnouncement);
    }
    return;
  }
  // Only a health check can tell whether the server is still there.
  const bool is_rejected = mState == ServerState::Rejected;
  if (is_rejected ||
      aNow - mLastHeartbeatAt > mSettings.mHeartbeatLifetime / 2) {
    mState = StateAfter(mState,
                        is_rejected ? ServerEvent::OldHeartbeat
                                    : ServerEvent::Contradicted);
    RestartChecks();
  }
}

void
LocalServer::SetCandidate(core::TimePoint aNow,
                          const Announcement& aAnnouncement)
{
  const bool known = mCandidate && mCandidate->mId == aAnnouncement.mId &&
                     mCandidate->mStartedMs == aAnnouncement.mStartedMs;
  if (!known) {
    mCandidateAt = aNow;
    RestartChecks();
  }
  mCandidate = aAnnouncement;
}

void
LocalServer::Use(core::TimePoint aNow,
                 const Announcement& aAnnouncement,
                 ServerState aState)
{
  mLatest = aAnnouncement;
  mLastHeartbeatAt = aNow;
  mState = aState;
  if (aAnnouncement.mDraining) {
    StartLeaving(aNow);
  }
  // Another server that was about to be replaced is not known any more.
  mCandidate.reset();
}

void
LocalServer::UseCandidate(core::TimePoint aNow, ServerState aState)
{
  const Announcement announcement = *mCandidate;
  Use(aNow, announcement, aState);
}

void
LocalServer::StartLeaving(core::TimePoint aNow)
{
  if (mState != ServerState::Leaving) {
    mLeavingSince = aNow;
    mLeftInUse = IsUsable(aNow);
    mState = StateAfter(mState, ServerEvent::Left);
  }
}

std::int64_t
LocalServer::WallClockMs(core::TimePoint aNow) const
{
  return mSettings.mNodeStartMs +
         std::chrono::duration_cast<std::chrono::milliseconds>(
           aNow - mSettings.mNodeStart)
           .count();
}

void
LocalServer::RestartChecks()
{
  mChecks = 0;
  mCheckedAt = {};
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
  if (mCandidate && HasLeft(*mCandidate)) {
    mCandidate.reset();
  }
  if (!present || mState == ServerState::Leaving) {
    return false;
  }
  StartLeaving(aNow);
  return true;
}

bool
LocalServer::OnHealthy(core::TimePoint aNow,
                       const std::string& aId,
                       std::uint32_t aSlots)
{
  const ServerPhase before = Phase(aNow);
  if (mLatest && mLatest->mId == aId) {
    mState = StateAfter(mState, ServerEvent::Identified);
    mCandidate.reset();
    mLastHeartbeatAt = aNow;
    return Phase(aNow) != before;
  }
  if (mCandidate && mCandidate->mId == aId) {
    UseCandidate(aNow, ServerState::Proven);
    return true;
  }
  if (aId.empty() || mDeparted.count(aId) > 0 ||
      mState == ServerState::Leaving) {
    return false;
  }
  if (mState == ServerState::Announced || mState == ServerState::Proven) {
    // This answer may be late; a further check decides.
    mState = StateAfter(mState, ServerEvent::Contradicted);
    RestartChecks();
    return false;
  }
  if (aSlots == 0) {
    return false;
  }
  Announcement announcement;
  announcement.mId = aId;
  announcement.mService = mSettings.mService;
  announcement.mAddress = mSettings.mAddress;
  announcement.mSlots = aSlots;
  Use(aNow, announcement, ServerState::Proven);
  return true;
}

bool
LocalServer::OnUnhealthy(core::TimePoint aNow, const std::string& aId)
{
  if (mCandidate && !aId.empty()) {
    if (mCandidate->mId == aId && !MayHaveLeft(aNow, *mCandidate)) {
      UseCandidate(aNow, ServerState::Proven);
      return true;
    }
    mCandidate.reset();
  }
  const ServerState before = mState;
  mState = StateAfter(mState, ServerEvent::Failing);
  return mState != before;
}

void
LocalServer::OnAnswer(core::TimePoint aSent)
{
  mState = StateAfter(mState, ServerEvent::Identified);
  if (mCandidate && aSent > mCandidateAt) {
    mCandidate.reset();
  }
}

bool
LocalServer::OnContradicted(core::TimePoint aNow)
{
  if (!mLatest || mState == ServerState::Leaving) {
    return false;
  }
  if (mCandidate && mCandidate->mStartedMs >= mLatest->mStartedMs &&
      !MayHaveLeft(aNow, *mCandidate)) {
    UseCandidate(aNow, ServerState::Announced);
    return true;
  }
  const ServerState before = mState;
  mState = StateAfter(mState, ServerEvent::Contradicted);
  if (mState != before || (mChecks >= mSettings.mMaxChecks &&
                           aNow - mCheckedAt >= mSettings.mCheckInterval)) {
    RestartChecks();
  }
  return false;
}

bool
LocalServer::Tick(core::TimePoint aNow)
{
  if (!mCandidate || mChecks < mSettings.mMaxChecks ||
      aNow - mCheckedAt < mSettings.mCheckInterval) {
    return false;
  }
  if (mCandidate->mStartedMs < mLatest->mStartedMs ||
      MayHaveLeft(aNow, *mCandidate)) {
    mCandidate.reset();
    return false;
  }
  UseCandidate(aNow, ServerState::Announced);
  return true;
}

bool
LocalServer::NeedsCheck(core::TimePoint aNow) const
{
  const bool is_open = mState == ServerState::Absent ||
                       mState == ServerState::Pending ||
                       mState == ServerState::Doubted || mCandidate;
  return is_open && mChecks < mSettings.mMaxChecks &&
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
  if (mState == ServerState::Leaving) {
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
  return mLeftInUse && aNow - mLeavingSince < mSettings.mLeaveGracePeriod;
}

} // namespace nutmegrock::announce
