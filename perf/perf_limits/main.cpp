// Compares algorithms that adapt a concurrency limit, on closed-form server
// models. Usage: perf_limits [seed]. The figures are in model time and do not
// depend on the machine.

#include "perf/perf_limits/Rules.h"
#include "perf/perf_limits/ServerModel.h"

#include <cstdio>
#include <cstdlib>
#include <queue>
#include <random>

namespace nutmegrock::perf {

namespace {

constexpr double kChange = 20;
constexpr double kEnd = 50;
/// Seconds after the start or the change that are excluded from the
/// steady-state figures.
constexpr double kSettlingTime = 5;

struct Case
{
  const char* mName;
  std::uint32_t mSlots;
  ServerModel mBefore;
  ServerModel mAfter;
};

/// A call in flight at the modelled server.
struct InFlightCall
{
  double mEnd;
  double mStart;
  std::uint32_t mInFlight;
  std::uint32_t mSample;
  limits::CallOutcomeKind mKind;
  bool operator>(const InFlightCall& aOther) const
  {
    return mEnd > aOther.mEnd;
  }
};

/// Figures of one phase of a simulation.
struct Figures
{
  double mThroughput = 0;
  double mLatency = 0;
  double mConvergenceTime = 0;
};

core::TimePoint
At(double aSeconds)
{
  return core::TimePoint{} + std::chrono::duration_cast<core::Duration>(
                               std::chrono::duration<double>(aSeconds));
}

/// Returns the best throughput with at most aSlots calls in flight, and the
/// smallest limit that reaches 98% of it.
std::pair<double, double>
Ideal(const ServerModel& aModel, std::uint32_t aSlots)
{
  double best = 0;
  for (std::uint32_t n = 1; n <= aSlots; ++n) {
    best = std::max(best, aModel.Throughput(n));
  }
  for (std::uint32_t n = 1; n <= aSlots; ++n) {
    if (aModel.Throughput(n) >= 0.98 * best) {
      return { best, n };
    }
  }
  return { best, aSlots };
}

/// Simulates unlimited demand: as many calls are in flight as the rule allows.
class Simulation
{
public:
  Simulation(const Case& aCase, Rule& aRule, std::uint32_t aSeed)
    : mCase(aCase)
    , mRule(aRule)
    , mRandom(aSeed)
    , mIdealBefore(Ideal(aCase.mBefore, aCase.mSlots))
    , mIdealAfter(Ideal(aCase.mAfter, aCase.mSlots))
  {
  }

  std::pair<Figures, Figures> Run()
  {
    while (mNow < kEnd) {
      while (mInFlightCalls.size() < mRule.Limit()) {
        Send();
      }
      const InFlightCall call = mInFlightCalls.top();
      mInFlightCalls.pop();
      mNow = call.mEnd;
      Count(call);
      mRule.OnFinish(At(mNow),
                     call.mInFlight,
                     call.mSample,
                     { At(call.mEnd) - At(call.mStart), call.mKind });
    }
    return { Summarize(mBefore, mCase.mBefore),
             Summarize(mAfter, mCase.mAfter) };
  }

private:
  struct Totals
  {
    double mCalls = 0;
    double mLatency = 0;
    double mConvergenceTime = -1;
    std::uint32_t mGoodCalls = 0;
  };

  const ServerModel& Model() const
  {
    return mNow < kChange ? mCase.mBefore : mCase.mAfter;
  }

  void Send()
  {
    const ServerModel& model = Model();
    const auto inFlight = static_cast<std::uint32_t>(mInFlightCalls.size() + 1);
    const std::uint32_t sample = mRule.OnStart(At(mNow), inFlight);
    if (model.mSheds && inFlight > model.mWorkers) {
      mInFlightCalls.push({ mNow + 0.001,
                            mNow,
                            inFlight,
                            sample,
                            limits::CallOutcomeKind::Shed });
      return;
    }
    const double noise = mNoise(mRandom);
    mInFlightCalls.push({ mNow + model.Latency(inFlight) * noise,
                          mNow,
                          inFlight,
                          sample,
                          limits::CallOutcomeKind::Ok });
  }

  void Count(const InFlightCall& aCall)
  {
    const bool before = mNow < kChange;
    Totals& totals = before ? mBefore : mAfter;
    const double since = before ? mNow : mNow - kChange;
    const ServerModel& model = Model();
    const auto [best, limit] = before ? mIdealBefore : mIdealAfter;
    // The limit has converged once, for 50 calls, throughput is at least 90% of
    // the best and latency at most 1.5 times that of the best limit.
    const bool good =
      model.Throughput(std::min<double>(
        mRule.Limit(), model.mSheds ? model.mWorkers : 1e9)) >= 0.9 * best &&
      model.Latency(mRule.Limit()) <= 1.5 * model.Latency(limit);
    totals.mGoodCalls = good ? totals.mGoodCalls + 1 : 0;
    if (totals.mConvergenceTime < 0 && totals.mGoodCalls >= 50) {
      totals.mConvergenceTime = since;
    }
    if (since < kSettlingTime || aCall.mKind != limits::CallOutcomeKind::Ok) {
      return;
    }
    totals.mCalls += 1;
    totals.mLatency += aCall.mEnd - aCall.mStart;
  }

