#pragma once

#include "core/QueueingTime.h"
#include "core/Time.h"
#include "overload/RouteCosts.h"
#include "overload/ServiceLoads.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::overload {

struct ZonePlacementSettings
{
  /// Time that a request loses on the way to another zone and back. Zones are
  /// 0.9 ms apart.
  core::Duration mNetworkTime = std::chrono::microseconds{ 1'800 };
  /// Price of the bytes between zones, as time per byte that the move must
  /// save. At usual prices (0.02 for a gigabyte with both directions, 0.04 for
  /// an hour of a core) a byte costs as much as 1.8 us of a core.
  core::Duration mTimePerByte = std::chrono::microseconds{ 1 };
  /// Time that a move must save in addition before the first requests leave, so
  /// that small differences lead to no traffic.
  core::Duration mBeginTime = std::chrono::milliseconds{ 3 };
  /// Calls of other requests are moved only at this load of the most loaded
  /// service below them: their request was placed here, and each of its calls
  /// would cross zones.
  double mNestedLoad = 0.95;
  /// A flow grows only while its zone is less loaded by this much. Smaller
  /// differences are noise, with which equal zones would exchange requests.
  double mNoise = 0.04;
  /// Time constant with which a flow approaches the share that evens out the
  /// expected times.
  core::Duration mReactionTime = std::chrono::milliseconds{ 300 };
  /// Time after which a change of a flow shows in the loads. Changes made since
  /// then are taken into account, since the other nodes make them, too.
  core::Duration mReportDelay = std::chrono::milliseconds{ 500 };
  /// Time for which no flow to a zone grows after most attempts there failed.
  core::Duration mFailureTime = std::chrono::seconds{ 2 };
  /// Minimum time between two updates from the loads.
  core::Duration mUpdateInterval = std::chrono::milliseconds{ 50 };
};

/// A request, as far as its placement depends on it.
struct PlacedRequest
{
  std::string_view mRoute;
  /// Hash of the request identity.
  std::uint64_t mHash = 0;
  /// A call that a backend server makes for another request.
  bool mNested = false;
  /// Length of its body, as far as known.
  std::uint64_t mBodyBytes = 0;
};

/// A part of the requests of a route that runs in another zone, and why.
struct ZoneFlow
{
  std::string mZone;
  /// Share of the requests of the route.
  double mShare = 0;
  /// Share whose effect is contained in the loads.
  double mVisible = 0;
  /// Expected time in the own zone and in the other one, and the time as which
  /// the way there and the bytes count, in seconds.
  double mOwnTime = 0;
  double mOtherTime = 0;
  double mPrice = 0;
  /// Service with the longest waiting time.
  std::string mService = {};

  bool operator==(const ZoneFlow&) const = default;
};

/// Chooses the availability zone in which a request runs with all its calls:
/// the own one, unless requests are expected to end sooner in another one, with
/// the way there and the bytes counted as time. The part of the requests that
/// leaves evens out the expected times and returns when the own zone has room.
/// Nested calls stay in that zone, so that a request crosses zones once and not
/// with each call. Not synchronized.
class ZonePlacement
{
public:
  /// Both must outlive this object.
  ZonePlacement(const RouteCosts& aCosts,
                const ServiceLoads& aLoads,
                ZonePlacementSettings aSettings = {});

  /// The zone for a request.
  const std::string& Place(core::TimePoint aNow,
                           const PlacedRequest& aRequest,
                           const std::string& aOwnZone);
  /// Time in seconds that a request of the route has to save to leave its zone.
  double PriceOf(std::string_view aRoute, std::uint64_t aBodyBytes) const;
  /// An attempt of a request of the route at a server in the zone has ended.
  /// aBytes: heads and bodies in both directions. aFailed: no response of a
  /// server.
  void OnAttempt(core::TimePoint aNow,
                 std::string_view aRoute,
                 std::string_view aZone,
                 std::uint64_t aBytes,
                 bool aFailed);
  /// The flows of all routes to other zones with at least this share, by route.
  std::vector<std::pair<std::string_view, ZoneFlow>> Flows(
    double aMinShare) const;

private:
  struct Route
  {
    core::TimePoint mUpdatedAt;
    std::vector<ZoneFlow> mFlows;
    /// Mean of the bytes of an attempt.
    double mBytes = 0;
  };
  /// What is expected of a request of the route in one zone.
  struct ZoneState
  {
    std::string_view mZone;
    /// The service with the longest waiting time, and its capacity and load.
    std::string_view mService = {};
    double mCapacity = 0;
    double mLoad = 0;
    core::ExpectedWait mWait{ core::QueueingTime::Of(1), 0 };
    /// Waiting time for the other services, in seconds.
    double mOther = 0;

    double Time() const { return mOther + mWait.At(mLoad); }
    double LoadAt(double aTime) const { return mWait.LoadAt(aTime - mOther); }
  };
  /// Another zone, for the update of a flow.
  struct Receiver
  {
    ZoneState mState;
    ZoneFlow mFlow;
    /// Capacity that is left to the own zone if all zones that gain by sending
    /// requests there do so.
    double mCapacity = 0;
    /// Work that the present flow brings there.
    double mPresent = 0;
    bool mMayGrow = true;

    /// Requests run there, or would end there sooner by more than the price.
    bool IsOfUse() const
    {
      return mFlow.mShare > 0 ||
             mFlow.mOwnTime - mFlow.mOtherTime > mFlow.mPrice;
    }
    /// Additional work that it takes until its expected time is that; negative
    /// if it has to give some back.
    double RoomAt(double aTime, double aNoise) const;
  };

  /// Outcomes of attempts at a zone at which one has failed.
  struct ZoneHealth
  {
    /// Moving average.
    double mFailedShare = 0;
    /// When an attempt last failed while most did.
    core::TimePoint mFailedAt;
  };

  Route& RouteOf(std::string_view aRoute);
  void Update(core::TimePoint aNow,
              const RouteCost& aCost,
              std::string_view aOwnZone,
              bool aNested,
              Route& aRoute) const;
  std::vector<ZoneState> ZonesOf(const RouteCost& aCost,
                                 std::string_view aOwnZone) const;
  std::vector<ZoneState> ZoneStatesOf(core::TimePoint aNow,
                                      const RouteCost& aCost,
                                      std::string_view aOwnZone) const;
  std::vector<Receiver> ReceiversOf(core::TimePoint aNow,
                                    const std::vector<ZoneState>& aStates,
                                    const ZoneState& aOwn,
                                    const Route& aRoute) const;
  /// The expected time at which the own zone and the receivers are even.
  double EvenTime(const ZoneState& aOwn,
                  const std::vector<Receiver>& aReceivers) const;
  /// Share of the requests of a zone without servers that the receiver should
  /// get. aMoved: work that it takes in addition; aRoom: that of all receivers;
  /// aLeaving: share that leaves the zone.
  static double TargetWithoutServers(const Receiver& aReceiver,
                                     double aMoved,
                                     double aLeaving,
                                     double aRoom);
  bool HasFailed(core::TimePoint aNow, std::string_view aZone) const;

  const RouteCosts& mCosts;
  const ServiceLoads& mLoads;
  const ZonePlacementSettings mSettings;
  std::map<std::string, Route, std::less<>> mRoutes;
  std::map<std::string, ZoneHealth, std::less<>> mHealth;
};

} // namespace nutmegrock::overload
