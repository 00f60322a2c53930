#include "overload/ZonePlacement.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace nutmegrock::overload {

namespace {

using Seconds = std::chrono::duration<double>;

/// Maximum number of tracked routes and zones; when exceeded, all are dropped.
constexpr std::size_t kMaxRoutes = 1024;
constexpr std::size_t kMaxZones = 64;
/// Assumed load without a fresh report: nodes do not forward lower loads.
constexpr double kUnknownLoad = 0.5;
/// Time added in a zone in which a service has no servers, as a share of the
/// time of the route there: each call crosses zones.
constexpr double kMissingShare = 0.25;
/// Share of the slots of a zone that work as one pool. Its servers are chosen
/// by what entry nodes know of their load, so some have free slots while calls
/// wait at others.
constexpr double kPooledShare = 0.5;
/// Maximum time covered by one update, after a period without requests.
constexpr double kMaxStepSeconds = 0.2;
/// Halvings of the interval in which the even time is searched.
constexpr int kSearchSteps = 24;
/// Flows below this share end.
constexpr double kMinShare = 0.005;
/// Minimum share that is taken to remain in the own zone, when the demand is
/// computed from it.
constexpr double kMinRemaining = 0.1;
/// Weight of an attempt in the mean of the bytes of its route.
constexpr double kBytesWeight = 0.05;
/// Weight of an attempt in the share of failed ones at its zone. Above the
/// maximum the zone or the link to it has failed, not one of its servers, and
/// flows to it shrink by the factor with each further failure.
constexpr double kFailureWeight = 0.1;
constexpr double kMaxFailedShare = 0.6;
constexpr double kFailureFactor = 0.7;

/// Maps a hash to [0, 1), independently of the numbers that admission and the
/// server choice derive from the same hash.
double
ToUnitInterval(std::uint64_t aHash)
{
  constexpr std::uint64_t kOdd = 0x9e3779b97f4a7c15ULL;
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^53
  std::uint64_t bits = (aHash ^ (aHash >> 29U)) * kOdd;
  bits ^= bits >> 32U;
  bits *= kOdd;
  return static_cast<double>(bits >> 11U) * kScale;
}

} // namespace

ZonePlacement::ZonePlacement(const RouteCosts& aCosts,
                             const ServiceLoads& aLoads,
                             ZonePlacementSettings aSettings)
  : mCosts(aCosts)
  , mLoads(aLoads)
  , mSettings(aSettings)
{
}

ZonePlacement::Route&
ZonePlacement::RouteOf(std::string_view aRoute)
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    if (mRoutes.size() >= kMaxRoutes) {
      mRoutes.clear();
    }
    found = mRoutes.emplace(aRoute, Route{}).first;
  }
  return found->second;
}

const std::string&
ZonePlacement::Place(core::TimePoint aNow,
                     const PlacedRequest& aRequest,
                     const std::string& aOwnZone)
{
  const RouteCost* cost = mCosts.Find(aRequest.mRoute);
  // A call of a server that makes no calls itself stays in its zone as long as
  // the choice of its server finds room there.
  const std::size_t min_services = aRequest.mNested ? 2 : 1;
  if (cost == nullptr || cost->mServices.size() < min_services) {
    return aOwnZone;
  }
  Route& route = RouteOf(aRequest.mRoute);
  if (route.mUpdatedAt == core::TimePoint{} ||
      aNow - route.mUpdatedAt >= mSettings.mUpdateInterval) {
    Update(aNow, *cost, aOwnZone, aRequest.mNested, route);
  }
  // Of the requests of a route those with large bodies stay longest.
  const double extra =
    std::max(0.0, static_cast<double>(aRequest.mBodyBytes) - route.mBytes) *
    Seconds(mSettings.mTimePerByte).count();
  double draw = ToUnitInterval(aRequest.mHash);
  for (const ZoneFlow& flow : route.mFlows) {
    if (draw < flow.mShare) {
      const bool is_worth =
        extra <= 0 || flow.mOwnTime - flow.mOtherTime >= flow.mPrice + extra;
      return is_worth ? flow.mZone : aOwnZone;
    }
    draw -= flow.mShare;
  }
  return aOwnZone;
}

