#include "overload/FairOrder.h"

#include "overload/RequestChain.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// Parts of the order: places up to the mean cost, places of costlier requests,
/// and the rest, which is for requests in excess. The second and third are
/// wider than the margin of admission, which would let them in with the others.
constexpr double kUsualEnd = 0.65;
constexpr double kCostlyEnd = 0.8;

double
SecondsOf(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

FairOrder::FairOrder(FairOrderSettings aSettings)
  : mSettings(aSettings)
{
}

void
FairOrder::Decay(core::TimePoint aNow, Counts& aCounts) const
{
  const double passed = SecondsOf(aNow - aCounts.mAt);
  aCounts.mPresent *= std::exp(-passed / SecondsOf(mSettings.mPresentTime));
  aCounts.mUsual *= std::exp(-passed / SecondsOf(mSettings.mUsualTime));
  aCounts.mAt = aNow;
}

void
FairOrder::Count(core::TimePoint aNow, std::string_view aTenant, double aWeight)
{
  if (mSince == core::TimePoint{}) {
    mSince = aNow;
    mAll.mAt = aNow;
  }
  auto found = mTenants.find(aTenant);
  if (found == mTenants.end()) {
    if (mTenants.size() >= kMaxNames) {
      mTenants.clear();
      mAll = {};
      mAll.mAt = aNow;
      mSince = aNow;
    }
    found = mTenants.emplace(aTenant, Counts{ 0, 0, aNow }).first;
  }
  // What a tenant sends above its rate becomes usual only slowly, so that a
  // burst hardly raises what it may take, and lasting growth does.
  const double usual =
    aWeight * std::min(1.0, mSettings.mMaxLearned / Excess(aNow, aTenant));
  for (Counts* counts : { &found->second, &mAll }) {
    Decay(aNow, *counts);
    counts->mPresent += aWeight;
    counts->mUsual += usual;
  }
}

double
FairOrder::Excess(core::TimePoint aNow, std::string_view aTenant) const
{
  const auto found = mTenants.find(aTenant);
  if (found == mTenants.end() || aNow - mSince < mSettings.mLearnTime) {
    return 1;
  }
  Counts own = found->second;
  Counts all = mAll;
  Decay(aNow, own);
  Decay(aNow, all);
  // Requests in the present time at the usual rate. The sum of the usual ones
  // has not reached its full height soon after the start.
  const double usual_time = SecondsOf(mSettings.mUsualTime);
  const double present_time = SecondsOf(mSettings.mPresentTime);
  const double since = SecondsOf(aNow - mSince);
  const double scale =
    present_time / (usual_time * (1 - std::exp(-since / usual_time)));
  const double others_usual = (all.mUsual - own.mUsual) * scale;
  double others_present = std::max(0.0, all.mPresent - own.mPresent);
  others_present -= std::sqrt(others_present / 2);
  const double growth =
    others_usual > 0
      ? std::clamp(others_present / others_usual, 1.0, mSettings.mMaxGrowth)
      : mSettings.mMaxGrowth;
  // A tenant below an even share of the node's requests is never in excess.
  const double even = all.mUsual / static_cast<double>(mTenants.size());
  const double expected = std::max(own.mUsual, even) * scale * growth;
  // The variance of an exponentially decaying sum of random arrivals is half of
  // its mean.
  const double chance = mSettings.mDeviations * std::sqrt(expected / 2) + 1;
  return own.mPresent > expected + chance ? own.mPresent / expected : 1;
}

double
FairOrder::RelativeCost(const FairRequest& aRequest)
{
  if (mMeanCosts.size() >= kMaxNames) {
    mMeanCosts.clear();
  }
  const auto found =
    mMeanCosts.try_emplace(std::string(aRequest.mService), aRequest.mCost)
      .first;
  double& mean = found->second;
  mean += mSettings.mCostWeight * (aRequest.mCost - mean);
  return mean <= 0 ? 1
                   : std::clamp(aRequest.mCost / mean,
                                mSettings.mMinCost,
                                mSettings.mMaxCost);
}

// Of a tenant with an excess of seven, a seventh of the requests has a usual
// place, and so it is served as much as at its usual rate. A usual place is a
// random number times the relative cost: the share of a kind of request that is
// served up to a place is inversely proportional to its cost.
double
FairOrder::PartOf(core::TimePoint aNow, const FairRequest& aRequest)
{
  // The sum over all requests of a connection is less than two, so that it
  // takes no more than two requests alone.
  const double behind = static_cast<double>(aRequest.mAhead + 1);
  const double crowd = behind * behind;
  Count(aNow, aRequest.mTenant, 1 / crowd);
  const double random = overload::PartOf(aRequest.mHash);
  if (aRequest.mService.empty()) {
    return random;
  }
  const double cost = RelativeCost(aRequest);
  const double usual = 1 / (crowd * Excess(aNow, aRequest.mTenant));
  if (random >= usual) {
    return kCostlyEnd + (1 - kCostlyEnd) * (random - usual) / (1 - usual);
  }
  const double place = random / usual * cost;
  return place < 1 ? kUsualEnd * place
                   : kUsualEnd + (kCostlyEnd - kUsualEnd) * (place - 1) /
                                   (mSettings.mMaxCost - 1);
}

} // namespace nutmegrock::overload