  Figures Summarize(const Totals& aTotals, const ServerModel& aModel) const
  {
    const auto [best, limit] = Ideal(aModel, mCase.mSlots);
    const double time =
      (&aTotals == &mBefore ? kChange : kEnd - kChange) - kSettlingTime;
    return { aTotals.mCalls / time / best,
             aTotals.mLatency / std::max(1.0, aTotals.mCalls) /
               aModel.Latency(limit),
             aTotals.mConvergenceTime };
  }

  const Case& mCase;
  Rule& mRule;
  std::mt19937_64 mRandom;
  std::pair<double, double> mIdealBefore;
  std::pair<double, double> mIdealAfter;
  /// Mean 1, coefficient of variation 0.7.
  std::gamma_distribution<double> mNoise{ 2, 0.5 };
  std::priority_queue<InFlightCall, std::vector<InFlightCall>, std::greater<>>
    mInFlightCalls;
  double mNow = 0;
  Totals mBefore;
  Totals mAfter;
};

std::vector<Case>
Cases()
{
  const ServerModel base{ 130, 0.02, 1, 0, false };
  const auto with = [&](auto aChange) {
    ServerModel model = base;
    aChange(model);
    return model;
  };
  const ServerModel slow = with([](auto& aModel) { aModel.mSeconds *= 5; });
  const ServerModel less = with([](auto& aModel) { aModel.mWorkers /= 5; });
  const ServerModel lessThrash = with([](auto& aModel) {
    aModel.mWorkers /= 5;
    aModel.mExponent = 1.5;
  });
  const ServerModel third = with([](auto& aModel) { aModel.mWorkers /= 3; });
  const ServerModel thirdThrash = with([](auto& aModel) {
    aModel.mWorkers /= 3;
    aModel.mExponent = 1.5;
  });
  const ServerModel thirdSheds = with([](auto& aModel) {
    aModel.mWorkers = 43;
    aModel.mSheds = true;
  });
  const ServerModel triple = with([](auto& aModel) { aModel.mWorkers *= 3; });
  const ServerModel slope = with([](auto& aModel) { aModel.mSlope = 0.5; });
  const ServerModel dispatch{ 25, 0.2, 1, 0, false };
  const ServerModel dispatchSlow{ 25, 1.0, 1, 0, false };
  const ServerModel dispatchLess{ 5, 0.2, 1, 0, false };
  return { { "steady", 130, base, base },
           { "every call 5 times slower", 130, base, slow },
           { "recovers from 5 times slower", 130, slow, base },
           { "a fifth of the capacity", 130, base, less },
           { "a fifth, thrashing", 130, base, lessThrash },
           { "capacity comes back", 130, less, base },
           { "slots reported 3 times too high", 130, third, third },
           { "3 times too high, thrashing", 130, thirdThrash, thirdThrash },
           { "3 times too high, sheds", 130, thirdSheds, thirdSheds },
           { "slots reported 3 times too low", 130, triple, triple },
           { "latency grows with use", 130, slope, slope },
           { "25 slots, 5 times slower", 25, dispatch, dispatchSlow },
           { "25 slots, a fifth left", 25, dispatch, dispatchLess } };
}

} // namespace

} // namespace nutmegrock::perf

int
main(int aCount, char** aArguments)
{
  using namespace nutmegrock::perf;
  const auto seed = static_cast<std::uint32_t>(
    aCount > 1 ? std::strtoul(aArguments[1], nullptr, 10) : 1);
  std::printf("throughput / best, latency / that of the best limit, seconds "
              "until settled; after the change\n");
  std::printf("%-34s", "case");
  for (const NamedRule& rule : Rules()) {
    std::printf(" %-17s", rule.mName.c_str());
  }
  std::printf("\n");
  std::vector<double> worst(Rules().size(), 9);
  std::vector<double> sums(Rules().size(), 0);
  const auto cases = Cases();
  for (const Case& aCase : cases) {
    std::printf("%-34s", aCase.mName);
    std::size_t index = 0;
    for (const NamedRule& named : Rules()) {
      const auto rule = named.mMake(aCase.mSlots);
      const auto [before, after] = Simulation(aCase, *rule, seed).Run();
      std::printf(" %4.2f %4.2f %6.2f",
                  after.mThroughput,
                  after.mLatency,
                  after.mConvergenceTime);
      // Latency up to 1.25 times that of the best limit does not reduce the
      // score.
      const double score =
        after.mThroughput / std::max(1.0, after.mLatency / 1.25);
      worst.at(index) = std::min(worst.at(index), score);
      sums.at(index++) += score;
    }
    std::printf("\n");
  }
  std::printf("%-34s", "score: worst, mean");
  for (std::size_t i = 0; i < sums.size(); ++i) {
    std::printf(" %4.2f %5.2f       ",
                worst.at(i),
                sums.at(i) / static_cast<double>(cases.size()));
  }
  std::printf("\n");
  return 0;
}
