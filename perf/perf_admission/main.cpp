// Simulates one Admission in front of a server with a fixed number of slots, in
// model time: normal load, overload, normal load. Usage: perf_admission [seed].
// The figures do not depend on the machine.

#include "limits/Admission.h"

#include <cstdio>
#include <cstdlib>
#include <queue>
#include <random>

namespace nutmegrock::perf {

namespace {

using core::Importance;
using limits::QueueOrder;

constexpr double kOverloadFrom = 5;
constexpr double kOverloadTo = 15;
constexpr double kEnd = 25;
constexpr double kNormalLoad = 0.7;
/// Seconds; larger than the rounding of model time to nanoseconds.
constexpr double kTimeEpsilon = 1e-8;

struct Case
{
  const char* mName;
  std::uint32_t mSlots;
  double mSeconds;
  /// Offered load during the overload, as a multiple of the capacity.
  double mOverload;
  /// Factor on the service time during the overload.
  double mSlowdown;
  double mDeadline;
  double mMaxWait;
  /// Shares of background, low, normal, high and critical calls.
  std::array<double, core::kImportances> mShares;
};

core::TimePoint
At(double aSeconds)
{
  return core::TimePoint{} + std::chrono::duration_cast<core::Duration>(
                               std::chrono::duration<double>(aSeconds));
}

struct CompletionEvent
{
  double mAt;
  std::uint64_t mId;
  bool operator>(const CompletionEvent& aOther) const
  {
    return mAt > aOther.mAt;
  }
};

struct CallState
{
  limits::AdmissionRequest mRequest;
  double mArrived = 0;
  double mStarted = 0;
};

/// Figures of one simulation, for the overload phase unless stated otherwise.
struct Figures
{
  /// Calls that ended within their deadline, as a share of the capacity.
  double mGoodput = 0;
  double mWasted = 0;
  std::array<double, core::kImportances> mCompleted{};
  double mMeanMs = 0;
  /// Seconds after the overload until every window of 250 ms completes 95%.
  double mRecovery = 0;
};

class Simulation
{
public:
  Simulation(const Case& aCase, QueueOrder aOrder, std::uint32_t aSeed)
    : mCase(aCase)
    , mRandom(aSeed)
    , mAdmission(MakeAdmission(aCase, aOrder))
  {
  }

  Figures Run()
  {
    double arrival = 0;
    double tick = 1e9;
    while (mNow < kEnd) {
      const double end = mEnds.empty() ? 1e9 : mEnds.top().mAt;
      mNow = std::min({ arrival, end, tick });
      if (mNow == arrival) {
        Offer();
        arrival += InterarrivalTime();
      } else if (mNow == end) {
        Finish();
      } else {
        Apply(mAdmission.Tick(At(mNow)));
      }
      const core::TimePoint next = mAdmission.NextTick(At(mNow));
      tick =
        next == core::TimePoint::max()
          ? 1e9
          : std::max(
              mNow,
              std::chrono::duration<double>(next.time_since_epoch()).count() +
                kTimeEpsilon);
    }
    return Summarize();
  }

private:
  static limits::Admission MakeAdmission(const Case& aCase, QueueOrder aOrder)
  {
    limits::AdmissionSettings settings;
    settings.mLimit.mSlots = aCase.mSlots;
    settings.mQueue.mOrder = aOrder;
    return *limits::Admission::Create(settings);
  }

  bool InOverload(double aAt) const
  {
    return aAt >= kOverloadFrom && aAt < kOverloadTo;
  }

  double ServiceTime(double aAt) const
  {
    return mCase.mSeconds * (InOverload(aAt) ? mCase.mSlowdown : 1);
  }

  double InterarrivalTime()
  {
    const double load = InOverload(mNow) ? mCase.mOverload : kNormalLoad;
    const double rate = load * mCase.mSlots / ServiceTime(mNow);
    return std::exponential_distribution<double>(rate)(mRandom);
  }

  void Offer()
  {
    const std::uint64_t id = mNext++;
    double pick = mUnit(mRandom);
    std::size_t importance = 0;
    while (importance + 1 < core::kImportances &&
           pick >= mCase.mShares.at(importance)) {
      pick -= mCase.mShares.at(importance++);
    }
    CallState call;
    call.mArrived = mNow;
    call.mRequest = { id,
                      static_cast<Importance>(importance),
                      static_cast<core::Cohort>(mRandom() % core::kCohorts),
                      1,
                      At(mNow + mCase.mDeadline),
                      At(mCase.mMaxWait) - core::TimePoint{} };
    Count(mOffered, call);
    mCalls.emplace(id, call);
    Apply(mAdmission.Offer(At(mNow), call.mRequest));
  }

  void Finish()
  {
    const std::uint64_t id = mEnds.top().mId;
    mEnds.pop();
    const CallState call = mCalls.at(id);
    mCalls.erase(id);
    const double latency = mNow - call.mStarted;
    const bool good = At(mNow) <= call.mRequest.mDeadline;
    if (InOverload(mNow)) {
      (good ? mGoodTime : mWastedTime) += latency;
    }
    if (good) {
      Count(mCompleted, call);
      mLatencySum += InOverload(mNow) ? mNow - call.mArrived : 0;
      mLatencies += InOverload(mNow) ? 1 : 0;
    }
    Apply(mAdmission.Finish(
      At(mNow),
      id,
      { At(latency) - core::TimePoint{}, limits::CallOutcomeKind::Ok }));
  }

