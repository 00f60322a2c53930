#include "overload/RankCutoff.h"
#include "overload/EntryAdmission.h"
#include "overload/WorkQueue.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <queue>
#include <random>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };
const std::vector<unsigned> kSeeds = { 1, 2, 3, 4, 5 };
constexpr std::size_t kClasses = 3;

/// When the calls of an admitted request reach the service: evenly within
/// mSpread, after mDelay.
struct Path
{
  milliseconds mDelay{ 0 };
  milliseconds mSpread{ 0 };
};

/// What happened in one interval. Loads are shares of the capacity.
struct Interval
{
  /// Calls that reached the service, and those that it ran.
  double mOffered = 0;
  double mUsed = 0;
  std::array<double, kClasses> mAsked{};
  std::array<double, kClasses> mAdmitted{};
};

/// A service of four nodes behind a delay, whose requests arrive at random
/// times. Its nodes report their cutoffs with their responses, which the entry
/// node gets 100 ms later.
class DeepService
{
public:
  using Mix = std::array<double, kClasses>;

  explicit DeepService(unsigned aSeed, Path aPath = {}, Mix aMix = kMix)
    : mPath(aPath)
    , mMix(aMix)
    , mRandom(aSeed)
    , mEntry(mCosts, mLoads)
  {
    mCosts.Learn("check",
                 { { { "front", 0.5 }, { "stock", 0.02 } }, true, false });
    mLoads.SetOpenRank(static_cast<double>(kClasses));
    for (Node& node : mNodes) {
      node.mQueue.SetSlots(kSlotsNamed);
    }
  }

  DeepService(const DeepService&) = delete;
  DeepService& operator=(const DeepService&) = delete;

  /// The servers run calls in this multiple of the usual time.
  void SetSlowness(double aFactor) { mSlowness = aFactor; }
  /// Runs for aTime with a demand that is aDemand times the capacity.
  void Run(milliseconds aTime, double aDemand)
  {
    std::poisson_distribution<int> arrivals(
      aDemand * kCapacity * static_cast<double>(kStep.count()) / 1000);
    for (milliseconds at(0); at < aTime; at += kStep) {
      mNow += kStep;
      for (int i = arrivals(mRandom); i > 0; --i) {
        Request();
      }
      while (!mArriving.empty() && mArriving.top().first <= mNow) {
        Arrive(mArriving.top().second);
        mArriving.pop();
      }
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        Advance(i);
      }
      Deliver();
      if (mNow - mTickedAt >= milliseconds(20)) {
        mTickedAt = mNow;
        mEntry.Tick(mNow);
      }
      if (mNow - mIntervalAt >= kInterval) {
        mIntervalAt = mNow;
        mPast.push_back(mCurrent);
        mCurrent = {};
      }
    }
  }
  /// Share of the requests of that priority admitted in the last part.
  double Admitted(std::size_t aPriority, milliseconds aLast) const
  {
    double asked = 0;
    double admitted = 0;
    ForLast(aLast, [&](const Interval& aInterval) {
      asked += aInterval.mAsked.at(aPriority);
      admitted += aInterval.mAdmitted.at(aPriority);
    });
    return asked > 0 ? admitted / asked : 1;
  }
  double Mean(double Interval::*aField, milliseconds aLast) const
  {
    double sum = 0;
    double count = 0;
    ForLast(aLast, [&](const Interval& aInterval) {
      sum += aInterval.*aField;
      ++count;
    });
    return sum / count;
  }
  /// Lowest and highest mean over any second of the last part.
  std::pair<double, double> Range(double Interval::*aField,
                                  milliseconds aLast) const
  {
    constexpr std::size_t kWindow = std::chrono::seconds(1) / kInterval;
    const auto count = static_cast<std::size_t>(aLast / kInterval);
    std::pair<double, double> range{ 100, 0 };
    for (std::size_t end = mPast.size() - count + kWindow; end <= mPast.size();
         ++end) {
      double sum = 0;
      for (std::size_t i = end - kWindow; i < end; ++i) {
        sum += mPast[i].*aField;
      }
      range.first = std::min(range.first, sum / kWindow);
      range.second = std::max(range.second, sum / kWindow);
    }
    return range;
  }
  double Cutoff() const { return mLoads.Cutoff(mNow, "stock"); }

