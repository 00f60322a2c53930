#include "gateway/Serving.h"

#include "gateway/ServingCall.h"

#include <algorithm>
#include <cmath>
#include <spdlog/fmt/fmt.h>
#include <utility>
#include <vector>

namespace nutmegrock::gateway {

namespace {

/// Weight of a new run in the moving average of a route's run time.
constexpr double kRunTimeWeight = 0.05;
/// Each route's cost is sent with one response per interval; other responses
/// carry only the load.
constexpr std::chrono::milliseconds kCostInterval{ 200 };
/// Loads of other services are sent with one response per interval. With the
/// maximum number of loads below, at some 35 bytes each, that is 9 KB/s a node
/// of the 10 KB/s allowed for control traffic.
constexpr std::chrono::milliseconds kLoadsInterval{ 45 };
/// Loads below this require no action by any node and are not forwarded.
constexpr double kMinForwardedLoad = 0.5;
constexpr std::size_t kMaxForwardedLoads = 12;
constexpr std::chrono::milliseconds kDownstreamInterval{ 100 };
/// Calls per second to a service below its cutoff is reported from.
constexpr double kMinDownstreamRate = 0.5;
/// Runs that call a service from which there is no recent response.
constexpr std::uint32_t kRunsBeforeResponse = 8;
/// Minimum relative change of a server's rate limit that is logged.
constexpr double kMinLoggedRateChange = 0.1;

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
    return core::Fail(
      core::ErrorKind::WrongIncarnation,
      "the call is addressed to an earlier incarnation of this node");
  }
  if (aCall.mService != mSettings.mServer.mService) {
    return core::Fail(core::ErrorKind::WrongIncarnation,
                      "the local backend server belongs to another service");
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
  if (aCall.mCallingNode != 0) {
    mWindows.OnStart(aCall.mCallingNode);
  }
  mComponents.mCallers.OnCall(
    mComponents.mNow(), aCall.mRoute, aCall.mCallerService);
  auto admitted = Check(aCall);
  if (admitted) {
    // The queue adds how long work takes at present.
    const core::Duration typical = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(StatsOf(aCall.mRoute).mRunSeconds));
    call->SetDownstream(DownstreamOf(aCall.mRoute));
    admitted = mQueue.Offer(mComponents.mNow(), call->ItemFor(typical));
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
    Apply(mQueue.OnEnd(mComponents.mNow(), call->Downstream()));
    call->Refuse(core::MakeError(core::ErrorKind::Draining,
                                 "the backend server takes no new work"));
  }
}

core::Expected<bool>
Serving::OnHeartbeat(const announce::Announcement& aAnnouncement)
{
  const auto before = mServer.Latest();
  auto changed = mServer.OnHeartbeat(mComponents.mNow(), aAnnouncement);
  if (changed) {
    OnServerChange(before);
  }
  return changed;
}

void
Serving::OnServerChange(const std::optional<announce::Announcement>& aBefore)
{
  const auto& latest = mServer.Latest();
  if (!latest) {
    return;
  }
  // A health check does not tell when the server started.
  const bool is_known =
    aBefore && aBefore->mId == latest->mId &&
    (aBefore->mStartedMs == 0 || aBefore->mStartedMs == latest->mStartedMs);
  if (aBefore && !is_known) {
    mQueue.ClearRateLimit();
    mComponents.mLog.LogState(fmt::format(
      "event=server_replaced server={} by={}", aBefore->mId, latest->mId));
  }
  mQueue.SetSlots(latest->mSlots);
}

void
Serving::OnAnswer(const std::string& aId, core::TimePoint aSent)
{
  if (mServer.Latest() && mServer.Latest()->mId == aId) {
    mServer.OnAnswer(aSent);
  }
}

void
Serving::OnContradicted(const std::string& aId)
{
  const auto before = mServer.Latest();
  if (!before || before->mId != aId) {
    return;
  }
  mComponents.mRegistry.CounterOf("nutmegrock_server_contradicted_total").Add();
  const announce::ServerState state = mServer.State();
  const bool changed = mServer.OnContradicted(mComponents.mNow());
  if (changed || mServer.State() != state) {
    mComponents.mLog.LogState(
      fmt::format("event=server_doubted server={} cause=response", aId));
  }
  if (changed) {
    OnServerChange(before);
  }
}

bool
Serving::OnLeave(const std::string& aId, std::int64_t aStartedMs)
{
  return mServer.OnLeave(mComponents.mNow(), aId, aStartedMs);
}

