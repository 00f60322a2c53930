#pragma once

#include "announce/LocalServer.h"
#include "core/Incarnation.h"
#include "core/Time.h"
#include "gateway/DecisionLog.h"
#include "gateway/PeerCall.h"
#include "gateway/PeerNote.h"
#include "gateway/ServerProbe.h"
#include "metrics/Registry.h"
#include "overload/CallGraph.h"
#include "overload/CallerShares.h"
#include "overload/CallerWindows.h"
#include "overload/DownstreamLimits.h"
#include "overload/RouteCosts.h"
#include "overload/RunTracker.h"
#include "overload/SavedCosts.h"
#include "overload/ServiceLoads.h"
#include "overload/WorkQueue.h"
#include "overload/WorkTime.h"
#include "proxy/BufferBudget.h"
#include "proxy/ClientPool.h"
#include "proxy/MessageHead.h"
#include "proxy/Streams.h"
#include "retry/RetryShare.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace nutmegrock::gateway {

class ServingCall;

struct ServingSettings
{
  core::Incarnation mSelf;
  announce::LocalServerSettings mServer;
  /// Availability zone of this node.
  std::string mZone;
};

/// Components shared by the entry and serving halves of a node.
struct SharedComponents
{
  std::function<core::TimePoint()> mNow;
  proxy::ClientPool& mPool;
  overload::CallGraph& mGraph;
  overload::RunTracker& mRuns;
  overload::DownstreamLimits& mDownstream;
  overload::CallerShares& mCallers;
  retry::RetryShare& mRetryShares;
  overload::RouteCosts& mCosts;
  overload::ServiceLoads& mLoads;
  metrics::Registry& mRegistry;
  DecisionLog& mLog;
  /// Version of the routes in force.
  std::function<std::uint64_t()> mRouteVersion;
  /// Service of a route in force; empty if unknown. Of several the one with the
  /// highest weight.
  std::function<std::string(const std::string& aRoute)> mServiceOf;
  /// Number of services that have a node.
  std::function<std::size_t()> mServices;
  /// Reports that another node, at this peer address, has a version of the
  /// routes.
  std::function<void(const core::Address&, std::uint64_t)> mOnVersionSeen;
  /// Memory of requests in transit; null for no limit.
  const proxy::BufferBudget* mBuffers = nullptr;
};

/// Serving half of a node: runs requests at the local backend server. Used on
/// one thread.
class Serving
{
public:
  /// The components must outlive it.
  Serving(ServingSettings aSettings, SharedComponents& aComponents);
  Serving(const Serving&) = delete;
  Serving& operator=(const Serving&) = delete;
  ~Serving();

  /// Accepts a request. The sink may be called before this returns; its
  /// responses carry a PeerNote.
  proxy::OutgoingRequestPtr Start(const PeerCall& aCall,
                                  const proxy::RequestHead& aHead,
                                  std::weak_ptr<proxy::ResponseSink> aSink);

  /// Handle a heartbeat or leave of the backend server; see LocalServer.
  core::Expected<bool> OnHeartbeat(const announce::Announcement& aAnnouncement);
  bool OnLeave(const std::string& aId, std::int64_t aStartedMs);
  /// A health check of the backend server has ended; see LocalServer.
  bool OnHealthy(const ServerHealth& aHealth);
  /// See announce::LocalServer.
  void SetLeaveGracePeriod(core::Duration aPeriod)
  {
    mServer.SetLeaveGracePeriod(aPeriod);
  }
  void OnCheckSent(core::TimePoint aNow) { mServer.OnCheckSent(aNow); }
  /// Services that runs of the local backend server call, as far as known.
  overload::DownstreamServices KnownDownstream() const;
  /// The same as another node or an earlier process has learned it. Used until
  /// this node knows the calls of a route itself.
  void RestoreDownstream(const overload::DownstreamServices& aServices);
  /// Refuses new and waiting work from now on, because this node stops.
  void StartStopping();
  const announce::LocalServer& Server() const { return mServer; }
  /// Returns true if new work is refused because the server is absent or
  /// leaving, or because this node is stopping.
  bool IsLeaving() const;
  /// Ends calls whose deadline has passed. Call it every 20 ms.
  void Tick();

