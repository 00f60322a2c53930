#include "tests/quota/AllowanceModel.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::tests {

namespace {

using std::chrono::milliseconds;

/// Usual requests per second of all tenants, and the exponent of their sizes.
constexpr double kUsualRate = 2050;
constexpr double kExponent = 1.2;
/// The allowance as a multiple of the usual rate.
constexpr double kAllowance = 1.6;
constexpr std::chrono::seconds kWindow{ 5 };

std::string
NameOf(std::size_t aTenant)
{
  return "tenant-" + std::to_string(aTenant);
}

} // namespace

AllowanceModel::AllowanceModel(unsigned aSeed,
                               std::size_t aNodes,
                               std::size_t aTenants)
  : mRandom(aSeed)
  , mNodes(aNodes)
  , mTenants(aTenants)
  , mDemandVersion(aTenants)
{
  double sum = 0;
  for (std::size_t i = 0; i < aTenants; ++i) {
    sum += std::pow(static_cast<double>(i + 1), -kExponent);
  }
  for (std::size_t i = 0; i < aTenants; ++i) {
    TenantUse& tenant = mTenants[i];
    tenant.mDemand =
      kUsualRate * std::pow(static_cast<double>(i + 1), -kExponent) / sum;
    tenant.mRate = kAllowance * tenant.mDemand;
    tenant.mBurst = tenant.mRate;
  }
  for (std::size_t i = 0; i < aNodes; ++i) {
    Start(i);
    Tell(i, true, 100, 2'500);
  }
  // The system is idle at first.
  Run(milliseconds(15'000));
  for (std::size_t i = 0; i < aTenants; ++i) {
    SetDemand(i, mTenants[i].mDemand);
  }
}

std::chrono::microseconds
AllowanceModel::Between(double aFromMs, double aToMs)
{
  std::uniform_real_distribution<double> time(aFromMs, aToMs);
  return std::chrono::microseconds(std::llround(time(mRandom) * 1000));
}

void
AllowanceModel::At(core::Duration aDelay, Event aEvent)
{
  mEvents.push({ mNow + aDelay, mNextEvent++, std::move(aEvent) });
}

void
AllowanceModel::Run(milliseconds aTime)
{
  const core::TimePoint until = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mAt <= until) {
    const Entry entry = mEvents.top();
    mEvents.pop();
    mNow = entry.mAt;
    entry.mEvent();
  }
  mNow = until;
}

void
AllowanceModel::SetDemand(std::size_t aTenant, double aDemand)
{
  mTenants[aTenant].mDemand = aDemand;
  ++mDemandVersion[aTenant];
  ScheduleRequest(aTenant);
}

std::vector<quota::TenantLimit>
AllowanceModel::Limits() const
{
  std::vector<quota::TenantLimit> limits;
  for (std::size_t i = 0; i < mTenants.size(); ++i) {
    limits.push_back({ NameOf(i), mTenants[i].mRate, mTenants[i].mBurst });
  }
  return limits;
}

void
AllowanceModel::SetLimit(std::size_t aTenant, double aRate, double aBurst)
{
  mTenants[aTenant].mRate = aRate;
  mTenants[aTenant].mBurst = aBurst;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    At(Between(100, 2'400), [this, i, limits = Limits()] {
      mNodes[i].mOwner->SetLimits(mNow, limits);
      mNodes[i].mClient->SetLimits(mNow, limits);
    });
  }
}

void
AllowanceModel::ScheduleRequest(std::size_t aTenant)
{
  std::exponential_distribution<double> gap(mTenants[aTenant].mDemand);
  const std::uint64_t version = mDemandVersion[aTenant];
  At(std::chrono::nanoseconds(std::llround(gap(mRandom) * 1e9)),
     [this, aTenant, version] {
       if (version == mDemandVersion[aTenant]) {
         SendRequest(aTenant);
         ScheduleRequest(aTenant);
       }
     });
}

void
AllowanceModel::SendRequest(std::size_t aTenant)
{
  std::size_t i = 0;
  do {
    i = mRandom() % mNodes.size();
  } while (!mNodes[i].mRuns);
  TenantUse& tenant = mTenants[aTenant];
  ++mRequests;
  if (!tenant.mIdeal) {
    tenant.mIdeal.emplace(
      mNow - std::chrono::seconds(2), tenant.mRate, tenant.mBurst);
  }
  if (tenant.mIdeal->Take(mNow, 1) == 0) {
    tenant.mRefusedByIdeal.push_back(mNow);
  }
  const bool connected = mNodes[i].mConnected;
  if (connected) {
    tenant.mAskedConnected.push_back(mNow);
  }
  mNodes[i].mClient->Take(
    mNow,
    NameOf(aTenant),
    [this, aTenant, connected](const quota::AllowanceDecision& aDecision) {
      TenantUse& use = mTenants[aTenant];
      if (aDecision.mGranted) {
        use.mExecuted.push_back(mNow);
        return;
      }
      if (connected) {
        use.mRefusedConnected.push_back(mNow);
      }
    });
  ScheduleFlush(i);
}

void
AllowanceModel::Start(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mIncarnation = { core::HashOf(std::to_string(mNextIncarnation++)) };
  node.mJoinedMs =
    std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch()).count();
  node.mRuns = true;
  node.mConnected = true;
  node.mOwner =
    std::make_unique<quota::AllowanceOwner>(mNow, node.mIncarnation);
  node.mClient =
    std::make_unique<quota::AllowanceClient>(node.mIncarnation, mRandom());
  node.mOwner->SetLimits(mNow, Limits());
  node.mClient->SetLimits(mNow, Limits());
  node.mView = { { node.mIncarnation, node.mJoinedMs } };
  UpdateView(aNode);
  ScheduleTick(aNode, node.mIncarnation);
}