double
ZonePlacement::PriceOf(std::string_view aRoute, std::uint64_t aBodyBytes) const
{
  const auto found = mRoutes.find(aRoute);
  const double bytes =
    std::max(static_cast<double>(aBodyBytes),
             found == mRoutes.end() ? 0 : found->second.mBytes);
  return Seconds(mSettings.mNetworkTime).count() +
         bytes * Seconds(mSettings.mTimePerByte).count();
}

void
ZonePlacement::OnAttempt(core::TimePoint aNow,
                         std::string_view aRoute,
                         std::string_view aZone,
                         std::uint64_t aBytes,
                         bool aFailed)
{
  if (!aFailed) {
    Route& route = RouteOf(aRoute);
    const auto bytes = static_cast<double>(aBytes);
    route.mBytes = route.mBytes == 0
                     ? bytes
                     : route.mBytes + kBytesWeight * (bytes - route.mBytes);
  }
  auto health = mHealth.find(aZone);
  if (health == mHealth.end()) {
    if (!aFailed) {
      return;
    }
    if (mHealth.size() >= kMaxZones) {
      mHealth.clear();
    }
    health = mHealth.emplace(aZone, ZoneHealth{}).first;
  }
  double& share = health->second.mFailedShare;
  share += kFailureWeight * ((aFailed ? 1 : 0) - share);
  if (!aFailed || share < kMaxFailedShare) {
    return;
  }
  health->second.mFailedAt = aNow;
  for (auto& [name, route] : mRoutes) {
    for (ZoneFlow& flow : route.mFlows) {
      if (flow.mZone == aZone) {
        flow.mShare *= kFailureFactor;
        flow.mVisible = std::min(flow.mVisible, flow.mShare);
      }
    }
  }
}

bool
ZonePlacement::HasFailed(core::TimePoint aNow, std::string_view aZone) const
{
  const auto found = mHealth.find(aZone);
  return found != mHealth.end() &&
         found->second.mFailedAt != core::TimePoint{} &&
         aNow - found->second.mFailedAt < mSettings.mFailureTime;
}

std::vector<std::pair<std::string_view, ZoneFlow>>
ZonePlacement::Flows(double aMinShare) const
{
  std::vector<std::pair<std::string_view, ZoneFlow>> flows;
  for (const auto& [name, route] : mRoutes) {
    for (const ZoneFlow& flow : route.mFlows) {
      if (flow.mShare >= aMinShare) {
        flows.emplace_back(name, flow);
      }
    }
  }
  return flows;
}

// Zones in which any service of the route has servers, the own one first.
std::vector<ZonePlacement::ZoneState>
ZonePlacement::ZonesOf(const RouteCost& aCost, std::string_view aOwnZone) const
{
  std::vector<ZoneState> states;
  states.push_back({ aOwnZone });
  for (const ServiceCost& part : aCost.mServices) {
    for (const ZoneSlots& zone : mLoads.Zones(part.mService)) {
      const bool known =
        std::any_of(states.begin(), states.end(), [&](const ZoneState& aOther) {
          return aOther.mZone == zone.mZone;
        });
      if (!known) {
        states.push_back({ zone.mZone });
      }
    }
  }
  return states;
}