  std::size_t InFlight() const { return mCalls.size(); }
  const overload::WorkQueue& Queue() const { return mQueue; }
  /// How long work takes at the local backend server.
  const overload::WorkTime& ServerWorkTime() const { return mWorkTime; }
  /// Returns the note for a response of the route. It includes the cost if
  /// aWithCost is set or the cost has not been sent recently.
  PeerNote NoteFor(const std::string& aRoute, bool aWithCost);

private:
  friend class ServingCall;

  /// Statistics of a route at this server.
  struct RouteStats
  {
    /// At the usual speed; see overload::WorkTime.
    double mRunSeconds = 0;
    core::TimePoint mCostSentAt;
    std::string mDownstream;
    core::TimePoint mDownstreamAt;
  };

  core::Expected<bool> Check(const PeerCall& aCall) const;
  void Apply(const overload::WorkChanges& aChanges);
  /// The local backend server may have been replaced by another.
  void OnServerChange(const std::optional<announce::Announcement>& aBefore);
  /// The server with that id has answered a request that was sent at a time.
  void OnAnswer(const std::string& aId, core::TimePoint aSent);
  /// A request for the server with that id has reached another server.
  void OnContradicted(const std::string& aId);
  /// The server has reported its load with a response.
  void OnServerLoad(std::string_view aLoad);
  /// The server has reported how long its work takes.
  void OnWorkTime(core::TimePoint aNow,
                  const std::optional<std::uint32_t>& aPercent);
  /// Typical time of a run of the route at present.
  core::Duration TypicalTime(core::TimePoint aNow, const std::string& aRoute);
  /// A response of the run of the server with that id and start reports whether
  /// it limits its rate or leaves. Ignored for a run that has been replaced.
  void OnServerState(const std::string& aId,
                     std::int64_t aStartedMs,
                     std::optional<double> aRateLimit,
                     bool aLeaving);
  /// Number of calls that the server has ended without a response, according to
  /// its load.
  std::uint32_t CountLostCalls(core::TimePoint aNow);
  void OnRunEnded(const std::string& aRoute,
                  core::Duration aTime,
                  bool aSucceeded);
  RouteStats& StatsOf(const std::string& aRoute);
  /// Service that runs of the route call; empty if none, or not known yet. Of
  /// several the one that is called most. Updated every 100 ms.
  const std::string& DownstreamOf(const std::string& aRoute);
  /// A run failed after it had made calls.
  void CountWastedCalls(const std::string& aRoute, double aCalls);
  /// Ends running calls whose callers do not send their bodies or read their
  /// responses while others wait for a slot.
  void EndStalledCalls(core::TimePoint aNow);
  /// Updates the limits of runs that call other services.
  void LimitRuns(core::TimePoint aNow);
  void Remove(std::uint64_t aId);

  const ServingSettings mSettings;
  SharedComponents& mComponents;
  announce::LocalServer mServer;
  overload::WorkQueue mQueue;
  std::unordered_map<std::uint64_t, std::shared_ptr<ServingCall>> mCalls;
  std::map<std::string, RouteStats> mRouteStats;
  overload::CallerWindows mWindows;
  /// Running requests of callers.
  std::uint32_t mDirectRuns = 0;
  std::uint64_t mNextId = 1;
  core::TimePoint mLoadsSentAt;
  /// Number of running and waiting calls that the server last reported.
  std::uint32_t mServerCalls = 0;
  core::TimePoint mServerLoadAt;
  overload::WorkTime mWorkTime;
  bool mStopping = false;
};

} // namespace nutmegrock::gateway
