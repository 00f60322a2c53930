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
constexpr double kTypicalWeight = 0.05;
/// Each route's cost goes with one answer in this time; answers between carry
/// the load only.
constexpr std::chrono::milliseconds kCostEvery{ 200 };
/// Loads of other services go with one answer in this time. With the most loads
/// below, at some 25 bytes each, that is 7 KB/s a node of the 10 KB/s that
/// control may take.
constexpr std::chrono::milliseconds kLoadsEvery{ 30 };
/// Loads below this need no action anywhere, and are not passed on.
constexpr double kMinPassedLoad = 0.5;
constexpr std::size_t kMaxPassedLoads = 8;
/// A run that takes longer than this multiple of its usual time, and than this
/// time, may have ended without an answer.
constexpr int kLostFactor = 4;
constexpr core::Duration kMinLostTime = std::chrono::milliseconds{ 100 };
/// A load that the server told earlier says nothing about its slots now.
constexpr std::chrono::milliseconds kServerLoadLifetime{ 200 };

} // namespace

Serving::Serving(ServingSettings aSettings, SharedComponents& aComponents)
  : mSettings(std::move(aSettings))
  , mComponents(aComponents)
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
  const core::TimePoint now = mComponents.mNow();
  if (mStopping || (mServer.Phase(now) == announce::ServerPhase::Leaving &&
                    !mServer.CanStartWork(now))) {
    return core::Fail(core::ErrorKind::Draining,
                      "the backend server takes no new work");
  }
  if (!mServer.CanStartWork(now)) {
    return core::Fail(core::ErrorKind::NotReady,
                      "the backend server has not announced itself");
  }
  return true;
}

proxy::OutgoingRequestPtr
Serving::Start(const PeerCall& aCall,
               const proxy::RequestHead& aHead,
               std::weak_ptr<proxy::ResponseSink> aSink)
{
  const auto call = std::make_shared<ServingCall>(
    *this, mNextId++, aCall, aHead, std::move(aSink));
  mCalls.emplace(call->Id(), call);
  mComponents.mCallers.OnCall(
    mComponents.mNow(), aCall.mRoute, aCall.mCallerService);
  auto admitted = Check(aCall);
  if (admitted) {
    const core::Duration usual = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(TypicalOf(aCall.mRoute).mSeconds));
    admitted = mQueue.Offer(mComponents.mNow(), call->ItemFor(usual));
  }
  if (!admitted) {
    const core::Error& error = admitted.error();
    mComponents.mRegistry
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
      mComponents.mRegistry
        .CounterOf("nutmegrock_serving_refused_total",
                   { { "reason", "queue_timeout" } })
        .Add();
      const auto call = found->second;
      call->Expire();
    }
  }
  for (const std::uint64_t id : aChanges.mToStart) {
    const auto found = mCalls.find(id);
    if (found == mCalls.end()) {
      continue;
    }
    const auto call = found->second;
    if (mServer.CanStartWork(mComponents.mNow()) && !mStopping) {
      call->Run();
      continue;
    }
    Apply(mQueue.OnEnd(mComponents.mNow()));
    call->Refuse(core::MakeError(core::ErrorKind::Draining,
                                 "the backend server takes no new work"));
  }
}

core::Expected<bool>
Serving::OnHeartbeat(const announce::Announcement& aAnnouncement)
{
  auto changed = mServer.OnHeartbeat(mComponents.mNow(), aAnnouncement);
  if (changed) {
    mQueue.SetSlots(aAnnouncement.mSlots);
  }
  return changed;
}

bool
Serving::OnLeave(const std::string& aId, std::int64_t aStartedMs)
{
  return mServer.OnLeave(mComponents.mNow(), aId, aStartedMs);
}

bool
Serving::OnHealthy(const std::string& aId, std::uint32_t aSlots)
{
  const bool changed = mServer.OnHealthy(mComponents.mNow(), aId, aSlots);
  if (changed) {
    mQueue.SetSlots(aSlots);
  }
  return changed;
}

bool
Serving::IsLeaving() const
{
  return mStopping ||
         mServer.Phase(mComponents.mNow()) != announce::ServerPhase::Serving;
}

void
Serving::Tick()
{
  const core::TimePoint now = mComponents.mNow();
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
    mServerHoldsAt = mComponents.mNow();
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
      std::chrono::duration<double>(TypicalOf(call->Route()).mSeconds));
    overdue +=
      call->IsRunning() &&
          call->RunTime(aNow) > std::max(kMinLostTime, usual * kLostFactor)
        ? 1
        : 0;
  }
  return std::min(overdue, mQueue.Running() - mServerHolds);
}

Serving::Typical&
Serving::TypicalOf(const std::string& aRoute)
{
  constexpr std::size_t kMaxRoutes = 1024;
  if (mTypical.size() > kMaxRoutes) {
    mTypical.clear();
  }
  return mTypical[aRoute];
}

void
Serving::OnRunEnded(const std::string& aRoute, core::Duration aTime, bool aGood)
{
  if (!aGood) {
    return;
  }
  Typical& usual = TypicalOf(aRoute);
  const double seconds = std::chrono::duration<double>(aTime).count();
  usual.mSeconds =
    usual.mSeconds == 0
      ? seconds
      : usual.mSeconds + kTypicalWeight * (seconds - usual.mSeconds);
}

void
Serving::Remove(std::uint64_t aId)
{
  mCalls.erase(aId);
}

PeerNote
Serving::NoteFor(const std::string& aRoute, bool aWithCost)
{
  const core::TimePoint now = mComponents.mNow();
  PeerNote note;
  note.mLoad = mQueue.Load(now);
  note.mLeaving = IsLeaving();
  note.mRouteVersion = mComponents.mRouteVersion();
  mComponents.mLoads.OnServerLoad(now,
                                  mSettings.mServer.mService,
                                  mSettings.mZone,
                                  mSettings.mSelf,
                                  note.mLoad);
  Typical& usual = TypicalOf(aRoute);
  if (aWithCost || now - usual.mCostSentAt >= kCostEvery) {
    usual.mCostSentAt = now;
    note.mCost = mComponents.mCosts.Compose(
      aRoute, mSettings.mServer.mService, usual.mSeconds, mComponents.mGraph);
    note.mCost->mInternal =
      mComponents.mCallers.IsInternal(aRoute, mComponents.mServices());
  }
  if (now - mLoadsSentAt >= kLoadsEvery) {
    mLoadsSentAt = now;
    note.mLoads =
      mComponents.mLoads.Reports(now, kMinPassedLoad, kMaxPassedLoads);
  }
  return note;
}

} // namespace nutmegrock::gateway