void
AllowanceModel::UpdateView(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  if (!node.mRuns) {
    return;
  }
  quota::OwnerView view;
  for (const auto& [incarnation, joined] : node.mView) {
    view.mCandidates.push_back({ incarnation, joined });
  }
  view.mAlive = view.mCandidates.size();
  const bool joined = view.mAlive > 1;
  node.mClient->OnView(mNow, view, joined);
  node.mOwner->OnView(mNow, node.mClient->Owners(), joined);
}

void
AllowanceModel::Tell(std::size_t aNode,
                     bool aPresent,
                     double aFromMs,
                     double aToMs)
{
  const core::Incarnation incarnation = mNodes[aNode].mIncarnation;
  const std::int64_t joined = mNodes[aNode].mJoinedMs;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (i == aNode) {
      continue;
    }
    At(Between(aFromMs, aToMs), [=, this] {
      const Node& about = mNodes[aNode];
      const bool is_current = about.mIncarnation != incarnation ||
                              aPresent == (about.mRuns && about.mConnected);
      if (!mNodes[i].mRuns || !mNodes[i].mConnected || !is_current) {
        return;
      }
      if (aPresent) {
        mNodes[i].mView[incarnation] = joined;
      } else {
        mNodes[i].mView.erase(incarnation);
      }
      UpdateView(i);
    });
  }
}

void
AllowanceModel::Kill(std::size_t aNode)
{
  mNodes[aNode].mRuns = false;
  Tell(aNode, false, 9'000, 13'000);
}

void
AllowanceModel::Leave(std::size_t aNode)
{
  mNodes[aNode].mOwner->StartLeaving();
  At(milliseconds(1'000), [this, aNode] { mNodes[aNode].mRuns = false; });
  const core::Incarnation incarnation = mNodes[aNode].mIncarnation;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    At(Between(100, 2'500), [this, i, incarnation] {
      mNodes[i].mView.erase(incarnation);
      UpdateView(i);
    });
  }
}

void
AllowanceModel::Restart(std::size_t aNode)
{
  const core::Incarnation former = mNodes[aNode].mIncarnation;
  Start(aNode);
  Tell(aNode, true, 100, 2'500);
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    At(Between(100, 2'500), [this, i, former] {
      mNodes[i].mView.erase(former);
      mNodes[i].mOwner->Forget(former);
      UpdateView(i);
    });
  }
  // The node that was asked first sends its table.
  At(Between(50, 150), [this, aNode] {
    for (const Node& other : mNodes) {
      if (other.mRuns && other.mConnected) {
        mNodes[aNode].mView[other.mIncarnation] = other.mJoinedMs;
      }
    }
    UpdateView(aNode);
  });
}

void
AllowanceModel::CutOff(std::size_t aNode)
{
  mNodes[aNode].mConnected = false;
  Tell(aNode, false, 9'000, 13'000);
}

void
AllowanceModel::Reconnect(std::size_t aNode)
{
  mNodes[aNode].mConnected = true;
  Tell(aNode, true, 100, 2'500);
}

std::size_t
AllowanceModel::OwnerOf(std::size_t aTenant) const
{
  for (const Node& node : mNodes) {
    if (node.mRuns && node.mConnected) {
      const auto owner = node.mClient->Owners().OwnerOf(NameOf(aTenant));
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        if (mNodes[i].mIncarnation == owner) {
          return i;
        }
      }
    }
  }
  return 0;
}

void
AllowanceModel::ScheduleTick(std::size_t aNode, core::Incarnation aIncarnation)
{
  At(milliseconds(20), [this, aNode, aIncarnation] {
    if (mNodes[aNode].mRuns && mNodes[aNode].mIncarnation == aIncarnation) {
      mNodes[aNode].mClient->Tick(mNow);
      SendCedeRequests(aNode);
      ScheduleFlush(aNode);
      ScheduleTick(aNode, aIncarnation);
    }
  });
}

// An event loop iteration under load.
void
AllowanceModel::ScheduleFlush(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  if (node.mClient->HasAsks() && !node.mFlushDue) {
    node.mFlushDue = true;
    At(Between(0.01, 0.2), [this, aNode] {
      mNodes[aNode].mFlushDue = false;
      Flush(aNode);
    });
  }
}

void
AllowanceModel::Flush(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  for (const quota::AllowanceAsk& ask : node.mClient->NextAsks(mNow)) {
    if (ask.mOwner == node.mIncarnation) {
      node.mClient->OnResponse(
        mNow,
        ask.mId,
        node.mOwner->Take(mNow, node.mIncarnation, ask.mRequest));
    } else {
      Send(aNode, ask);
    }
  }
}

void
AllowanceModel::Send(std::size_t aNode, const quota::AllowanceAsk& aAsk)
{
  const core::Incarnation from = mNodes[aNode].mIncarnation;
  const auto is_up = [this](std::size_t aIndex, core::Incarnation aWho) {
    return mNodes[aIndex].mIncarnation == aWho && mNodes[aIndex].mRuns;
  };
  At(quota::AllowanceClient::kResponseTimeout, [=, this] {
    if (is_up(aNode, from)) {
      mNodes[aNode].mClient->OnFailure(mNow, aAsk.mId);
      ScheduleFlush(aNode);
    }
  });
  ++mMessages;
  mContacts += aAsk.mRequest.mItems.empty() ? 2 : 0;
  if (!mNodes[aNode].mConnected) {
    return;
  }
  At(Between(0.2, 1.2), [=, this] {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (!is_up(i, aAsk.mOwner) || !mNodes[i].mConnected) {
        continue;
      }
      for (const core::Incarnation member : aAsk.mRequest.mLeaving) {
        mNodes[i].mClient->AddLeaving(member);
      }
      if (!aAsk.mRequest.mLeaving.empty()) {
        mNodes[i].mOwner->OnView(mNow, mNodes[i].mClient->Owners(), true);
      }
      const auto response = mNodes[i].mOwner->Take(mNow, from, aAsk.mRequest);
      ++mMessages;
      At(Between(0.2, 1.2), [=, this] {
        if (is_up(aNode, from) && mNodes[aNode].mConnected) {
          mNodes[aNode].mClient->OnResponse(mNow, aAsk.mId, response);
          ScheduleFlush(aNode);
        }
      });
    }
  });
}

