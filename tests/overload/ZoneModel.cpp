#include "tests/overload/ZoneModel.h"

#include "gateway/RouterDefaults.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <string_view>
#include <utility>

namespace nutmegrock::tests {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr milliseconds kTick{ 20 };
constexpr std::chrono::microseconds kOwnZoneTime{ 100 };
constexpr std::chrono::microseconds kOtherZoneTime{ 900 };
constexpr milliseconds kReportLag{ 500 };
constexpr milliseconds kLoadsInterval{ 45 };
constexpr milliseconds kDeadline{ 1'000 };
constexpr milliseconds kBin{ 250 };
constexpr std::size_t kMaxAttempts = 3;
constexpr int kServers = 3;
constexpr std::uint32_t kStockSlots = 10;
constexpr std::uint32_t kDispatchSlots = 20;
/// See WorkQueueSettings::mSlotShare.
constexpr double kStockCapacity = 0.95 * kServers * kStockSlots;

core::Duration
DurationOf(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(Seconds(aSeconds));
}

} // namespace

const std::vector<ZoneModel::Route>&
ZoneModel::Routes()
{
  static const std::vector<Route> sRoutes = {
    { "lookup", "stock", 0.020, 4'000, 0, 0.5, 0.020 },
    { "check", "dispatch", 0.040, 4'000, 2, 0.35, 0.030 },
    { "download", "stock", 0.030, 400'000, 0, 0.15, 0.030 },
  };
  return sRoutes;
}

const ZoneModel::Route&
ZoneModel::NestedRoute()
{
  static const Route sRoute = { "reserve", "stock", 0.015, 2'000, 0, 0, 0.015 };
  return sRoute;
}

std::string
ZoneModel::NameOf(std::size_t aZone)
{
  return "zone-" + std::to_string(aZone);
}

ZoneModel::ZoneModel(unsigned aSeed, std::size_t aZones, Demand aDemand)
  : mRandom(aSeed)
  , mZones(aZones)
  , mDemand(std::move(aDemand))
{
  mCosts.Learn("lookup", { { { "stock", 0.020 } }, true, false });
  mCosts.Learn("download", { { { "stock", 0.030 } }, true, false });
  mCosts.Learn("reserve", { { { "stock", 0.015 } }, true, true });
  mCosts.Learn("check",
               { { { "dispatch", 0.075 }, { "stock", 0.030 } }, true, false });
  for (std::size_t zone = 0; zone < mZones; ++zone) {
    for (int i = 0; i < kServers; ++i) {
      AddNode(zone, "stock", kStockSlots);
      AddNode(zone, "dispatch", kDispatchSlots);
    }
  }
  for (const auto& node : mNodes) {
    for (const char* service : { "stock", "dispatch" }) {
      std::vector<routing::Candidate> candidates;
      std::vector<overload::ZoneSlots> slots;
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        if (mNodes[i]->mService == service) {
          const std::uint32_t number =
            std::string_view(service) == "stock" ? kStockSlots : kDispatchSlots;
          candidates.push_back({ core::Incarnation{ i + 1 },
                                 { "10.0.0.1", 1 },
                                 NameOf(mNodes[i]->mZone),
                                 number,
                                 routing::CandidateState::Serving,
                                 mNow - std::chrono::hours(1) });
        }
      }
      for (std::size_t zone = 0; zone < mZones; ++zone) {
        slots.push_back({ NameOf(zone),
                          kServers * (std::string_view(service) == "stock"
                                        ? kStockSlots
                                        : kDispatchSlots) });
      }
      node->mRouter->Update(mNow, service, candidates);
      node->mLoads.SetZones(service, slots);
    }
  }
}

void
ZoneModel::AddNode(std::size_t aZone,
                   const char* aService,
                   std::uint32_t aSlots)
{
  auto node = std::make_unique<Node>();
  node->mZone = aZone;
  node->mService = aService;
  node->mQueue.SetSlots(aSlots);
  node->mRouter =
    std::move(*routing::Router::Create(gateway::RouterDefaults()));
  node->mPlacement =
    std::make_unique<overload::ZonePlacement>(mCosts, node->mLoads);
  mNodes.push_back(std::move(node));
}

void
ZoneModel::At(core::TimePoint aAt, std::function<void()> aAction)
{
  mEvents.push({ aAt, mNextEvent++, std::move(aAction) });
}

ZoneModel::Result
ZoneModel::Run(core::Duration aTime)
{
  mCountFrom = mNow;
  mTimesMs.clear();
  mLost = 0;
  mBytes = 0;
  mAll = mDownloads = mNested = {};
  const core::TimePoint end = mNow + aTime;
  mBy.assign(mZones,
             std::vector<Counts>(static_cast<std::size_t>(aTime / kBin) + 1));
  for (std::size_t zone = 0; zone < mZones; ++zone) {
    for (const Route& route : Routes()) {
      Arrive(zone, route, end);
    }
  }
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    for (; mTickAt <= event.mAt; mTickAt += kTick) {
      mNow = mTickAt;
      for (const auto& node : mNodes) {
        Apply(node->mQueue.Tick(mNow));
      }
    }
    mNow = event.mAt;
    event.mAction();
  }
  mNow = end;
  const auto share = [](const Counts& aCounts) {
    return aCounts.mAsked == 0 ? 0
                               : static_cast<double>(aCounts.mLeft) /
                                   static_cast<double>(aCounts.mAsked);
  };
  Result result;
  std::sort(mTimesMs.begin(), mTimesMs.end());
  REQUIRE(!mTimesMs.empty());
  const auto count = static_cast<double>(mTimesMs.size());
  result.mServed = count / (count + static_cast<double>(mLost));
  result.mMeanMs =
    std::accumulate(mTimesMs.begin(), mTimesMs.end(), 0.0) / count;
  result.mP99Ms = mTimesMs[static_cast<std::size_t>(count * 0.99)];
  result.mBytes = static_cast<double>(mBytes) / Seconds(aTime).count();
  result.mLeft = share(mAll);
  result.mDownloadsLeft = share(mDownloads);
  result.mNestedLeft = share(mNested);
  for (const auto& zone : mBy) {
    result.mLeftBy.emplace_back();
    for (const Counts& counts : zone) {
      result.mLeftBy.back().push_back(share(counts));
    }
  }
  return result;
}

void
ZoneModel::Arrive(std::size_t aZone, const Route& aRoute, core::TimePoint aEnd)
{
  // Arrivals at the highest rate, of which the present part is used.
  constexpr double kMaxDemand = 2.5;
  const double rate =
    kMaxDemand * kStockCapacity * aRoute.mShare / aRoute.mStockSeconds;
  std::exponential_distribution<double> gap(rate);
  const core::TimePoint next = mNow + DurationOf(gap(mRandom));
  if (next >= aEnd) {
    return;
  }
  At(next, [this, aZone, &aRoute, aEnd] {
    const double demand = mDemand(aZone, Seconds(mNow - mBegin).count());
    std::uniform_real_distribution<double> part(0, kMaxDemand);
    if (part(mRandom) < demand) {
      std::size_t node = mRandom() % mNodes.size();
      while (mNodes[node]->mZone != aZone) {
        node = mRandom() % mNodes.size();
      }
      Enter(aRoute,
            node,
            false,
            mNow + kDeadline,
            [this, arrived = mNow](bool aServed) {
              if (arrived < mCountFrom) {
                return;
              }
              if (aServed) {
                mTimesMs.push_back(Seconds(mNow - arrived).count() * 1000);
              } else {
                ++mLost;
              }
            });
    }
    Arrive(aZone, aRoute, aEnd);
  });
}

void
ZoneModel::Enter(const Route& aRoute,
                 std::size_t aNode,
                 bool aNested,
                 core::TimePoint aDeadline,
                 std::function<void(bool)> aDone)
{
  const std::uint64_t id = mNextCall++;
  Node& node = *mNodes[aNode];
  Call call;
  call.mRoute = &aRoute;
  call.mEntry = aNode;
  call.mArrived = mNow;
  call.mDeadline = aDeadline;
  call.mHash = mRandom();
  const std::string own = NameOf(node.mZone);
  call.mZone =
    node.mPlacement->Place(mNow, { aRoute.mName, call.mHash, aNested, 0 }, own);
  call.mDone = std::move(aDone);
  mCalls.emplace(id, std::move(call));
  Send(id);
  const bool left = mNodes[mCalls.at(id).mServer]->mZone != node.mZone;
  const auto count = [left](Counts& aCounts) {
    ++aCounts.mAsked;
    aCounts.mLeft += left ? 1 : 0;
  };
  if (aNested) {
    count(mNested);
    return;
  }
  count(mAll);
  if (aRoute.mBytes > 100'000) {
    count(mDownloads);
  }
  count(mBy[node.mZone][static_cast<std::size_t>((mNow - mCountFrom) / kBin)]);
}

core::Duration
ZoneModel::WayTo(const Call& aCall) const
{
  return mNodes[aCall.mEntry]->mZone == mNodes[aCall.mServer]->mZone
           ? kOwnZoneTime
           : kOtherZoneTime;
}

void
ZoneModel::Send(std::uint64_t aId)
{
  Call& call = mCalls.at(aId);
  Node& node = *mNodes[call.mEntry];
  const auto choice =
    node.mRouter->Choose(mNow,
                         call.mRoute->mService,
                         call.mHash,
                         call.mZone,
                         call.mTried,
                         node.mPlacement->PriceOf(call.mRoute->mName, 0));
  REQUIRE(choice.has_value());
  call.mServer = choice->mIncarnation.mBits - 1;
  call.mTried.push_back(choice->mIncarnation);
  call.mSentAt = mNow;
  node.mRouter->OnStart(
    mNow, choice->mIncarnation, DurationOf(call.mRoute->mSeconds));
  if (mNodes[call.mServer]->mZone != node.mZone) {
    mBytes += call.mRoute->mBytes;
  }
  At(mNow + WayTo(call), [this, aId] { OnArrival(aId); });
}

void
ZoneModel::OnArrival(std::uint64_t aId)
{
  const Call& call = mCalls.at(aId);
  Node& server = *mNodes[call.mServer];
  overload::WorkItem item;
  item.mId = aId;
  item.mDeadline = call.mDeadline;
  item.mTypicalTime = DurationOf(call.mRoute->mSeconds);
  const auto admitted = server.mQueue.Offer(mNow, item);
  if (!admitted) {
    End(aId, routing::AttemptOutcome::Refused);
  } else if (*admitted) {
    Start(aId);
  }
}

void
ZoneModel::Start(std::uint64_t aId)
{
  Call& call = mCalls.at(aId);
  call.mStartedAt = mNow;
  std::exponential_distribution<double> work(1 / call.mRoute->mSeconds);
  At(mNow + DurationOf(work(mRandom)),
     [this, aId, calls = call.mRoute->mNestedCalls] { RunNested(aId, calls); });
}

void
ZoneModel::RunNested(std::uint64_t aId, int aLeft)
{
  if (aLeft == 0) {
    End(aId, routing::AttemptOutcome::Ok);
    return;
  }
  const Call& call = mCalls.at(aId);
  Enter(NestedRoute(),
        call.mServer,
        true,
        call.mDeadline,
        [this, aId, aLeft](bool aServed) {
          if (aServed) {
            RunNested(aId, aLeft - 1);
          } else {
            End(aId, routing::AttemptOutcome::Failed);
          }
        });
}

// Loads that the node of the server knows, and its own.
void
ZoneModel::Report(std::size_t aServer, std::size_t aTo)
{
  Node& server = *mNodes[aServer];
  const overload::ServerReport own{ server.mService,
                                    {},
                                    { aServer + 1 },
                                    server.mQueue.Load(mNow),
                                    server.mQueue.Cutoff() };
  std::vector<overload::LoadReport> reports;
  if (mNow - server.mLoadsSentAt >= kLoadsInterval) {
    server.mLoadsSentAt = mNow;
    reports = server.mLoads.Reports(mNow, 0.5, 12);
  }
  At(mNow + kReportLag,
     [this, aServer, aTo, own, reports = std::move(reports)] {
       const std::string zone = NameOf(mNodes[aServer]->mZone);
       overload::ServerReport report = own;
       report.mZone = zone;
       mNodes[aTo]->mLoads.OnServerLoad(mNow, report);
       mNodes[aServer]->mLoads.OnServerLoad(mNow, report);
       for (const overload::LoadReport& load : reports) {
         mNodes[aTo]->mLoads.OnReport(mNow, load);
       }
     });
}

void
ZoneModel::End(std::uint64_t aId, routing::AttemptOutcome aOutcome)
{
  const Call& call = mCalls.at(aId);
  Node& server = *mNodes[call.mServer];
  const bool refused = aOutcome == routing::AttemptOutcome::Refused;
  overload::WorkChanges changes;
  if (!refused) {
    changes = server.mQueue.OnEnd(mNow);
  }
  core::CallFeedback feedback;
  feedback.mLoadPermille =
    static_cast<std::uint32_t>(server.mQueue.Load(mNow) * 1000);
  feedback.mOccupancyPermille =
    static_cast<std::uint32_t>(server.mQueue.Occupancy() * 1000);
  Report(call.mServer, call.mEntry);
  At(mNow + WayTo(call), [this, aId, aOutcome, refused, feedback] {
    Call& ended = mCalls.at(aId);
    Node& entry = *mNodes[ended.mEntry];
    entry.mRouter->OnEnd(mNow,
                         ended.mTried.back(),
                         aOutcome,
                         mNow - ended.mSentAt,
                         &feedback,
                         refused ? core::Duration(0)
                                 : ended.mStartedAt - ended.mSentAt);
    entry.mPlacement->OnAttempt(mNow,
                                ended.mRoute->mName,
                                NameOf(mNodes[ended.mServer]->mZone),
                                ended.mRoute->mBytes,
                                false);
    if (refused && ended.mTried.size() < kMaxAttempts &&
        mNow < ended.mDeadline) {
      Send(aId);
      return;
    }
    const auto done = std::move(ended.mDone);
    const bool served =
      aOutcome == routing::AttemptOutcome::Ok && mNow <= ended.mDeadline;
    mCalls.erase(aId);
    done(served);
  });
  Apply(changes);
}

void
ZoneModel::Apply(const overload::WorkChanges& aChanges)
{
  for (const std::uint64_t id : aChanges.mExpired) {
    End(id, routing::AttemptOutcome::Refused);
  }
  for (const std::uint64_t id : aChanges.mToStart) {
    Start(id);
  }
}

} // namespace nutmegrock::tests
