#pragma once

#include "core/Incarnation.h"
#include "gateway/Serving.h"
#include "gateway/ZoneFlowLog.h"
#include "gateway/ZoneTraffic.h"
#include "overload/EntryAdmission.h"
#include "overload/FairOrder.h"
#include "overload/PriorityOrder.h"
#include "overload/ZonePlacement.h"
#include "proxy/ServerExchange.h"
#include "retry/RetryAllowance.h"
#include "routes/ActiveRoutes.h"
#include "routes/SplitPicker.h"
#include "routing/Router.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

namespace nutmegrock::gateway {

class AllowanceExchange;
class EntryCall;

/// The order of the priorities of tenants and routes. Tenants without a
/// priority, and requests without a tenant, have the most important one.
overload::PriorityOrder
PriorityOrderOf(const routes::RouteSet& aRoutes);

struct EntrySettings
{
  core::Incarnation mSelf;
  /// Service of the local backend server.
  std::string mService;
  std::string mZone;
  /// Port on which nodes accept requests from each other; the same on all
  /// nodes.
  std::uint16_t mPeerPort = 0;
};

/// Entry half of a node: accepts requests of callers and of the local backend
/// server, and sends each to a serving node. Used on one thread.
class Entry
{
public:
  /// The components must outlive it.
  Entry(EntrySettings aSettings,
        SharedComponents& aComponents,
        Serving& aServing,
        routes::ActiveRoutes& aRoutes,
        routing::Router& aRouter,
        overload::EntryAdmission& aAdmission,
        retry::RetryAllowance& aAllowance);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;
  ~Entry();

  /// Limits the requests of tenants; without it they are unlimited. It must
  /// outlive this object.
  void SetAllowances(AllowanceExchange* aAllowances)
  {
    mTenantAllowances = aAllowances;
  }
  /// Accepts a request.
  std::shared_ptr<proxy::RequestSink> Handle(
    const proxy::ServerExchangePtr& aExchange);
  /// Ends requests whose deadline has passed. Call it every 20 ms.
  void Tick();
  std::size_t InFlight() const { return mCalls.size(); }
  /// Refuses new requests from now on, because this node is about to exit.
  void StartRefusing() { mRefusing = true; }
  /// Ends all requests with a response of this node, because it exits now.
  void EndAll();
  /// A new version of the routes is in force.
  void OnRoutesChanged() { mSplitPicker.Clear(); }

private:
  friend class EntryCall;

  void Remove(EntryCall* aCall);
  /// The order of priorities in these routes; the last one is kept.
  const overload::PriorityOrder& OrderOf(const routes::RouteSet& aRoutes);
  /// Counts a response of a backend server.
  void CountResponse(const std::string& aRoute, unsigned aStatus);
  /// A request of the route ended with a response of a backend server.
  void OnOutcome(const std::string& aRoute, bool aFailed);
  /// Returns true if failures of the route are rare, so that a retry is likely
  /// to help and does not amplify a common cause.
  bool IsFailureRare(const std::string& aRoute) const;

  const EntrySettings mSettings;
  /// See PeerCall::mCallingNode.
  const std::uint32_t mCallingNode;
  SharedComponents& mComponents;
  Serving& mServing;
  routes::ActiveRoutes& mRoutes;
  routing::Router& mRouter;
  overload::EntryAdmission& mAdmission;
  retry::RetryAllowance& mAllowance;
  AllowanceExchange* mTenantAllowances = nullptr;
  routes::SplitPicker mSplitPicker;
  ZoneTraffic mZoneTraffic;
  overload::ZonePlacement mPlacement;
  overload::FairOrder mFairOrder;
  overload::PriorityOrder mOrder;
  /// Version of the routes that mOrder is for.
  std::uint64_t mOrderVersion = 0;
  ZoneFlowLog mZoneFlowLog;
  bool mRefusing = false;
  std::unordered_set<std::shared_ptr<EntryCall>> mCalls;
  /// Response counters by route and status, cached.
  std::map<std::pair<std::string, unsigned>, metrics::Counter*>
    mResponseCounters;
  /// Moving average of the failure rate of each route.
  std::map<std::string, double> mFailureRate;
};

} // namespace nutmegrock::gateway
