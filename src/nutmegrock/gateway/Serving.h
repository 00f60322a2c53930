#pragma once

#include "announce/LocalServer.h"
#include "core/Incarnation.h"
#include "core/Time.h"
#include "gateway/DecisionLog.h"
#include "gateway/PeerCall.h"
#include "gateway/PeerNote.h"
#include "metrics/Registry.h"
#include "overload/CallGraph.h"
#include "overload/CallerShares.h"
#include "overload/RouteCosts.h"
#include "overload/ServiceLoads.h"
#include "overload/WorkQueue.h"
#include "proxy/ClientPool.h"
#include "proxy/MessageHead.h"
#include "proxy/Streams.h"
#include "retry/RetryShare.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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

/// What a node shares between its entry and serving halves.
struct SharedComponents
{
  std::function<core::TimePoint()> mNow;
  proxy::ClientPool& mPool;
  overload::CallGraph& mGraph;
  overload::CallerShares& mCallers;
  retry::RetryShare& mRepeats;
  overload::RouteCosts& mCosts;
  overload::ServiceLoads& mLoads;
  metrics::Registry& mRegistry;
  DecisionLog& mLog;
  /// Version of the routes in force.
  std::function<std::uint64_t()> mRouteVersion;
  /// Services that any node runs beside.
  std::function<std::size_t()> mServices;
  /// Another node, at this peer address, has a version of the routes.
  std::function<void(const core::Address&, std::uint64_t)> mOnVersionSeen;
};

/// The serving half of a node: runs requests at the backend server beside it.
/// Used on one thread.
class Serving
{
public:
  /// The parts must outlive it.
  Serving(ServingSettings aSettings, SharedComponents& aComponents);
  Serving(const Serving&) = delete;
  Serving& operator=(const Serving&) = delete;
  ~Serving();

  /// Takes a request. The sink may be called before this returns; its answers
  /// come with a PeerNote.
  proxy::OutgoingRequestPtr Start(const PeerCall& aCall,
                                  const proxy::RequestHead& aHead,
                                  std::weak_ptr<proxy::ResponseSink> aSink);

  /// A heartbeat or leave of the backend server; see LocalServer.
  core::Expected<bool> OnHeartbeat(const announce::Announcement& aAnnouncement);
  bool OnLeave(const std::string& aId, std::int64_t aStartedMs);
  /// A health check of the backend server succeeded; see LocalServer.
  bool OnHealthy(const std::string& aId, std::uint32_t aSlots);
  /// No new work from now on, since this node stops.
  void StartStopping() { mStopping = true; }
  const announce::LocalServer& Server() const { return mServer; }
  /// Whether new work is refused because the server or this node is leaving.
  bool IsLeaving() const;
  /// Ends calls whose time is over. Call it every 20 ms.
  void Tick();

  std::size_t InFlight() const { return mCalls.size(); }
  const overload::WorkQueue& Queue() const { return mQueue; }
  /// The note that goes with an answer of the route; with its cost if that was
  /// asked for, or has not been sent for a while.
  PeerNote NoteFor(const std::string& aRoute, bool aWithCost);

private:
  friend class ServingCall;

  /// Usual time of a route's run at this server.
  struct Typical
  {
    double mSeconds = 0;
    core::TimePoint mCostSentAt;
  };

  core::Expected<bool> Check(const PeerCall& aCall) const;
  void Apply(const overload::WorkChanges& aChanges);
  /// The server has told its load with an answer.
  void OnServerLoad(std::string_view aLoad);
  /// Calls that the server has ended without an answer, as its load tells.
  std::uint32_t LostCalls(core::TimePoint aNow);
  void OnRunEnded(const std::string& aRoute, core::Duration aTime, bool aGood);
  Typical& TypicalOf(const std::string& aRoute);
  void Remove(std::uint64_t aId);

  const ServingSettings mSettings;
  SharedComponents& mComponents;
  announce::LocalServer mServer;
  overload::WorkQueue mQueue;
  std::unordered_map<std::uint64_t, std::shared_ptr<ServingCall>> mCalls;
  std::map<std::string, Typical> mTypical;
  std::uint64_t mNextId = 1;
  core::TimePoint mLoadsSentAt;
  /// Calls that the server said it holds, running and waiting.
  std::uint32_t mServerHolds = 0;
  core::TimePoint mServerHoldsAt;
  bool mStopping = false;
};

} // namespace nutmegrock::gateway
