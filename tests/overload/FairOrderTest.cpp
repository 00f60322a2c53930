#include "overload/FairOrder.h"
#include "tests/overload/BookingsModel.h"

#include <array>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using nutmegrock::tests::BookingsModel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Requests of tenants at regular times, of 1 s of the service "bookings" each.
class Arrivals
{
public:
  /// Ten requests per second of each tenant, multiplied by the factor of that
  /// name, for the time. Returns the share of usual places of the last one.
  double Run(seconds aTime, double aFactor, double aLastFactor)
  {
    int usual = 0;
    int all = 0;
    for (milliseconds at(0); at < aTime; at += milliseconds(1)) {
      mNow += milliseconds(1);
      for (const char* tenant : { "a", "b", "c" }) {
        const bool last = tenant[0] == 'c';
        double& due = mDue[tenant];
        due += (last ? aLastFactor : aFactor) / 100;
        while (due >= 1) {
          due -= 1;
          const double part =
            mOrder.PartOf(mNow, { tenant, mRandom(), 0, "bookings", 1 });
          CHECK(part >= 0);
          CHECK(part < 1);
          all += last ? 1 : 0;
          usual += last && part < kExcessBegin ? 1 : 0;
        }
      }
    }
    return static_cast<double>(usual) / all;
  }
  double Excess(const char* aTenant) const
  {
    return mOrder.Excess(mNow, aTenant);
  }

  static constexpr double kExcessBegin = 0.8;

private:
  FairOrder mOrder;
  core::TimePoint mNow{ std::chrono::hours(1) };
  std::mt19937_64 mRandom{ 1 };
  std::map<std::string, double> mDue;
};

} // namespace

// Guards against a change of ranks while there is room for all.
TEST_CASE("without scarcity the place follows from the identity alone")
{
  FairOrder order;
  std::mt19937_64 random(1);
  core::TimePoint now{ std::chrono::hours(1) };
  for (int i = 0; i < 20'000; ++i) {
    now += milliseconds(1);
    const std::uint64_t hash = random();
    CHECK(order.PartOf(now, { "a", hash, random() % 32, "", 0 }) ==
          PartOf(hash));
  }
}

// Load: three tenants of 10 requests per second at one node; one sends seven
// times as much.
TEST_CASE("a tenant in excess has as many usual places as before")
{
  Arrivals arrivals;
  CHECK(arrivals.Run(seconds(30), 1, 1) == 1);
  arrivals.Run(seconds(3), 1, 7);
  CHECK(arrivals.Excess("a") == 1);
  CHECK(arrivals.Excess("c") > 5);
  CHECK(arrivals.Excess("c") < 7.5);
  const double usual = 7 * arrivals.Run(seconds(6), 1, 7);
  CHECK(usual > 0.9);
  CHECK(usual < 1.4);
  arrivals.Run(seconds(5), 1, 1);
  CHECK(arrivals.Excess("c") == 1);
}

// Guards against a tenant that has grown for good and stays in excess.
TEST_CASE("a rate that lasts becomes usual")
{
  Arrivals arrivals;
  arrivals.Run(seconds(30), 1, 1);
  arrivals.Run(seconds(240), 1, 3);
  CHECK(arrivals.Run(seconds(5), 1, 3) == 1);
}

// Load: the clients of another node come to this one. Guards against refusing
// them all because of a rate that is new here.
TEST_CASE("growth of all tenants is no excess")
{
  Arrivals arrivals;
  arrivals.Run(seconds(30), 1, 1);
  CHECK(arrivals.Run(seconds(6), 2.5, 2.5) > 0.8);
}

TEST_CASE("the first requests after a start are not in excess")
{
  Arrivals arrivals;
  CHECK(arrivals.Run(seconds(4), 1, 30) == 1);
}

