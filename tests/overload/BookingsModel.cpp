#include "tests/overload/BookingsModel.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace nutmegrock::tests {

using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

constexpr double kRequestsPerSecond = 512;
constexpr double kSizeExponent = 1.2;
/// Usual work: 128 requests a second of each kind, 0.18 + 2 * 0.44 s.
constexpr double kWork = 128 * 1.06;
constexpr double kOverload = 1.14;
constexpr std::array kRoutes{ "small", "large", "heavy", "none" };
constexpr std::array kCallSeconds{ 0.18, 0.055, 0.055, 0.0 };
constexpr std::array kCalls{ 1, 8, 8, 0 };
constexpr double kPathSeconds = 0.02;
constexpr double kReportSeconds = 0.05;
constexpr std::size_t kMaxPipelined = 32;

core::Duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace

BookingsModel::BookingsModel(unsigned aSeed, bool aFair)
  : mRandom(aSeed)
  , mFair(aFair)
{
  double sum = 0;
  for (std::size_t i = 0; i < kTenants; ++i) {
    mRates.push_back(std::pow(static_cast<double>(i + 1), -kSizeExponent));
    sum += mRates.back();
  }
  for (double& rate : mRates) {
    rate *= kRequestsPerSecond / sum;
  }
  for (EntryNode& node : mEntryNodes) {
    node.mLoads.SetOpenRank(1);
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      std::vector<ServiceCost> costs{ { "front", 0.5 } };
      if (kCalls.at(kind) > 0) {
        costs.push_back(
          { "bookings", kCallSeconds.at(kind) * kCalls.at(kind) });
      }
      node.mCosts.Learn(kRoutes.at(kind), { costs, true, false });
    }
  }
  const double slots = kWork / kOverload / kServers;
  for (WorkQueue& server : mServers) {
    server.SetSlots(static_cast<std::uint32_t>(
      std::ceil(slots / WorkQueueSettings().mSlotShare)));
  }
}

void
BookingsModel::After(double aSeconds, std::function<void()> aAction)
{
  mEvents.push(
    { mNow + ToDuration(aSeconds), mEventCount++, std::move(aAction) });
}

void
BookingsModel::Run(core::Duration aTime, double aFactor)
{
  const bool first = mFactor == 0;
  if (aFactor != mFactor) {
    mFactor = aFactor;
    for (std::size_t i = 0; i < kTenants; ++i) {
      ++mEpochs.at(i);
      Arrive(i);
    }
  }
  if (first) {
    Tick();
  }
  const core::TimePoint end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mAt < end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mAction();
  }
  mNow = end;
}

void
BookingsModel::SetExcess(std::size_t aTenant, double aFactor)
{
  mRates.at(aTenant) *= aFactor;
  ++mEpochs.at(aTenant);
  Arrive(aTenant);
}

void
BookingsModel::Arrive(std::size_t aTenant)
{
  const double rate = mRates.at(aTenant) * mFactor;
  const int epoch = mEpochs.at(aTenant);
  After(std::exponential_distribution<double>(rate)(mRandom),
        [this, aTenant, epoch] {
          if (epoch != mEpochs.at(aTenant)) {
            return;
          }
          const std::size_t kind = mRandom() % kKinds;
          const int round = mRound;
          ++mTenants.at(aTenant).mAsked;
          ++mKinds.at(kind).mAsked;
          Enter(mRandom() % kNodes,
                aTenant,
                kind,
                0,
                [this, aTenant, kind, round](bool aServed) {
                  if (aServed && round == mRound) {
                    ++mTenants.at(aTenant).mServed;
                    ++mKinds.at(kind).mServed;
                  }
                });
          Arrive(aTenant);
        });
}

void
BookingsModel::Pipeline(std::size_t aTenant, int aRequests)
{
  mPipelineLeft = aRequests;
  const std::size_t node = mRandom() % kNodes;
  for (std::size_t i = 0; i < kMaxPipelined; ++i) {
    SendPipelined(aTenant, node);
  }
}

void
BookingsModel::SendPipelined(std::size_t aTenant, std::size_t aNode)
{
  if (mPipelineLeft == 0) {
    return;
  }
  --mPipelineLeft;
  ++mPipeline.mAsked;
  const std::size_t ahead = mPipelineOpen++;
  Enter(aNode, aTenant, 0, ahead, [this, aTenant, aNode](bool aServed) {
    --mPipelineOpen;
    mPipeline.mServed += aServed ? 1 : 0;
    After(0.001, [this, aTenant, aNode] { SendPipelined(aTenant, aNode); });
  });
}

