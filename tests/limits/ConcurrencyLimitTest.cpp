#include "limits/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <queue>
#include <random>

using namespace nutmegrock;
using limits::CallOutcomeKind;
using limits::ConcurrencyLimit;

namespace {

core::TimePoint
At(double aSeconds)
{
  return core::TimePoint{} + std::chrono::duration_cast<core::Duration>(
                               std::chrono::duration<double>(aSeconds));
}

/// Closed-form model of a server: calls above mWorkers share the workers.
struct Server
{
  double mWorkers;
  double mSeconds;
  bool mSheds = false;
};

struct Flight
{
  double mEnd;
  double mStart;
  std::uint32_t mInFlight;
  std::uint32_t mSample;
  CallOutcomeKind mKind;
  bool operator>(const Flight& aOther) const { return mEnd > aOther.mEnd; }
};

/// Keeps as many calls in flight as the limit allows for aFor seconds, and
/// returns the mean limit of the second half.
class LoadGenerator
{
public:
  explicit LoadGenerator(ConcurrencyLimit& aLimit)
    : mLimit(aLimit)
  {
  }

  double Run(const Server& aServer, double aFor)
  {
    const double begin = mNow;
    double sum = 0;
    double count = 0;
    while (mNow < begin + aFor) {
      while (mFlights.size() < mLimit.Limit()) {
        Send(aServer);
      }
      const Flight flight = mFlights.top();
      mFlights.pop();
      mNow = flight.mEnd;
      mLimit.OnFinish(At(mNow),
                      flight.mInFlight,
                      flight.mSample,
                      { At(mNow) - At(flight.mStart), flight.mKind });
      CHECK(mLimit.Limit() >= 1);
      if (mNow > begin + aFor / 2) {
        sum += mLimit.AdaptedLimit();
        ++count;
      }
    }
    return sum / count;
  }

private:
  void Send(const Server& aServer)
  {
    const auto inFlight = static_cast<std::uint32_t>(mFlights.size() + 1);
    const std::uint32_t sample = mLimit.OnStart(At(mNow), inFlight);
    const bool shed = aServer.mSheds && inFlight > aServer.mWorkers;
    const double latency = shed ? 0.001
                                : aServer.mSeconds *
                                    std::max(1.0, inFlight / aServer.mWorkers) *
                                    mNoise(mRandom);
    mFlights.push({ mNow + latency,
                    mNow,
                    inFlight,
                    sample,
                    shed ? CallOutcomeKind::Shed : CallOutcomeKind::Ok });
  }

  ConcurrencyLimit& mLimit;
  std::mt19937_64 mRandom{ 7 };
  std::gamma_distribution<double> mNoise{ 2, 0.5 };
  std::priority_queue<Flight, std::vector<Flight>, std::greater<>> mFlights;
  double mNow = 0;
};

ConcurrencyLimit
Make(std::uint32_t aSlots)
{
  return *ConcurrencyLimit::Create({ .mSlots = aSlots });
}

} // namespace

TEST_SUITE("limits/ConcurrencyLimit")
{
  TEST_CASE("starts at the cold-start share and keeps within its bounds")
  {
    for (const std::uint32_t slots : { 1U, 2U, 25U, 300U }) {
      ConcurrencyLimit limit = Make(slots);
      CHECK(limit.Limit() == std::max(1U, (slots + 1) / 2));
      LoadGenerator(limit).Run({ 1000, 0.02 }, 2);
      CHECK(limit.AdaptedLimit() <= slots);
    }
  }

  TEST_CASE("refuses invalid settings")
  {
    for (const limits::ConcurrencyLimitSettings& settings :
         { limits::ConcurrencyLimitSettings{ .mSlots = 0 },
           limits::ConcurrencyLimitSettings{ .mColdStartShare = 0 },
           limits::ConcurrencyLimitSettings{ .mColdStartShare = 1.5 },
           limits::ConcurrencyLimitSettings{ .mTolerance = 1 } }) {
      const auto limit = ConcurrencyLimit::Create(settings);
      REQUIRE_FALSE(limit.has_value());
      CHECK(limit.error().mKind == core::ErrorKind::InvalidSettings);
    }
  }

  // The limit must not be cut for slowness that fewer calls would not cure, and
  // must be cut if capacity is lost or misreported.
  TEST_CASE("finds the limit that the server allows")
  {
    struct Row
    {
      const char* mName;
      std::uint32_t mSlots;
      Server mBefore;
      Server mAfter;
      double mLow;
      double mHigh;
    };
    // The bounds are 0.7 and 1.6 times the right limit: growth tries up to 1.4
    // times the limit of the last cut.
    for (const Row& row :
         { Row{ "steady", 130, { 130, 0.02 }, { 130, 0.02 }, 120, 130 },
           Row{ "5 times slower", 130, { 130, 0.02 }, { 130, 0.1 }, 120, 130 },
           Row{ "a fifth left", 130, { 130, 0.02 }, { 26, 0.02 }, 18, 42 },
           Row{ "slots 3 times too high",
                130,
                { 43, 0.02 },
                { 43, 0.02 },
                30,
                69 },
           Row{ "slots 3 times too low",
                130,
                { 390, 0.02 },
                { 390, 0.02 },
                120,
                130 },
           Row{ "sheds above a third",
                130,
                { 43, 0.02, true },
                { 43, 0.02, true },
                36,
                44 },
           Row{ "capacity comes back",
                130,
                { 26, 0.02 },
                { 130, 0.02 },
                115,
                130 } }) {
      CAPTURE(row.mName);
      ConcurrencyLimit limit = Make(row.mSlots);
      LoadGenerator generator(limit);
      generator.Run(row.mBefore, 10);
      const double found = generator.Run(row.mAfter, 20);
      CHECK(found >= row.mLow);
      CHECK(found <= row.mHigh);
    }
  }

  // A server that reports fewer slots must not get more calls than that.
  TEST_CASE("follows the reported slots down at once")
  {
    ConcurrencyLimit limit = Make(100);
    LoadGenerator(limit).Run({ 100, 0.01 }, 2);
    limit.SetSlots(10);
    CHECK(limit.Limit() <= 10);
    limit.SetSlots(0);
    CHECK(limit.Limit() == 1);
    limit.SetSlots(40);
    CHECK(limit.AdaptedLimit() == 20);
  }

  // Samples at a limit of 1 take so long that important calls alone kept the
  // limit there for over 30 s after a server had shed everything.
  TEST_CASE("returns within 3 s once a server that shed everything works again")
  {
    for (const std::uint32_t slots : { 13U, 25U, 130U }) {
      ConcurrencyLimit limit = Make(slots);
      LoadGenerator generator(limit);
      const Server works{ static_cast<double>(slots), 0.05 };
      generator.Run(works, 20);
      const std::uint32_t before = limit.AdaptedLimit();
      generator.Run({ 0, 0.05, true }, 5);
      CHECK(limit.AdaptedLimit() < before / 2);
      generator.Run(works, 3);
      CHECK(limit.AdaptedLimit() >= before / 2);
    }
  }

  // Failed and cancelled calls carry no information about the server's latency.
  TEST_CASE("fast errors do not move the limit")
  {
    ConcurrencyLimit limit = Make(50);
    for (int i = 0; i < 2000; ++i) {
      const core::TimePoint now = At(i * 0.001);
      const std::uint32_t sample = limit.OnStart(now, limit.Limit());
      limit.OnFinish(now,
                     limit.Limit(),
                     sample,
                     { At(0.0001) - At(0), CallOutcomeKind::Failed });
    }
    CHECK(limit.Limit() == 25);
  }
}