  void Apply(const limits::AdmissionResult& aResult)
  {
    for (const std::uint64_t id : aResult.mToStart) {
      CallState& call = mCalls.at(id);
      call.mStarted = mNow;
      mEnds.push({ mNow + ServiceTime(mNow) * mNoise(mRandom), id });
    }
    for (const limits::Refusal& refusal : aResult.mRefused) {
      mCalls.erase(refusal.mId);
    }
  }

  static constexpr std::size_t kBins = static_cast<std::size_t>(kEnd * 4) + 1;
  using Bins = std::array<std::array<double, kBins>, core::kImportances>;

  static void Count(Bins& aBins, const CallState& aCall)
  {
    const auto bin = static_cast<std::size_t>(aCall.mArrived * 4);
    aBins.at(static_cast<std::size_t>(aCall.mRequest.mImportance)).at(bin) += 1;
  }

  Figures Summarize() const
  {
    Figures figures;
    const double capacity = mCase.mSlots / ServiceTime(kOverloadFrom);
    double good = 0;
    for (std::size_t i = 0; i < core::kImportances; ++i) {
      double offered = 0;
      double completed = 0;
      // The first second of the overload is excluded: the level is still
      // adapting.
      for (auto bin = static_cast<std::size_t>((kOverloadFrom + 1) * 4);
           bin < static_cast<std::size_t>(kOverloadTo * 4);
           ++bin) {
        offered += mOffered.at(i).at(bin);
        completed += mCompleted.at(i).at(bin);
      }
      figures.mCompleted.at(i) = offered > 0 ? completed / offered : -1;
      good += completed;
    }
    figures.mGoodput = good / (capacity * (kOverloadTo - kOverloadFrom - 1));
    figures.mWasted = mWastedTime / std::max(1e-9, mWastedTime + mGoodTime);
    figures.mMeanMs = 1000 * mLatencySum / std::max(1.0, mLatencies);
    // The last second is excluded, as its calls may not have ended.
    for (auto bin = static_cast<std::size_t>(kOverloadTo * 4);
         bin < static_cast<std::size_t>((kEnd - 1) * 4);
         ++bin) {
      double offered = 0;
      double completed = 0;
      for (std::size_t i = 0; i < core::kImportances; ++i) {
        offered += mOffered.at(i).at(bin);
        completed += mCompleted.at(i).at(bin);
      }
      // In small bins a difference of one call is not significant.
      if (completed < 0.95 * offered - 1) {
        figures.mRecovery = static_cast<double>(bin + 1) / 4 - kOverloadTo;
      }
    }
    return figures;
  }

  const Case& mCase;
  std::mt19937_64 mRandom;
  limits::Admission mAdmission;
  std::uniform_real_distribution<double> mUnit{ 0, 1 };
  std::gamma_distribution<double> mNoise{ 2, 0.5 };
  std::priority_queue<CompletionEvent,
                      std::vector<CompletionEvent>,
                      std::greater<>>
    mEnds;
  std::unordered_map<std::uint64_t, CallState> mCalls;
  std::uint64_t mNext = 1;
  double mNow = 0;
  double mGoodTime = 0;
  double mWastedTime = 0;
  double mLatencySum = 0;
  double mLatencies = 0;
  Bins mOffered{};
  Bins mCompleted{};
};

constexpr std::array<double, 5> kMixed = { 0.2, 0.3, 0.3, 0.15, 0.05 };
constexpr std::array<double, 5> kImportant = { 0, 0.1, 0.1, 0.7, 0.1 };

std::vector<Case>
Cases()
{
  return {
    { "130 slots, 2 times the load", 130, 0.05, 2, 1, 1, 0.2, kMixed },
    { "130 slots, 10 times the load", 130, 0.05, 10, 1, 1, 0.2, kMixed },
    { "130 slots, short deadline", 130, 0.05, 3, 1, 0.2, 0.2, kMixed },
    { "130 slots, important alone 3 times",
      130,
      0.05,
      4,
      1,
      1,
      0.2,
      kImportant },
    { "130 slots, 5 times slower", 130, 0.05, 3.5, 5, 1, 0.2, kMixed },
    { "25 slots, 2 times the load", 25, 0.2, 2, 1, 2, 0.5, kMixed },
    { "25 slots, 5 times slower", 25, 0.2, 3.5, 5, 3, 0.5, kMixed },
    { "25 slots, 1.2 times the load", 25, 0.2, 1.2, 1, 2, 0.5, kMixed },
  };
}

} // namespace

} // namespace nutmegrock::perf

int
main(int aCount, char** aArguments)
{
  using namespace nutmegrock::perf;
  const auto seed = static_cast<std::uint32_t>(
    aCount > 1 ? std::strtoul(aArguments[1], nullptr, 10) : 1);
  constexpr std::array kOrders = { QueueOrder::OldestFirst,
                                   QueueOrder::NewestFirst,
                                   QueueOrder::NewestFirstUnderOverload };
  constexpr std::array kNames = { "oldest", "newest", "by load" };
  std::printf("%-36s %-8s %7s %6s  %-29s %7s %8s\n",
              "case",
              "order",
              "goodput",
              "wasted",
              "completed, background..critical",
              "mean ms",
              "recovery");
  for (const Case& aCase : Cases()) {
    for (std::size_t i = 0; i < kOrders.size(); ++i) {
      const Figures f = Simulation(aCase, kOrders.at(i), seed).Run();
      std::printf("%-36s %-8s %7.3f %6.3f ",
                  aCase.mName,
                  kNames.at(i),
                  f.mGoodput,
                  f.mWasted);
      for (const double share : f.mCompleted) {
        std::printf(" %5.2f", share);
      }
      std::printf(" %9.1f %7.2fs\n", f.mMeanMs, f.mRecovery);
    }
  }
  return 0;
}