bool
Serving::OnHealthy(const ServerHealth& aHealth)
{
  const core::TimePoint now = mComponents.mNow();
  const auto before = mServer.Latest();
  OnWorkTime(now, aHealth.mWorkPercent);
  if (!aHealth.mHealthy) {
    if (!mServer.OnUnhealthy(now, aHealth.mId)) {
      return false;
    }
    mComponents.mLog.LogState(
      fmt::format("event=server_doubted server={} cause=health_check",
                  before ? before->mId : ""));
    OnServerChange(before);
    return true;
  }
  const bool changed = mServer.OnHealthy(now, aHealth.mId, aHealth.mSlots);
  if (changed) {
    OnServerChange(before);
    OnServerState(aHealth.mId,
                  mServer.Latest()->mStartedMs,
                  aHealth.mRateLimit,
                  aHealth.mLeaving);
  }
  return changed;
}

void
Serving::OnServerState(const std::string& aId,
                       std::int64_t aStartedMs,
                       std::optional<double> aRateLimit,
                       bool aLeaving)
{
  const core::TimePoint now = mComponents.mNow();
  if (aLeaving && OnLeave(aId, aStartedMs)) {
    mComponents.mLog.LogState(
      fmt::format("event=server_leaving server={} cause=response", aId));
  }
  const auto& latest = mServer.Latest();
  if (!latest || latest->mId != aId || latest->mStartedMs != aStartedMs) {
    return;
  }
  const std::optional<double> before = mQueue.RateLimit();
  mQueue.OnRateLimit(now, aRateLimit);
  const std::optional<double> limit = mQueue.RateLimit();
  if (limit.has_value() != before.has_value() ||
      (limit && std::abs(*limit - *before) > kMinLoggedRateChange * *before)) {
    mComponents.mLog.LogState(
      fmt::format("event=server_rate_limit server={} per_second={}",
                  aId,
                  limit ? fmt::format("{:.1f}", *limit) : "none"));
  }
}

// Waiting calls have not run, so other nodes can still run them in time.
void
Serving::StartStopping()
{
  if (std::exchange(mStopping, true)) {
    return;
  }
  std::vector<std::shared_ptr<ServingCall>> waiting;
  for (const auto& [id, call] : mCalls) {
    if (!call->IsRunning()) {
      waiting.push_back(call);
    }
  }
  for (const auto& call : waiting) {
    call->Refuse(
      core::MakeError(core::ErrorKind::Draining, "this node is stopping"));
  }
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
  const auto before = mServer.Latest();
  if (mServer.Tick(now)) {
    OnServerChange(before);
  }
  if (mQueue.Limit() > 0) {
    mWindows.Update(mQueue.Limit(), mDirectRuns);
  }
  mQueue.SetWorkTime(mWorkTime.Factor(now));
  Apply(mQueue.Tick(now));
  LimitRuns(now);
  Apply(mQueue.SetLost(now, CountLostCalls(now)));
  EndStalledCalls(now);
  std::vector<std::shared_ptr<ServingCall>> expired;
  for (const auto& entry : mCalls) {
    if (entry.second->Deadline() <= now) {
      expired.push_back(entry.second);
    }
  }
  for (const auto& call : expired) {
    call->Expire();
  }
}

void
Serving::EndStalledCalls(core::TimePoint aNow)
{
  if (mQueue.Waiting() == 0) {
    return;
  }
  std::vector<std::shared_ptr<ServingCall>> stalled;
  for (const auto& entry : mCalls) {
    if (entry.second->IsStalled(aNow)) {
      stalled.push_back(entry.second);
    }
  }
  for (const auto& call : stalled) {
    mComponents.mRegistry
      .CounterOf("nutmegrock_calls_stalled_total",
                 { { "route", call->Route() } })
      .Add();
    call->EndStalled();
  }
}

Serving::RouteStats&
Serving::StatsOf(const std::string& aRoute)
{
  constexpr std::size_t kMaxRoutes = 1024;
  if (mRouteStats.size() > kMaxRoutes) {
    mRouteStats.clear();
  }
  return mRouteStats[aRoute];
}

void
Serving::OnRunEnded(const std::string& aRoute,
                    core::Duration aTime,
                    bool aSucceeded)
{
  if (!aSucceeded) {
    return;
  }
  RouteStats& stats = StatsOf(aRoute);
  const double seconds = std::chrono::duration<double>(aTime).count() /
                         mWorkTime.Factor(mComponents.mNow());
  stats.mRunSeconds =
    stats.mRunSeconds == 0
      ? seconds
      : stats.mRunSeconds + kRunTimeWeight * (seconds - stats.mRunSeconds);
}

