#include "perf/perf_limits/Rules.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::perf {

namespace {

using limits::CallOutcome;
using limits::CallOutcomeKind;

constexpr double kColdStartShare = 0.5;
/// Number of calls before the minimum latency is tracked: the first calls to
/// end are the short ones.
constexpr std::uint32_t kWarmUp = 1000;

double
SecondsOf(const CallOutcome& aOutcome)
{
  return std::chrono::duration<double>(aOutcome.mLatency).count();
}

/// Base of the rules that keep the limit between 1 and the number of slots.
class BoundedRule : public Rule
{
public:
  explicit BoundedRule(std::uint32_t aSlots)
    : mSlots(aSlots)
    , mLimit(std::max(1.0, aSlots * kColdStartShare))
  {
  }
  std::uint32_t Limit() const override
  {
    return static_cast<std::uint32_t>(std::lround(mLimit));
  }

protected:
  void SetLimit(double aLimit)
  {
    mLimit = std::clamp(aLimit, 1.0, static_cast<double>(mSlots));
  }
  double CurrentLimit() const { return mLimit; }

private:
  std::uint32_t mSlots;
  double mLimit;
};

/// Uses the reported number of slots as a fixed limit.
class FixedLimit : public BoundedRule
{
public:
  explicit FixedLimit(std::uint32_t aSlots)
    : BoundedRule(aSlots)
  {
    SetLimit(aSlots);
  }
  void OnFinish(core::TimePoint,
                std::uint32_t,
                std::uint32_t,
                const CallOutcome&) override
  {
  }
};

/// AIMD: additive increase per round trip; multiplicative decrease on refusals
/// and on latencies above twice the minimum seen.
class Aimd : public BoundedRule
{
public:
  using BoundedRule::BoundedRule;
  void OnFinish(core::TimePoint aNow,
                std::uint32_t,
                std::uint32_t,
                const CallOutcome& aOutcome) override
  {
    const double seconds = SecondsOf(aOutcome);
    const bool shed = aOutcome.mKind == CallOutcomeKind::Shed;
    if (!shed) {
      mAverageLatency = mAverageLatency <= 0
                          ? seconds
                          : mAverageLatency + (seconds - mAverageLatency) / 100;
      mMinLatency = ++mCalls < kWarmUp ? mAverageLatency
                                       : std::min(mMinLatency, mAverageLatency);
    }
    if (shed || mAverageLatency > 2 * mMinLatency) {
      if (aNow >= mNextDecrease) {
        SetLimit(CurrentLimit() * 0.9);
        mNextDecrease =
          aNow + std::chrono::duration_cast<core::Duration>(
                   std::chrono::duration<double>(mAverageLatency));
      }
    } else {
      SetLimit(CurrentLimit() + 1 / CurrentLimit());
    }
  }

private:
  double mAverageLatency = 0;
  std::uint32_t mCalls = 0;
  double mMinLatency = 1e9;
  core::TimePoint mNextDecrease;
};

/// Latency gradient: the limit follows the ratio of long-term to recent
/// latency, plus the square root of the limit as permitted queue length.
class Gradient : public BoundedRule
{
public:
  using BoundedRule::BoundedRule;
  void OnFinish(core::TimePoint,
                std::uint32_t,
                std::uint32_t,
                const CallOutcome& aOutcome) override
  {
    if (aOutcome.mKind == CallOutcomeKind::Shed) {
      SetLimit(CurrentLimit() * 0.98);
      return;
    }
    const double seconds = SecondsOf(aOutcome);
    mShortAverage = mShortAverage <= 0
                      ? seconds
                      : mShortAverage + (seconds - mShortAverage) / 40;
    mLongAverage = mLongAverage <= 0
                     ? seconds
                     : mLongAverage + (seconds - mLongAverage) / 4000;
    if (mLongAverage > 2 * mShortAverage) {
      mLongAverage *= 0.95;
    }
    if (++mCalls % 40 == 0) {
      const double gradient =
        std::clamp(1.5 * mLongAverage / mShortAverage, 0.5, 1.0);
      const double target =
        CurrentLimit() * gradient + std::sqrt(CurrentLimit());
      SetLimit(0.8 * CurrentLimit() + 0.2 * target);
    }
  }

private:
  double mShortAverage = 0;
  double mLongAverage = 0;
  std::uint32_t mCalls = 0;
};

/// Queue-delay control: keeps the number of calls queued at the server, as
/// estimated from the recent minimum latency, between two bounds.
class QueueDelay : public BoundedRule
{
public:
  using BoundedRule::BoundedRule;
  void OnFinish(core::TimePoint,
                std::uint32_t,
                std::uint32_t,
                const CallOutcome& aOutcome) override
  {
    if (aOutcome.mKind == CallOutcomeKind::Shed) {
      SetLimit(CurrentLimit() * 0.98);
      return;
    }
    const double seconds = SecondsOf(aOutcome);
    mShortAverage = mShortAverage <= 0
                      ? seconds
                      : mShortAverage + (seconds - mShortAverage) / 100;
    if (++mCalls % 100 != 0) {
      return;
    }
    mMinLatency =
      mCalls < kWarmUp ? mShortAverage : std::min(mMinLatency, mShortAverage);
    // The minimum is raised slowly; otherwise the rule would never adapt to a
    // server that has become slower.
    mMinLatency *= 1.002;
    const double queued = CurrentLimit() * (1 - mMinLatency / mShortAverage);
    if (queued > 0.25 * CurrentLimit()) {
      SetLimit(CurrentLimit() * 0.95);
    } else if (queued < 0.1 * CurrentLimit()) {
      SetLimit(CurrentLimit() * 1.05 + 0.5);
    }
  }

private:
  double mShortAverage = 0;
  double mMinLatency = 1e9;
  std::uint32_t mCalls = 0;
};

/// The rule of the library, limits::ConcurrencyLimit.
class LibraryRule : public Rule
{
public:
  explicit LibraryRule(std::uint32_t aSlots)
    : mLimit(*limits::ConcurrencyLimit::Create(
        { .mSlots = aSlots, .mColdStartShare = kColdStartShare }))
  {
  }
  std::uint32_t OnStart(core::TimePoint aNow, std::uint32_t aInFlight) override
  {
    return mLimit.OnStart(aNow, aInFlight);
  }
  void OnFinish(core::TimePoint aNow,
                std::uint32_t aInFlight,
                std::uint32_t aSample,
                const CallOutcome& aOutcome) override
  {
    mLimit.OnFinish(aNow, aInFlight, aSample, aOutcome);
  }
  std::uint32_t Limit() const override { return mLimit.Limit(); }

private:
  limits::ConcurrencyLimit mLimit;
};

template<class T>
NamedRule
Make(std::string aName)
{
  return { std::move(aName),
           [](std::uint32_t aSlots) { return std::make_unique<T>(aSlots); } };
}

} // namespace

std::vector<NamedRule>
Rules()
{
  return { Make<FixedLimit>("slots"),
           Make<Aimd>("aimd"),
           Make<Gradient>("gradient"),
           Make<QueueDelay>("queue-delay"),
           Make<LibraryRule>("measured") };
}

} // namespace nutmegrock::perf