private:
  static constexpr Mix kMix{ 0.2, 0.3, 0.5 };
  static constexpr milliseconds kStep{ 2 };
  static constexpr milliseconds kInterval{ 50 };
  static constexpr milliseconds kRunTime{ 20 };
  static constexpr milliseconds kReportDelay{ 100 };
  static constexpr std::uint32_t kSlotsNamed = 22;
  /// Calls a second: four nodes of 20 slots.
  static constexpr double kCapacity = 4 * 20 / 0.02;

  struct Node
  {
    WorkQueue mQueue;
    std::priority_queue<core::TimePoint,
                        std::vector<core::TimePoint>,
                        std::greater<>>
      mEnds;
  };
  struct Report
  {
    core::TimePoint mAt;
    std::size_t mNode = 0;
    double mLoad = 0;
    double mCutoff = 0;
  };

  static double ShareOf(double aCalls)
  {
    return aCalls /
           (kCapacity * std::chrono::duration<double>(kInterval).count());
  }
  void ForLast(milliseconds aLast, auto aDo) const
  {
    const auto count = static_cast<std::size_t>(aLast / kInterval);
    std::for_each(
      mPast.end() - static_cast<std::ptrdiff_t>(count), mPast.end(), aDo);
  }
  void Request()
  {
    std::discrete_distribution<std::uint32_t> priorities(mMix.begin(),
                                                         mMix.end());
    const std::uint32_t priority = priorities(mRandom);
    const EntryDecision decision =
      mEntry.Decide({ "check", priority, milliseconds(1000), mRandom() });
    mCurrent.mAsked.at(priority) += 1;
    if (decision.mAdmitted) {
      mCurrent.mAdmitted.at(priority) += 1;
      const double share = std::generate_canonical<double, 53>(mRandom);
      mArriving.emplace(
        mNow + mPath.mDelay +
          std::chrono::duration_cast<core::Duration>(mPath.mSpread * share),
        decision.mRank);
    }
  }
  void Arrive(double aRank)
  {
    Node& node = mNodes.at(mRandom() % mNodes.size());
    mCurrent.mOffered += ShareOf(mSlowness);
    const auto started =
      node.mQueue.Offer(mNow,
                        { ++mLastId,
                          aRank,
                          aRank,
                          mNow + milliseconds(300),
                          std::chrono::duration_cast<core::Duration>(
                            kRunTime * std::min(mSlowness, 4.0)),
                          "" });
    Start(node, started && *started ? 1 : 0);
  }
  void Start(Node& aNode, std::size_t aCalls)
  {
    for (std::size_t i = 0; i < aCalls; ++i) {
      aNode.mEnds.push(mNow + std::chrono::duration_cast<core::Duration>(
                                kRunTime * mSlowness));
      mCurrent.mUsed += ShareOf(mSlowness);
    }
  }
  void Advance(std::size_t aNode)
  {
    Node& node = mNodes.at(aNode);
    while (!node.mEnds.empty() && node.mEnds.top() <= mNow) {
      node.mEnds.pop();
      Start(node, node.mQueue.OnEnd(mNow).mToStart.size());
      SendReport(aNode);
    }
    if (mNow.time_since_epoch() % milliseconds(20) == core::Duration(0)) {
      const WorkChanges changes = node.mQueue.Tick(mNow);
      Start(node, changes.mToStart.size());
      if (!changes.mExpired.empty()) {
        SendReport(aNode);
      }
    }
  }
  void SendReport(std::size_t aNode)
  {
    const WorkQueue& queue = mNodes.at(aNode).mQueue;
    mReports.push_back(
      { mNow + kReportDelay, aNode, queue.Load(mNow), queue.Cutoff() });
  }
  void Deliver()
  {
    while (!mReports.empty() && mReports.front().mAt <= mNow) {
      const Report& report = mReports.front();
      mLoads.OnServerLoad(mNow,
                          { "stock",
                            "a",
                            core::Incarnation{ report.mNode + 1 },
                            report.mLoad,
                            report.mCutoff });
      mReports.pop_front();
    }
  }

  const Path mPath;
  const Mix mMix;
  std::mt19937_64 mRandom;
  core::TimePoint mNow = kStart;
  core::TimePoint mTickedAt = kStart;
  core::TimePoint mIntervalAt = kStart;
  std::array<Node, 4> mNodes;
  RouteCosts mCosts;
  ServiceLoads mLoads;
  EntryAdmission mEntry;
  double mSlowness = 1;
  std::uint64_t mLastId = 0;
  std::priority_queue<std::pair<core::TimePoint, double>,
                      std::vector<std::pair<core::TimePoint, double>>,
                      std::greater<>>
    mArriving;
  std::deque<Report> mReports;
  Interval mCurrent;
  std::vector<Interval> mPast;
};

} // namespace