void
Serving::CountWastedCalls(const std::string& aRoute, double aCalls)
{
  if (aCalls > 0) {
    mComponents.mRegistry
      .CounterOf("nutmegrock_wasted_calls_total", { { "route", aRoute } })
      .Add(static_cast<std::uint64_t>(aCalls));
  }
}

const std::string&
Serving::DownstreamOf(const std::string& aRoute)
{
  RouteStats& stats = StatsOf(aRoute);
  const core::TimePoint now = mComponents.mNow();
  if (now - stats.mDownstreamAt < kDownstreamInterval) {
    return stats.mDownstream;
  }
  stats.mDownstreamAt = now;
  const auto all_calls = mComponents.mGraph.CallsOf(aRoute);
  if (all_calls.empty() && !mComponents.mGraph.IsKnown(aRoute)) {
    return stats.mDownstream;
  }
  stats.mDownstream.clear();
  double most = 0;
  for (const overload::CallRatio& calls : all_calls) {
    if (calls.mPerRun > most) {
      most = calls.mPerRun;
      stats.mDownstream = mComponents.mServiceOf(calls.mRoute);
    }
  }
  return stats.mDownstream;
}

overload::DownstreamServices
Serving::KnownDownstream() const
{
  overload::DownstreamServices services;
  for (const auto& [route, stats] : mRouteStats) {
    if (!stats.mDownstream.empty()) {
      services.emplace(route, stats.mDownstream);
    }
  }
  return services;
}

void
Serving::RestoreDownstream(const overload::DownstreamServices& aServices)
{
  for (const auto& [route, service] : aServices) {
    RouteStats& stats = StatsOf(route);
    if (stats.mDownstream.empty() && !mComponents.mGraph.IsKnown(route)) {
      stats.mDownstream = service;
      Apply(mQueue.SetDownstreamLimit(
        mComponents.mNow(), service, kRunsBeforeResponse));
    }
  }
}

void
Serving::LimitRuns(core::TimePoint aNow)
{
  for (const std::string& service : mQueue.Downstream()) {
    mComponents.mDownstream.OnRuns(
      aNow, service, mQueue.DownstreamRunning(service));
    const auto limit = mComponents.mDownstream.LimitOf(aNow, service);
    // Until the first response tells how many runs fit, few start: those that
    // are too many would take the service's slots to the end of their time. A
    // service that does not respond at all must not take all slots, either.
    if (limit || mQueue.DownstreamRunning(service) == 0) {
      Apply(mQueue.SetDownstreamLimit(
        aNow, service, limit.value_or(kRunsBeforeResponse)));
    }
  }
}

void
Serving::Remove(std::uint64_t aId)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  const std::uint32_t calling_node = found->second->CallingNode();
  if (calling_node != 0) {
    mWindows.OnEnd(calling_node);
  }
  mCalls.erase(found);
}

PeerNote
Serving::NoteFor(const std::string& aRoute, bool aWithCost)
{
  const core::TimePoint now = mComponents.mNow();
  PeerNote note;
  note.mLoad = mQueue.Load(now);
  note.mOccupancy = mQueue.Occupancy();
  note.mCutoff = mQueue.Cutoff();
  note.mWindow = mWindows.Window();
  note.mWorkPercent = mWorkTime.Percent(now);
  for (const std::string& service : mQueue.Downstream()) {
    const double rate = mQueue.DownstreamRate(service);
    if (rate >= kMinDownstreamRate) {
      note.mDownstream.push_back(
        { service, mQueue.DownstreamCutoff(service), rate });
    }
  }
  note.mLeaving = IsLeaving();
  note.mRouteVersion = mComponents.mRouteVersion();
  mComponents.mLoads.OnServerLoad(now,
                                  { mSettings.mServer.mService,
                                    mSettings.mZone,
                                    mSettings.mSelf,
                                    note.mLoad,
                                    note.mCutoff,
                                    1,
                                    1 / mWorkTime.Factor(now) });
  RouteStats& stats = StatsOf(aRoute);
  if (aWithCost || now - stats.mCostSentAt >= kCostInterval) {
    stats.mCostSentAt = now;
    note.mCost = mComponents.mCosts.Compose(aRoute,
                                            mSettings.mServer.mService,
                                            stats.mRunSeconds,
                                            mComponents.mGraph);
    note.mCost->mInternal =
      mComponents.mCallers.IsInternal(aRoute, mComponents.mServices());
  }
  if (now - mLoadsSentAt >= kLoadsInterval) {
    mLoadsSentAt = now;
    note.mLoads =
      mComponents.mLoads.Reports(now, kMinForwardedLoad, kMaxForwardedLoads);
  }
  return note;
}

} // namespace nutmegrock::gateway