// Guards against a connection that takes the place of many.
TEST_CASE("of pipelined requests hardly any has a usual place")
{
  FairOrder order;
  std::mt19937_64 random(1);
  const core::TimePoint now{ std::chrono::hours(1) };
  double usual = 0;
  for (std::size_t ahead = 0; ahead < 32; ++ahead) {
    for (int i = 0; i < 1000; ++i) {
      usual += order.PartOf(now, { "a", random(), ahead, "bookings", 1 }) <
                   Arrivals::kExcessBegin
                 ? 0.001
                 : 0;
    }
    if (ahead == 0) {
      CHECK(usual == doctest::Approx(1));
    }
  }
  CHECK(usual < 1.8);
}

namespace {

constexpr std::array<unsigned, 3> kSeeds{ 1, 2, 3 };
constexpr double kMinRatio = 0.25;

} // namespace

// Load: 77 tenants of skewed sizes, work at 1.14 times the slots of a service,
// then 1.8 and 3 times that demand. Guards against tenants or kinds of requests
// that get less than a quarter of what all get, and against serving less.
TEST_CASE("a scarce service is shared by all tenants and kinds of requests")
{
  for (const unsigned seed : kSeeds) {
    for (const double factor : { 1.0, 1.8, 3.0 }) {
      CAPTURE(seed);
      CAPTURE(factor);
      std::array<double, 2> served{};
      for (const bool fair : { false, true }) {
        BookingsModel model(seed, fair);
        model.Run(seconds(15), 1);
        model.Run(seconds(5), factor);
        model.Clear();
        model.Run(seconds(20), factor);
        const double all = model.AllBut(BookingsModel::kTenants).Ratio();
        served.at(fair ? 1 : 0) = all;
        if (fair) {
          CHECK(model.WorstTenth() > 0.5 * all);
          for (std::size_t i = 0; i < BookingsModel::kTenants; ++i) {
            CHECK(model.OfTenant(i).Ratio() > kMinRatio * all);
          }
          for (std::size_t i = 0; i < BookingsModel::kKinds; ++i) {
            CHECK(model.OfKind(i).Ratio() > kMinRatio * all);
          }
          // Less first.
          CHECK(model.OfKind(0).Ratio() > model.OfKind(1).Ratio());
        }
      }
      CHECK(served[1] > served[0] - 0.02);
      CHECK((factor == 1.0 || served[1] > served[0]));
    }
  }
}

// Load: the same, and the largest or the fifth tenant sends seven times its
// rate for 6 s. Guards against the others paying for it.
TEST_CASE("a tenant at seven times its rate takes little from the others")
{
  for (const std::size_t tenant : { 0U, 4U }) {
    CAPTURE(tenant);
    std::array<double, 2> fair{};
    double unfair = 0;
    for (const unsigned seed : kSeeds) {
      const auto others = [&](bool aFair, double aExcess) {
        BookingsModel model(seed, aFair);
        model.Run(seconds(25), 1);
        model.Clear();
        model.SetExcess(tenant, aExcess);
        model.Run(seconds(6), 1);
        return model.AllBut(tenant).Ratio() / kSeeds.size();
      };
      fair[0] += others(true, 1);
      fair[1] += others(true, 7);
      unfair += others(false, 7);
    }
    CHECK(fair[1] > 0.88 * fair[0]);
    CHECK(fair[1] > unfair + (tenant == 0 ? 0.2 : 0.04));
  }
}

// Load: the same, and one connection with a thousand pipelined requests, of
// which the node reads 32 at a time.
TEST_CASE("a connection with many pipelined requests gets few of them served")
{
  for (const unsigned seed : kSeeds) {
    CAPTURE(seed);
    std::array<int, 2> served{};
    for (const bool fair : { false, true }) {
      BookingsModel model(seed, fair);
      model.Run(seconds(25), 1);
      model.Pipeline(4, 1000);
      model.Run(seconds(4), 1);
      CAPTURE(model.OfPipeline().mAsked);
      served.at(fair ? 1 : 0) = model.OfPipeline().mServed;
    }
    CHECK(served[0] > 100);
    CHECK(served[1] < 0.25 * served[0]);
  }
}
