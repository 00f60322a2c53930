#include "perf/perf_limits/Rules.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::perf {

namespace {

using limits::CallOutcome;
using limits::CallOutcomeKind;

constexpr double kColdShare = 0.5;
/// Calls before the smallest latency counts: the first calls to end are the
/// short ones.
constexpr std::uint32_t kWarmUp = 1000;

double
SecondsOf(const CallOutcome& aOutcome)
{
  return std::chrono::duration<double>(aOutcome.mLatency).count();
}

/// Common part: bounds, and a halving step on a refusal of the server.
class Bounded : public Rule
{
public:
  explicit Bounded(std::uint32_t aSlots)
    : mSlots(aSlots)
    , mLimit(std::max(1.0, aSlots * kColdShare))
  {
  }
  std::uint32_t Limit() const override
  {
    return static_cast<std::uint32_t>(std::lround(mLimit));
  }

protected:
  void Set(double aLimit)
  {
    mLimit = std::clamp(aLimit, 1.0, static_cast<double>(mSlots));
  }
  double Now() const { return mLimit; }

private:
  std::uint32_t mSlots;
  double mLimit;
};

/// The reported slots as they are.
class Fixed : public Bounded
{
public:
  explicit Fixed(std::uint32_t aSlots)
    : Bounded(aSlots)
  {
    Set(aSlots);
  }
  void OnFinish(core::TimePoint,
                std::uint32_t,
                std::uint32_t,
                const CallOutcome&) override
  {
  }
};

/// Additive increase per round trip; multiplicative decrease on refusals and on
/// latencies above twice the smallest seen.
class Aimd : public Bounded
{
public:
  using Bounded::Bounded;
  void OnFinish(core::TimePoint aNow,
                std::uint32_t,
                std::uint32_t,
                const CallOutcome& aOutcome) override
  {
    const double seconds = SecondsOf(aOutcome);
    const bool shed = aOutcome.mKind == CallOutcomeKind::Shed;
    if (!shed) {
      mSmoothed =
        mSmoothed <= 0 ? seconds : mSmoothed + (seconds - mSmoothed) / 100;
      mSmallest =
        ++mCalls < kWarmUp ? mSmoothed : std::min(mSmallest, mSmoothed);
    }
    if (shed || mSmoothed > 2 * mSmallest) {
      if (aNow >= mNoCutBefore) {
        Set(Now() * 0.9);
        mNoCutBefore = aNow + std::chrono::duration_cast<core::Duration>(
                                std::chrono::duration<double>(mSmoothed));
      }
    } else {
      Set(Now() + 1 / Now());
    }
  }

private:
  double mSmoothed = 0;
  std::uint32_t mCalls = 0;
  double mSmallest = 1e9;
  core::TimePoint mNoCutBefore;
};

/// Latency gradient: the limit follows the ratio of the long-term to the recent
/// latency, plus the square root of the limit as allowed queue.
class Gradient : public Bounded
{
public:
  using Bounded::Bounded;
  void OnFinish(core::TimePoint,
                std::uint32_t,
                std::uint32_t,
                const CallOutcome& aOutcome) override
  {
    if (aOutcome.mKind == CallOutcomeKind::Shed) {
      Set(Now() * 0.98);
      return;
    }
    const double seconds = SecondsOf(aOutcome);
    mShort = mShort <= 0 ? seconds : mShort + (seconds - mShort) / 40;
    mLong = mLong <= 0 ? seconds : mLong + (seconds - mLong) / 4000;
    if (mLong > 2 * mShort) {
      mLong *= 0.95;
    }
    if (++mCalls % 40 == 0) {
      const double gradient = std::clamp(1.5 * mLong / mShort, 0.5, 1.0);
      const double wanted = Now() * gradient + std::sqrt(Now());
      Set(0.8 * Now() + 0.2 * wanted);
    }
  }

private:
  double mShort = 0;
  double mLong = 0;
  std::uint32_t mCalls = 0;
};

/// Queue-delay control: calls queued at the server, estimated from the smallest
/// recent latency, are kept between two bounds.
class QueueDelay : public Bounded
{
public:
  using Bounded::Bounded;
  void OnFinish(core::TimePoint,
                std::uint32_t,
                std::uint32_t,
                const CallOutcome& aOutcome) override
  {
    if (aOutcome.mKind == CallOutcomeKind::Shed) {
      Set(Now() * 0.98);
      return;
    }
    const double seconds = SecondsOf(aOutcome);
    mShort = mShort <= 0 ? seconds : mShort + (seconds - mShort) / 100;
    if (++mCalls % 100 != 0) {
      return;
    }
    mSmallest = mCalls < kWarmUp ? mShort : std::min(mSmallest, mShort);
    // The smallest latency is forgotten slowly, or a slower server would never
    // be believed.
    mSmallest *= 1.002;
    const double queued = Now() * (1 - mSmallest / mShort);
    if (queued > 0.25 * Now()) {
      Set(Now() * 0.95);
    } else if (queued < 0.1 * Now()) {
      Set(Now() * 1.05 + 0.5);
    }
  }

private:
  double mShort = 0;
  double mSmallest = 1e9;
  std::uint32_t mCalls = 0;
};

/// The library's own rule.
class Measured : public Rule
{
public:
  explicit Measured(std::uint32_t aSlots)
    : mLimit(*limits::ConcurrencyLimit::Create(
        { .mSlots = aSlots, .mColdStartShare = kColdShare }))
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
  return { Make<Fixed>("slots"),
           Make<Aimd>("aimd"),
           Make<Gradient>("gradient"),
           Make<QueueDelay>("queue-delay"),
           Make<Measured>("measured") };
}

} // namespace nutmegrock::perf
