#include "experiment/IdealCapacity.h"

#include <algorithm>
#include <limits>
#include <set>

namespace nutmegrock::experiment {

namespace {

// A service with fewer free slots is saturated; the rest is rounding error.
constexpr double kMinFreeSlots = 1e-9;

} // namespace

IdealCapacity::IdealCapacity(DeploymentSpec aSpec,
                             std::map<std::string, double> aSlowdowns)
  : mSpec(std::move(aSpec))
  , mSlowdowns(std::move(aSlowdowns))
{
}

double
IdealCapacity::AddCall(const std::string& aService,
                       const std::vector<std::vector<PlannedCall>>& aSteps,
                       std::map<std::string, double>& aSeconds) const
{
  const ServiceSpec* service = mSpec.Find(aService);
  const auto slowdown = mSlowdowns.find(aService);
  double time = service == nullptr ? 0.0 : service->mMeanSeconds;
  time *= slowdown == mSlowdowns.end() ? 1.0 : slowdown->second;
  for (const auto& step : aSteps) {
    double longest = 0.0;
    for (const PlannedCall& call : step) {
      longest =
        std::max(longest, AddCall(call.mService, call.mSteps, aSeconds));
    }
    time += longest;
  }
  aSeconds[aService] += time;
  return time;
}

std::map<std::string, double>
IdealCapacity::SlotSeconds(const RequestKind& aKind) const
{
  std::map<std::string, double> seconds;
  AddCall(aKind.mService, aKind.mPlan.mSteps, seconds);
  return seconds;
}

double
IdealCapacity::Capacity() const
{
  std::map<std::string, double> needed;
  for (const RequestKind& kind : mSpec.mKinds) {
    for (const auto& [service, seconds] : SlotSeconds(kind)) {
      needed[service] += kind.mShare * seconds;
    }
  }
  double capacity = std::numeric_limits<double>::infinity();
  for (const ServiceSpec& service : mSpec.mServices) {
    const double seconds = needed[service.mName];
    if (seconds > 0.0) {
      const auto slots = static_cast<double>(service.mServers * service.mSlots);
      capacity = std::min(capacity, slots / seconds);
    }
  }
  return capacity;
}

void
IdealCapacity::AllocateRank(int aRank,
                            double aOffered,
                            std::map<std::string, double>& aFreeSlots,
                            std::vector<double>& aCompleted) const
{
  std::vector<std::size_t> unsaturated;
  for (std::size_t i = 0; i < mSpec.mKinds.size(); ++i) {
    if (mSpec.mKinds[i].mRank == aRank) {
      unsaturated.push_back(i);
    }
  }
  double share = 0.0;
  while (!unsaturated.empty() && share < 1.0) {
    std::map<std::string, double> needed;
    for (const std::size_t i : unsaturated) {
      for (const auto& [service, seconds] : SlotSeconds(mSpec.mKinds[i])) {
        needed[service] += aOffered * mSpec.mKinds[i].mShare * seconds;
      }
    }
    double step = 1.0 - share;
    for (const auto& [service, seconds] : needed) {
      step = std::min(step, aFreeSlots[service] / seconds);
    }
    for (const std::size_t i : unsaturated) {
      aCompleted[i] += step * aOffered * mSpec.mKinds[i].mShare;
    }
    for (const auto& [service, seconds] : needed) {
      aFreeSlots[service] = std::max(0.0, aFreeSlots[service] - step * seconds);
    }
    share += step;
    std::erase_if(unsaturated, [&](std::size_t aKind) {
      const auto seconds = SlotSeconds(mSpec.mKinds[aKind]);
      return std::any_of(seconds.begin(), seconds.end(), [&](const auto& aUse) {
        return aFreeSlots[aUse.first] < kMinFreeSlots;
      });
    });
  }
}

std::vector<double>
IdealCapacity::Completed(double aOffered) const
{
  std::map<std::string, double> free_slots;
  for (const ServiceSpec& service : mSpec.mServices) {
    free_slots[service.mName] =
      static_cast<double>(service.mServers * service.mSlots);
  }
  std::vector<double> completed(mSpec.mKinds.size(), 0.0);
  std::set<int, std::greater<>> ranks;
  for (const RequestKind& kind : mSpec.mKinds) {
    ranks.insert(kind.mRank);
  }
  for (const int rank : ranks) {
    AllocateRank(rank, aOffered, free_slots, completed);
  }
  return completed;
}

double
IdealCapacity::Goodput(double aOffered) const
{
  double sum = 0.0;
  for (const double completed : Completed(aOffered)) {
    sum += completed;
  }
  return sum;
}

} // namespace nutmegrock::experiment
