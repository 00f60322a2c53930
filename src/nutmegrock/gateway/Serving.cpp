#include "gateway/Serving.h"

#include "gateway/ServingCall.h"
#include "gateway/TextFields.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>
#include <vector>

namespace nutmegrock::gateway {

namespace {

/// Weight of a new run in the usual time of a route.
constexpr double kUsualWeight = 0.05;
/// Each route's cost goes with one answer in this time; answers between carry
/// the load only.
constexpr std::chrono::milliseconds kCostEvery{ 200 };
/// Loads of other services go with one answer in this time. With the most loads
/// below, at some 25 bytes each, that is 7 KB/s a node of the 10 KB/s that
/// control may take.
constexpr std::chrono::milliseconds kLoadsEvery{ 30 };
/// Loads below this need no action anywhere, and are not passed on.
constexpr double kLeastPassedLoad = 0.5;
constexpr std::size_t kMostPassedLoads = 8;
/// A run that takes longer than this multiple of its usual time, and than this
/// time, may have ended without an answer.
constexpr int kLostFactor = 4;
constexpr core::Duration kLeastLostTime = std::chrono::milliseconds{ 100 };
/// A load that the server told earlier says nothing about its slots now.
constexpr std::chrono::milliseconds kServerLoadLifetime{ 200 };

} // namespace

Serving::Serving(ServingSettings aSettings, SharedParts& aParts)
  : mSettings(std::move(aSettings))
  , mParts(aParts)
  , mServer(mSettings.mServer)
{
}

Serving::~Serving() = default;

core::Expected<bool>
Serving::Check(const PeerCall& aCall) const
{
  if (aCall.mTarget != mSettings.mSelf) {
    return core::Fail(core::ErrorKind::WrongIncarnation,
                      "the call is meant for an earlier run of this node");
  }
  if (aCall.mService != mSettings.mServer.mService) {
    return core::Fail(core::ErrorKind::WrongIncarnation,
                      "the server beside this node is of another service");
  }
  const core::TimePoint now = mParts.mNow();
  if (mStopping || (mServer.Phase(now) == announce::ServerPhase::Leaving &&
                    !mServer.MayStartWork(now))) {
    return core::Fail(core::ErrorKind::Draining,
                      "the backend server takes no new work");
  }
  if (!mServer.MayStartWork(now)) {
    return core::Fail(core::ErrorKind::NotReady,
                      "the backend server has not announced itself");
  }
  return true;
}

proxy::OutgoingRequestPtr
Serving::Start(const PeerCall& aCall,
               const proxy::RequestHead& aHead,
               std::weak_ptr<proxy::AnswerSink> aSink)
{
  const auto call = std::make_shared<ServingCall>(
    *this, mNextId++, aCall, aHead, std::move(aSink));
  mCalls.emplace(call->Id(), call);
  mParts.mCallers.OnCall(mParts.mNow(), aCall.mRoute, aCall.mCallerService);
  auto admitted = Check(aCall);
  if (admitted) {
    const core::Duration usual = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(UsualOf(aCall.mRoute).mSeconds));
    admitted = mQueue.Offer(mParts.mNow(), call->ItemFor(usual));
  }
  if (!admitted) {
    const core::Error& error = admitted.error();
    mParts.mRegistry
      .CounterOf("nutmegrock_serving_refused_total",
                 { { "reason", std::string(core::RowOf(error.mKind).mName) } })
      .Add();
    call->Refuse(error);
  } else if (*admitted) {
    call->Run();
  }
  return call;
}

void
Serving::Apply(const overload::WorkChanges& aChanges)
{
  for (const std::uint64_t id : aChanges.mExpired) {
    const auto found = mCalls.find(id);
    if (found != mCalls.end()) {
      mParts.mRegistry
        .CounterOf("nutmegrock_serving_refused_total",
                   { { "reason", "queue_timeout" } })
        .Add();
      const auto call = found->second;
      call->Expire();
    }
  }
  for (const std::uint64_t id : aChanges.mStart) {
    const auto found = mCalls.find(id);
    if (found == mCalls.end()) {
      continue;
    }
    const auto call = found->second;
    if (mServer.MayStartWork(mParts.mNow()) && !mStopping) {
      call->Run();
      continue;
    }
    Apply(mQueue.OnEnd(mParts.mNow()));
    call->Refuse(core::MakeError(core::ErrorKind::Draining,
                                 "the backend server takes no new work"));
  }
}