// Guards against refusals by noise: arrivals are random, and short of the
// capacity some calls wait.
TEST_CASE("nothing is shed below the capacity")
{
  for (const unsigned seed : kSeeds) {
    for (const double demand : { 0.8, 0.9 }) {
      CAPTURE(seed);
      CAPTURE(demand);
      DeepService service(seed, { milliseconds(300), milliseconds(0) });
      service.Run(milliseconds(10'000), demand);
      for (const std::size_t priority : { 0U, 1U, 2U }) {
        CHECK(service.Admitted(priority, milliseconds(10'000)) == 1);
      }
    }
  }
}

namespace {

/// A burst of this demand for 6 s, after 3 s of little.
std::unique_ptr<DeepService>
AfterBurst(unsigned aSeed, double aDemand, Path aPath)
{
  auto service = std::make_unique<DeepService>(aSeed, aPath);
  service->Run(milliseconds(3000), 0.7);
  service->Run(milliseconds(6000), aDemand);
  return service;
}

constexpr Path kLag300{ milliseconds(300), milliseconds(0) };
constexpr milliseconds kHalf{ 3000 };

} // namespace

// A burst of 1.3, 1.5 and 2 times the capacity, behind a delay. Guards against
// an oscillation that shed three times too much, and against shedding important
// work.
TEST_CASE("a burst keeps the service in use and sheds the least important work")
{
  for (const unsigned seed : kSeeds) {
    for (const int delay : { 300, 600, 1200 }) {
      for (const double demand : { 1.3, 1.5, 2.0 }) {
        CAPTURE(seed);
        CAPTURE(delay);
        CAPTURE(demand);
        const auto service =
          AfterBurst(seed, demand, { milliseconds(delay), milliseconds(0) });
        CHECK(service->Mean(&Interval::mUsed, kHalf) > 0.97);
        CHECK(service->Admitted(0, kHalf) == 1);
        CHECK(service->Admitted(2, kHalf) < 1);
      }
    }
  }
}

// The same burst. Guards against admitting more than the service can do, which
// is refused after it has used other services.
TEST_CASE("a burst settles at the target" * doctest::should_fail())
{
  for (const unsigned seed : kSeeds) {
    for (const double demand : { 1.3, 1.5, 2.0 }) {
      CAPTURE(seed);
      CAPTURE(demand);
      const auto service = AfterBurst(seed, demand, kLag300);
      const double load = service->Mean(&Interval::mOffered, kHalf);
      CHECK(load > 0.80);
      CHECK(load < 1.05);
    }
  }
}

// Refusals must not outlast the overload.
TEST_CASE(
  "everything is admitted again within three seconds of the burst's end")
{
  for (const unsigned seed : kSeeds) {
    CAPTURE(seed);
    const auto service = AfterBurst(seed, 2.0, kLag300);
    service->Run(milliseconds(3000), 0.8);
    service->Run(milliseconds(500), 0.8);
    CHECK(service->Admitted(2, milliseconds(500)) == 1);
  }
}

// Guards against refusals that outlast a strong overload longer than a weak
// one.
TEST_CASE("a strong burst is over within three seconds, too")
{
  for (const unsigned seed : kSeeds) {
    CAPTURE(seed);
    const auto service = AfterBurst(seed, 8.0, kLag300);
    service->Run(milliseconds(3000), 0.8);
    service->Run(milliseconds(500), 0.8);
    CHECK(service->Admitted(2, milliseconds(500)) == 1);
  }
}

// Guards against unimportant work that takes the place of important work.
TEST_CASE("when even important work does not fit, no other is admitted")
{
  for (const unsigned seed : kSeeds) {
    CAPTURE(seed);
    const auto service = AfterBurst(seed, 8.0, kLag300);
    CHECK(service->Admitted(2, kHalf) == 0);
    CHECK(service->Admitted(0, kHalf) > 0.3);
    CHECK(service->Mean(&Interval::mUsed, kHalf) > 0.97);
  }
}

// The important work is 1.6 times the capacity.
TEST_CASE("when even important work does not fit, a part of it is shed")
{
  for (const unsigned seed : kSeeds) {
    CAPTURE(seed);
    const auto service = AfterBurst(seed, 8.0, kLag300);
    CHECK(service->Admitted(1, kHalf) == 0);
    CHECK(service->Admitted(0, kHalf) < 0.9);
  }
}

namespace {

constexpr std::array<Path, 6> kPaths = { {
  { milliseconds(0), milliseconds(100) },
  { milliseconds(0), milliseconds(500) },
  { milliseconds(0), milliseconds(1000) },
  { milliseconds(0), milliseconds(1600) },
  { milliseconds(300), milliseconds(0) },
  { milliseconds(1200), milliseconds(0) },
} };

std::unique_ptr<DeepService>
Settled(unsigned aSeed, double aDemand, Path aPath)
{
  auto service = std::make_unique<DeepService>(aSeed, aPath);
  service->Run(milliseconds(3000), 0.7);
  service->Run(milliseconds(20'000), aDemand);
  return service;
}

} // namespace

// Requests call the deep service up to 1.6 s after their admission. Guards
// against an admitted share that oscillated: the service was idle and flooded
// in turn.
TEST_CASE("a deep service is neither idle nor flooded in turn")
{
  for (const unsigned seed : { 1U, 2U, 3U }) {
    for (const Path& path : kPaths) {
      for (const double demand : { 2.0, 3.0 }) {
        CAPTURE(seed);
        CAPTURE(path.mDelay.count());
        CAPTURE(path.mSpread.count());
        CAPTURE(demand);
        const auto service = Settled(seed, demand, path);
        const auto used = service->Range(&Interval::mUsed, milliseconds(8000));
        CHECK(used.first > 0.85);
        const auto load =
          service->Range(&Interval::mOffered, milliseconds(8000));
        CHECK(load.first > 0.85);
        CHECK(load.first / load.second > 0.85);
        CHECK(service->Admitted(0, milliseconds(8000)) == 1);
      }
    }
  }
}

// The same load. Guards against a load that settles above the capacity, so that
// requests fail which have used other services.
TEST_CASE("the load of a deep service settles instead of oscillating" *
          doctest::should_fail())
{
  for (const unsigned seed : { 1U, 2U, 3U }) {
    for (const Path& path : kPaths) {
      for (const double demand : { 2.0, 3.0 }) {
        CAPTURE(seed);
        CAPTURE(path.mDelay.count());
        CAPTURE(path.mSpread.count());
        CAPTURE(demand);
        const auto service = Settled(seed, demand, path);
        const auto load =
          service->Range(&Interval::mOffered, milliseconds(8000));
        CHECK(load.first > 0.85);
        CHECK(load.second < 1.0);
      }
    }
  }
}

namespace {

/// Five times the capacity for 0.2 s, and 2 s after it.
std::unique_ptr<DeepService>
AfterShortBurst(unsigned aSeed)
{
  auto service = std::make_unique<DeepService>(aSeed, kLag300);
  service->Run(milliseconds(3000), 0.7);
  service->Run(milliseconds(200), 5.0);
  service->Run(milliseconds(2000), 0.7);
  return service;
}

} // namespace

// Guards against a short burst that leads to refusing everything.
TEST_CASE("a short burst does not lead to refusing everything")
{
  for (const unsigned seed : kSeeds) {
    CAPTURE(seed);
    const auto service = AfterShortBurst(seed);
    CHECK(service->Admitted(0, milliseconds(2000)) == 1);
    CHECK(service->Admitted(2, milliseconds(2000)) > 0.5);
    service->Run(milliseconds(1500), 0.7);
    CHECK(service->Admitted(2, milliseconds(500)) == 1);
  }
}

// Guards against a short burst that leads to refusing important work.
TEST_CASE("a short burst does not lead to refusing the second priority")
{
  for (const unsigned seed : kSeeds) {
    CAPTURE(seed);
    CHECK(AfterShortBurst(seed)->Admitted(1, milliseconds(2000)) == 1);
  }
}

namespace {

/// The servers do a fiftieth of their work for 5 s, and all of it again for
/// aTime.
std::unique_ptr<DeepService>
AfterFailure(unsigned aSeed, DeepService::Mix aMix, milliseconds aTime)
{
  auto service = std::make_unique<DeepService>(aSeed, kLag300, aMix);
  service->Run(milliseconds(3000), 0.8);
  service->SetSlowness(50);
  service->Run(milliseconds(5000), 0.8);
  service->SetSlowness(1);
  service->Run(aTime, 0.8);
  return service;
}

constexpr std::array<DeepService::Mix, 2> kMixes = { { { 0.2, 0.3, 0.5 },
                                                       { 0, 0, 1 } } };
constexpr milliseconds kSecond{ 1000 };

} // namespace

// Guards against a service that is never used again because nothing is sent to
// it.
TEST_CASE("the recovery of a service that could do nothing is noticed")
{
  for (const unsigned seed : kSeeds) {
    for (const DeepService::Mix& mix : kMixes) {
      CAPTURE(seed);
      CAPTURE(mix[2]);
      const auto service = AfterFailure(seed, mix, 10 * kSecond);
      CHECK(service->Mean(&Interval::mUsed, 3 * kSecond) > 0.8 * 0.9);
      CHECK(service->Admitted(2, 3 * kSecond) == 1);
    }
  }
}

// Guards against refusals that outlast the failure of a service->
TEST_CASE("a service that recovers is fully used after three seconds")
{
  for (const unsigned seed : kSeeds) {
    for (const DeepService::Mix& mix : kMixes) {
      CAPTURE(seed);
      CAPTURE(mix[2]);
      const auto service = AfterFailure(seed, mix, 4 * kSecond);
      CHECK(service->Mean(&Interval::mUsed, kSecond) > 0.8 * 0.9);
    }
  }
}

namespace {

/// Calls of evenly spread ranks up to 3, of which those below aServed start, in
/// aUpdates intervals of 100 ms.
void
Feed(RankCutoff& aCutoff, core::TimePoint& aNow, double aServed, int aUpdates)
{
  for (int i = 0; i < aUpdates; ++i) {
    for (double rank = 0.005; rank < 3; rank += 0.01) {
      if (rank < aServed) {
        aCutoff.OnStarted(rank);
      } else {
        aCutoff.OnExpired(rank);
      }
    }
    aNow += milliseconds(100);
    aCutoff.Update(aNow, false);
  }
}

} // namespace

// Guards against refusing important requests, and against admitting many more
// than are served.
TEST_CASE("the cutoff is the rank that separates started from expired calls")
{
  for (const double served : { 0.4, 1.0, 1.7, 2.5 }) {
    CAPTURE(served);
    RankCutoff cutoff;
    core::TimePoint now = kStart;
    CHECK(cutoff.Cutoff() == kOpenRank);
    Feed(cutoff, now, served, 40);
    CHECK(cutoff.Cutoff() >= served - 0.05);
    CHECK(cutoff.Cutoff() <= served + 0.25);
    CHECK(cutoff.Rate() == doctest::Approx(3000).epsilon(0.3));
  }
}

// Guards against a cutoff that falls again and again while admitted calls that
// are late still expire.
TEST_CASE("calls that expire above the cutoff do not lower it further")
{
  RankCutoff cutoff;
  core::TimePoint now = kStart;
  Feed(cutoff, now, 1.5, 10);
  const double first = cutoff.Cutoff();
  Feed(cutoff, now, 1.5, 100);
  CHECK(cutoff.Cutoff() == doctest::Approx(first).epsilon(0.05));
}

// Guards against shedding by a few calls that expire for other reasons.
TEST_CASE("few expired calls do not lower the cutoff")
{
  RankCutoff cutoff;
  core::TimePoint now = kStart;
  for (int i = 0; i < 50; ++i) {
    for (int n = 0; n < 100; ++n) {
      cutoff.OnStarted(0.02 * n);
    }
    cutoff.OnExpired(0.3);
    now += milliseconds(100);
    cutoff.Update(now, false);
    CHECK(cutoff.Cutoff() == kOpenRank);
  }
}

// Guards against a cutoff that stays when no call comes any more.
TEST_CASE("a cutoff opens without any calls")
{
  RankCutoff cutoff;
  core::TimePoint now = kStart;
  Feed(cutoff, now, 0.2, 10);
  REQUIRE(cutoff.Cutoff() < 0.5);
  int updates = 0;
  while (cutoff.Cutoff() < 3 && updates < 100) {
    now += milliseconds(100);
    cutoff.Update(now, false);
    ++updates;
  }
  CHECK(updates <= 80);
}