std::vector<ZonePlacement::ZoneState>
ZonePlacement::ZoneStatesOf(core::TimePoint aNow,
                            const RouteCost& aCost,
                            std::string_view aOwnZone) const
{
  std::vector<ZoneState> states = ZonesOf(aCost, aOwnZone);
  // The services with their waiting times in each zone.
  struct Part
  {
    double mSlots = 0;
    double mLoad = 0;
    double mSeconds = 0;

    core::ExpectedWait Wait() const
    {
      return { core::QueueingTime::Of(mSlots * kPooledShare), mSeconds };
    }
  };
  std::vector<std::vector<Part>> parts(states.size());
  std::size_t longest = 0;
  double longest_time = -1;
  for (std::size_t i = 0; i < states.size(); ++i) {
    for (std::size_t s = 0; s < aCost.mServices.size(); ++s) {
      const ServiceCost& cost = aCost.mServices[s];
      Part part;
      part.mSlots = mLoads.Capacity(aNow, cost.mService, states[i].mZone);
      part.mLoad = mLoads.ZoneLoad(aNow, cost.mService, states[i].mZone)
                     .value_or(kUnknownLoad);
      part.mSeconds = cost.mSlotSeconds;
      const double time = part.mSlots <= 0 ? 0 : part.Wait().At(part.mLoad);
      if (time > longest_time) {
        longest_time = time;
        longest = s;
      }
      parts[i].push_back(part);
    }
  }
  for (std::size_t i = 0; i < states.size(); ++i) {
    ZoneState& state = states[i];
    for (std::size_t s = 0; s < parts[i].size(); ++s) {
      const Part& part = parts[i][s];
      if (part.mSlots <= 0) {
        state.mOther += kMissingShare * part.mSeconds;
      } else if (s != longest) {
        state.mOther += part.Wait().At(part.mLoad);
      }
      if (s == longest) {
        state.mService = aCost.mServices[s].mService;
        state.mCapacity = part.mSlots;
        state.mLoad = part.mSlots <= 0 ? 0 : part.mLoad;
        state.mWait = part.Wait();
      }
    }
  }
  return states;
}

double
ZonePlacement::Receiver::RoomAt(double aTime, double aNoise) const
{
  const double room = mState.LoadAt(aTime - mFlow.mPrice) - mState.mLoad;
  if (room < 0) {
    return std::max(room * mState.mCapacity, -mPresent);
  }
  return mMayGrow ? std::max(0.0, room - aNoise) * mCapacity : 0;
}

std::vector<ZonePlacement::Receiver>
ZonePlacement::ReceiversOf(core::TimePoint aNow,
                           const std::vector<ZoneState>& aStates,
                           const ZoneState& aOwn,
                           const Route& aRoute) const
{
  const double price = Seconds(mSettings.mNetworkTime).count() +
                       aRoute.mBytes * Seconds(mSettings.mTimePerByte).count();
  std::vector<Receiver> receivers;
  for (const ZoneState& state : aStates) {
    if (state.mZone == aOwn.mZone || state.mCapacity <= 0) {
      continue;
    }
    Receiver receiver{ state, { std::string(state.mZone) } };
    const auto old = std::find_if(
      aRoute.mFlows.begin(), aRoute.mFlows.end(), [&](const ZoneFlow& aFlow) {
        return aFlow.mZone == state.mZone;
      });
    if (old != aRoute.mFlows.end()) {
      receiver.mFlow = *old;
    }
    receiver.mFlow.mOwnTime = aOwn.Time();
    receiver.mFlow.mOtherTime = state.Time();
    receiver.mFlow.mPrice =
      price +
      (receiver.mFlow.mShare > 0 ? 0 : Seconds(mSettings.mBeginTime).count());
    receiver.mMayGrow = !HasFailed(aNow, state.mZone);
    // Other zones that gain as much by sending requests there do the same at
    // the same time.
    const double gain = aOwn.Time() - state.Time() - receiver.mFlow.mPrice;
    double senders = 1;
    for (const ZoneState& other : aStates) {
      if (gain > 0 && other.mZone != aOwn.mZone && other.mZone != state.mZone &&
          aOwn.mCapacity > 0) {
        const double others =
          other.Time() - state.Time() - receiver.mFlow.mPrice;
        senders += std::clamp(others / gain, 0.0, 1.0) * other.mCapacity /
                   aOwn.mCapacity;
      }
    }
    receiver.mCapacity = state.mCapacity / senders;
    receivers.push_back(std::move(receiver));
  }
  return receivers;
}

