#pragma once

#include "core/Incarnation.h"
#include "gateway/Serving.h"
#include "gateway/ZoneTraffic.h"
#include "overload/EntryAdmission.h"
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

class EntryCall;

struct EntrySettings
{
  core::Incarnation mSelf;
  /// Service of the backend server beside this node.
  std::string mService;
  std::string mZone;
  /// Port at which nodes take requests from each other; the same on all.
  std::uint16_t mPeerPort = 0;
};

/// The entry half of a node: takes requests of callers and of the backend
/// server beside it, and sends each to a serving node. Used on one thread.
class Entry
{
public:
  /// The parts must outlive it.
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

  /// Takes a request.
  std::shared_ptr<proxy::RequestSink> Handle(
    const proxy::ServerExchangePtr& aExchange);
  /// Ends requests whose time is over. Call it every 20 ms.
  void Tick();
  std::size_t InFlight() const { return mCalls.size(); }
  /// New requests are refused from now on, since this node is about to end.
  void StartRefusing() { mRefusing = true; }
  /// A new version of the routes is in force.
  void OnRoutesChanged() { mSplits.Clear(); }

private:
  friend class EntryCall;

  /// The longest time that callers of a route said they wait. A caller who says
  /// less has been refused before.
  bool IsReturned(const std::string& aRoute,
                  std::chrono::milliseconds aDeadline);
  void Remove(EntryCall* aCall);
  /// Counts an answer of a backend server.
  void CountResponse(const std::string& aRoute, unsigned aStatus);
  /// A request of the route ended with an answer of a backend server.
  void OnOutcome(const std::string& aRoute, bool aFailed);
  /// Whether failures of the route are rare, so that another attempt helps and
  /// does not add to a common cause.
  bool FailsSeldom(const std::string& aRoute) const;

  const EntrySettings mSettings;
  SharedComponents& mComponents;
  Serving& mServing;
  routes::ActiveRoutes& mRoutes;
  routing::Router& mRouter;
  overload::EntryAdmission& mAdmission;
  retry::RetryAllowance& mAllowance;
  routes::SplitPicker mSplits;
  ZoneTraffic mTraffic;
  overload::ZonePlacement mPlacement;
  bool mRefusing = false;
  std::unordered_set<std::shared_ptr<EntryCall>> mCalls;
  std::map<std::string, std::chrono::milliseconds> mMaxDeadline;
  /// Counters of answers by route and status, found once.
  std::map<std::pair<std::string, unsigned>, metrics::Counter*> mResponses;
  /// Running share of failed answers of each route.
  std::map<std::string, double> mFailedShare;
};

} // namespace nutmegrock::gateway