core::Expected<bool>
Serving::OnHeartbeat(const announce::Announcement& aAnnouncement)
{
  auto changed = mServer.OnHeartbeat(mParts.mNow(), aAnnouncement);
  if (changed) {
    mQueue.SetSlots(aAnnouncement.mSlots);
  }
  return changed;
}

bool
Serving::OnLeave(const std::string& aId, std::int64_t aStartedMs)
{
  return mServer.OnLeave(mParts.mNow(), aId, aStartedMs);
}

bool
Serving::OnHealthy(const std::string& aId, std::uint32_t aSlots)
{
  const bool changed = mServer.OnHealthy(mParts.mNow(), aId, aSlots);
  if (changed) {
    mQueue.SetSlots(aSlots);
  }
  return changed;
}

bool
Serving::IsLeaving() const
{
  return mStopping ||
         mServer.Phase(mParts.mNow()) != announce::ServerPhase::Serving;
}

void
Serving::Tick()
{
  const core::TimePoint now = mParts.mNow();
  Apply(mQueue.Tick(now));
  Apply(mQueue.SetLost(now, LostCalls(now)));
  std::vector<std::shared_ptr<ServingCall>> over;
  for (const auto& entry : mCalls) {
    if (entry.second->Deadline() <= now) {
      over.push_back(entry.second);
    }
  }
  for (const auto& call : over) {
    call->Expire();
  }
}

void
Serving::OnServerLoad(std::string_view aLoad)
{
  const auto fields = SplitText(aLoad, ',');
  const auto running = ParseNumber<std::uint32_t>(fields[0]);
  const auto waiting =
    fields.size() > 1 ? ParseNumber<std::uint32_t>(fields[1]) : std::nullopt;
  if (running && waiting) {
    mServerHolds = *running + *waiting;
    mServerHoldsAt = mParts.mNow();
  }
}

// The server's word is a hint that may be old or wrong, so only calls that have
// taken far longer than usual are taken for lost.
std::uint32_t
Serving::LostCalls(core::TimePoint aNow)
{
  if (mServerHoldsAt == core::TimePoint{} ||
      aNow - mServerHoldsAt > kServerLoadLifetime ||
      mServerHolds >= mQueue.Running()) {
    return 0;
  }
  std::uint32_t overdue = 0;
  for (const auto& [id, call] : mCalls) {
    const core::Duration usual = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(UsualOf(call->Route()).mSeconds));
    overdue +=
      call->IsRunning() &&
          call->RunTime(aNow) > std::max(kLeastLostTime, usual * kLostFactor)
        ? 1
        : 0;
  }
  return std::min(overdue, mQueue.Running() - mServerHolds);
}

Serving::Usual&
Serving::UsualOf(const std::string& aRoute)
{
  constexpr std::size_t kMostRoutes = 1024;
  if (mUsual.size() > kMostRoutes) {
    mUsual.clear();
  }
  return mUsual[aRoute];
}

void
Serving::OnRunEnded(const std::string& aRoute, core::Duration aTime, bool aGood)
{
  if (!aGood) {
    return;
  }
  Usual& usual = UsualOf(aRoute);
  const double seconds = std::chrono::duration<double>(aTime).count();
  usual.mSeconds =
    usual.mSeconds == 0
      ? seconds
      : usual.mSeconds + kUsualWeight * (seconds - usual.mSeconds);
}

void
Serving::Remove(std::uint64_t aId)
{
  mCalls.erase(aId);
}

PeerNote
Serving::NoteFor(const std::string& aRoute, bool aWithCost)
{
  const core::TimePoint now = mParts.mNow();
  PeerNote note;
  note.mLoad = mQueue.Load(now);
  note.mLeaving = IsLeaving();
  note.mRouteVersion = mParts.mRouteVersion();
  mParts.mLoads.OnServer(now,
                         mSettings.mServer.mService,
                         mSettings.mZone,
                         mSettings.mSelf,
                         note.mLoad);
  Usual& usual = UsualOf(aRoute);
  if (aWithCost || now - usual.mCostSentAt >= kCostEvery) {
    usual.mCostSentAt = now;
    note.mCost = mParts.mCosts.Compose(
      aRoute, mSettings.mServer.mService, usual.mSeconds, mParts.mGraph);
    note.mCost->mInternal =
      mParts.mCallers.IsInternal(aRoute, mParts.mServices());
  }
  if (now - mLoadsSentAt >= kLoadsEvery) {
    mLoadsSentAt = now;
    note.mLoads =
      mParts.mLoads.Reports(now, kLeastPassedLoad, kMostPassedLoads);
  }
  return note;
}

} // namespace nutmegrock::gateway