void
BookingsModel::Enter(std::size_t aNode,
                     std::size_t aTenant,
                     std::size_t aKind,
                     std::size_t aAhead,
                     std::function<void(bool)> aDone)
{
  EntryNode& node = mEntryNodes.at(aNode);
  const std::string tenant = std::to_string(aTenant);
  EntryRequest request;
  request.mRoute = kRoutes.at(aKind);
  request.mLatencyObjective = milliseconds(1500);
  request.mHash = mRandom();
  request.mZone = "a";
  if (mFair) {
    const ScarceService scarce =
      node.mAdmission.FindScarce(request.mRoute, request.mZone);
    request.mRank = node.mOrder.PartOf(
      mNow, { tenant, request.mHash, aAhead, scarce.mName, scarce.mCost });
  }
  const EntryDecision decision = node.mAdmission.Decide(request);
  if (!decision.mAdmitted) {
    aDone(false);
    return;
  }
  if (kCalls.at(aKind) == 0) {
    aDone(true);
    return;
  }
  const auto admitted = std::make_shared<Request>();
  admitted->mTenant = aTenant;
  admitted->mKind = aKind;
  admitted->mRank = decision.mRank;
  admitted->mDeadline = mNow + milliseconds(2500);
  admitted->mCallsLeft = kCalls.at(aKind);
  admitted->mDone = std::move(aDone);
  After(kPathSeconds, [this, admitted] { Call(admitted, admitted->mRank); });
}

void
BookingsModel::Call(const RequestPtr& aRequest, double aRank)
{
  const std::size_t server = mRandom() % kServers;
  const std::uint64_t id = mNextId++;
  const auto started =
    mServers.at(server).Offer(mNow,
                              { id,
                                aRank,
                                aRequest->mRank,
                                aRequest->mDeadline,
                                ToDuration(kCallSeconds.at(aRequest->mKind)),
                                "" });
  if (!started) {
    aRequest->mDone(false);
    return;
  }
  mCalls.emplace(id, aRequest);
  if (*started) {
    Start(server, id);
  }
}

void
BookingsModel::Start(std::size_t aServer, std::uint64_t aId)
{
  const RequestPtr request = mCalls.at(aId);
  const double mean = kCallSeconds.at(request->mKind);
  const double seconds =
    std::uniform_real_distribution<double>(0.5 * mean, 1.5 * mean)(mRandom);
  After(seconds, [this, aServer, aId, request] {
    mCalls.erase(aId);
    Apply(aServer, mServers.at(aServer).OnEnd(mNow));
    Report(aServer);
    if (--request->mCallsLeft == 0) {
      request->mDone(true);
      return;
    }
    // Calls after the first take the priority alone.
    After(kPathSeconds,
          [this, request] { Call(request, std::floor(request->mRank)); });
  });
}

void
BookingsModel::Apply(std::size_t aServer, const WorkChanges& aChanges)
{
  for (const std::uint64_t id : aChanges.mToStart) {
    Start(aServer, id);
  }
  for (const std::uint64_t id : aChanges.mExpired) {
    const auto found = mCalls.find(id);
    if (found != mCalls.end()) {
      const RequestPtr request = found->second;
      mCalls.erase(found);
      request->mDone(false);
    }
  }
}

void
BookingsModel::Report(std::size_t aServer)
{
  const WorkQueue& queue = mServers.at(aServer);
  const double load = queue.Load(mNow);
  const double cutoff = queue.Cutoff();
  // One entry node receives each response.
  const std::size_t node = mRandom() % kNodes;
  After(kReportSeconds, [this, aServer, node, load, cutoff] {
    mEntryNodes.at(node).mLoads.OnServerLoad(
      mNow,
      { "bookings", "a", core::Incarnation{ aServer + 1 }, load, cutoff });
  });
}

void
BookingsModel::Tick()
{
  for (std::size_t i = 0; i < kServers; ++i) {
    const WorkChanges changes = mServers.at(i).Tick(mNow);
    if (!changes.mExpired.empty()) {
      Report(i);
    }
    Apply(i, changes);
  }
  for (EntryNode& node : mEntryNodes) {
    node.mAdmission.Tick(mNow);
  }
  After(0.02, [this] { Tick(); });
}

void
BookingsModel::Clear()
{
  ++mRound;
  mTenants = {};
  mKinds = {};
  mPipeline = {};
}

BookingsModel::Counts
BookingsModel::AllBut(std::size_t aTenant) const
{
  Counts sum;
  for (std::size_t i = 0; i < kTenants; ++i) {
    if (i != aTenant) {
      sum.mAsked += mTenants.at(i).mAsked;
      sum.mServed += mTenants.at(i).mServed;
    }
  }
  return sum;
}

double
BookingsModel::WorstTenth() const
{
  std::vector<double> ratios;
  for (const Counts& counts : mTenants) {
    ratios.push_back(counts.Ratio());
  }
  std::sort(ratios.begin(), ratios.end());
  constexpr std::size_t kTenth = kTenants / 10;
  return std::accumulate(ratios.begin(), ratios.begin() + kTenth, 0.0) / kTenth;
}

} // namespace nutmegrock::tests