std::size_t
AllowanceModel::IndexOf(core::Incarnation aNode) const
{
  const auto found =
    std::find_if(mNodes.begin(), mNodes.end(), [aNode](const Node& aOther) {
      return aOther.mIncarnation == aNode && aOther.mRuns && aOther.mConnected;
    });
  return static_cast<std::size_t>(found - mNodes.begin());
}

void
AllowanceModel::SendCedeRequests(std::size_t aNode)
{
  const core::Incarnation from = mNodes[aNode].mIncarnation;
  for (const core::Incarnation to :
       mNodes[aNode].mOwner->NextCedeRequests(mNow)) {
    ++mMessages;
    if (!mNodes[aNode].mConnected) {
      continue;
    }
    At(Between(0.2, 1.2),
       [=, this, owners = mNodes[aNode].mClient->Owners().Owners()] {
         const std::size_t target = IndexOf(to);
         if (target == mNodes.size()) {
           return;
         }
         mNodes[target].mOwner->Cede(mNow, from, owners);
         ++mMessages;
         At(Between(0.2, 1.2), [=, this] {
           const std::size_t self = IndexOf(from);
           if (self < mNodes.size()) {
             mNodes[self].mOwner->OnCeded(mNow, to);
           }
         });
       });
  }
}

double
AllowanceModel::WorstUse(std::size_t aTenant, core::TimePoint aFrom) const
{
  constexpr double kExcess = 1.1;
  constexpr double kSlack = 20;
  const TenantUse& tenant = mTenants[aTenant];
  const double bound = (tenant.mRate * 5 + tenant.mBurst) * kExcess + kSlack;
  std::size_t begin = 0;
  double worst = 0;
  for (std::size_t end = 0; end < tenant.mExecuted.size(); ++end) {
    while (tenant.mExecuted[begin] + kWindow < tenant.mExecuted[end] ||
           tenant.mExecuted[begin] < aFrom) {
      if (begin == end) {
        break;
      }
      ++begin;
    }
    worst = std::max(worst, static_cast<double>(end - begin + 1) / bound);
  }
  return worst;
}

double
AllowanceModel::RefusedShare(std::size_t aTenant,
                             core::TimePoint aFrom,
                             core::TimePoint aTo) const
{
  const auto count = [&](const std::vector<core::TimePoint>& aTimes) {
    return static_cast<double>(
      std::count_if(aTimes.begin(), aTimes.end(), [&](core::TimePoint aTime) {
        return aTime >= aFrom && aTime < aTo;
      }));
  };
  const TenantUse& tenant = mTenants[aTenant];
  return (count(tenant.mRefusedConnected) - count(tenant.mRefusedByIdeal)) /
         std::max(1.0, count(tenant.mAskedConnected));
}

} // namespace nutmegrock::tests