double
ZonePlacement::EvenTime(const ZoneState& aOwn,
                        const std::vector<Receiver>& aReceivers) const
{
  if (aOwn.mCapacity <= 0) {
    return aOwn.Time();
  }
  double low = 0;
  double high = aOwn.Time();
  for (const Receiver& receiver : aReceivers) {
    high = std::max(high, receiver.mState.Time() + receiver.mFlow.mPrice);
  }
  for (int i = 0; i < kSearchSteps; ++i) {
    const double middle = (low + high) / 2;
    double moved = aOwn.mCapacity * (aOwn.LoadAt(middle) - aOwn.mLoad);
    for (const Receiver& receiver : aReceivers) {
      moved += receiver.RoomAt(middle, mSettings.mNoise);
    }
    // At a longer time the zones hold more work than there is.
    (moved > 0 ? high : low) = middle;
  }
  return (low + high) / 2;
}

// The demand of a zone without servers is not known; all requests leave for
// where there is room.
double
ZonePlacement::TargetWithoutServers(const Receiver& aReceiver,
                                    double aMoved,
                                    double aLeaving,
                                    double aRoom)
{
  const double share = aReceiver.mFlow.mShare;
  if (aMoved > 0) {
    return share + (1 - aLeaving) * aMoved / aRoom;
  }
  return share * (1 + aMoved / aReceiver.mState.mCapacity);
}

void
ZonePlacement::Update(core::TimePoint aNow,
                      const RouteCost& aCost,
                      std::string_view aOwnZone,
                      bool aNested,
                      Route& aRoute) const
{
  const double seconds =
    std::min(kMaxStepSeconds, Seconds(aNow - aRoute.mUpdatedAt).count());
  aRoute.mUpdatedAt = aNow;
  const std::vector<ZoneState> states = ZoneStatesOf(aNow, aCost, aOwnZone);
  const ZoneState& own = states.front();
  std::vector<Receiver> receivers = ReceiversOf(aNow, states, own, aRoute);
  double leaving = 0;
  bool any = false;
  for (const Receiver& receiver : receivers) {
    leaving += receiver.mFlow.mShare;
    any = any || receiver.IsOfUse();
  }
  if (!any) {
    aRoute.mFlows.clear();
    return;
  }
  // All entry nodes of the zone move the same share of their requests.
  const double demand =
    own.mLoad * own.mCapacity / std::max(kMinRemaining, 1 - leaving);
  for (Receiver& receiver : receivers) {
    receiver.mPresent = receiver.mFlow.mVisible * demand;
    receiver.mMayGrow =
      receiver.mMayGrow &&
      (!aNested || own.mCapacity <= 0 || own.mLoad >= mSettings.mNestedLoad);
  }
  const double time = EvenTime(own, receivers);
  double room = 0;
  for (const Receiver& receiver : receivers) {
    room += std::max(0.0, receiver.RoomAt(time, mSettings.mNoise));
  }
  const double step =
    1 - std::exp(-seconds / Seconds(mSettings.mReactionTime).count());
  const double visible =
    1 - std::exp(-seconds / Seconds(mSettings.mReportDelay).count());
  std::vector<ZoneFlow> flows;
  double sum = 0;
  for (Receiver& receiver : receivers) {
    ZoneFlow& flow = receiver.mFlow;
    const double moved = receiver.RoomAt(time, mSettings.mNoise);
    flow.mVisible += visible * (flow.mShare - flow.mVisible);
    const double target =
      own.mCapacity > 0 ? flow.mVisible + moved / std::max(demand, 1e-9)
                        : TargetWithoutServers(receiver, moved, leaving, room);
    flow.mShare += step * (std::clamp(target, 0.0, 1.0) - flow.mShare);
    if (flow.mShare < kMinShare && target <= flow.mShare) {
      continue;
    }
    flow.mService = own.mService;
    sum += flow.mShare;
    flows.push_back(std::move(flow));
  }
  for (ZoneFlow& flow : flows) {
    flow.mShare /= std::max(1.0, sum);
  }
  aRoute.mFlows = std::move(flows);
}

} // namespace nutmegrock::overload
