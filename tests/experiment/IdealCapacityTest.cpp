#include "experiment/IdealCapacity.h"

#include <doctest/doctest.h>

using namespace nutmegrock::experiment;
using doctest::Approx;

namespace {

/// `front` calls `back`; a run of `front` holds its slot for both service
/// times.
DeploymentSpec
TwoServices()
{
  DeploymentSpec spec;
  spec.mServices = { { "front", 2, 10, 100, 0.1 },
                     { "back", 1, 10, 100, 0.3 } };
  spec.mKinds = {
    { "look", "front", "p", *Plan::Parse("back/p"), 0.5, false, 0 },
    { "local", "front", "p", Plan{}, 0.25, false, 0 },
    { "pay", "back", "p", Plan{}, 0.25, true, 0, 1 },
  };
  return spec;
}

} // namespace

TEST_SUITE("experiment/IdealCapacity")
{
  TEST_CASE(
    "slot seconds include nested calls and the longest of parallel calls")
  {
    const IdealCapacity ideal(TwoServices());
    RequestKind kind{ "x", "front", "p", *Plan::Parse("back/p+front/p,back/q"),
                      1,   false,   0 };
    const auto seconds = ideal.SlotSeconds(kind);
    CHECK(seconds.at("front") == Approx(0.1 + 0.3 + 0.3 + 0.1));
    CHECK(seconds.at("back") == Approx(0.6));
  }

  TEST_CASE("the busiest service determines the capacity")
  {
    // back: 10 slots / (0.75 x 0.3 s); front: 20 / (0.5 x 0.4 + 0.25 x 0.1).
    CHECK(IdealCapacity(TwoServices()).Capacity() == Approx(10 / 0.225));
    CHECK(IdealCapacity(TwoServices(), { { "back", 5.0 } }).Capacity() ==
          Approx(10 / 1.125));
  }

  // An ideal that treats all work alike would count the protection of important
  // work as lost goodput.
  TEST_CASE("important kinds get slots first and unrelated kinds use the rest")
  {
    const IdealCapacity ideal(TwoServices());
    const double below = ideal.Capacity() / 2;
    CHECK(ideal.Goodput(below) == Approx(below));
    const auto over = ideal.Completed(100.0);
    CHECK(over[2] == Approx(25.0));
    CHECK(over[0] == Approx((10 - 25 * 0.3) / 0.3));
    CHECK(over[1] == Approx(25.0));
    const auto only_important = ideal.Completed(1000.0);
    CHECK(only_important[2] == Approx(10 / 0.3));
    CHECK(only_important[0] == Approx(0.0));
  }

  // The overload cases require that important work alone fits, with a margin
  // for random arrivals: at four times the demand, and at twice the demand with
  // a slow deep service.
  TEST_CASE(
    "important work of both deployments takes at most 80% of any service")
  {
    for (const char* name : { "haufiku", "daugava" }) {
      const auto spec = DeploymentSpec::Named(name);
      REQUIRE(spec.has_value());
      const double capacity = IdealCapacity(*spec).Capacity();
      const IdealCapacity slow(*spec, { { spec->mDeepService, 5.0 } });
      for (const auto& [ideal, demand] :
           { std::pair{ IdealCapacity(*spec), 4.0 }, std::pair{ slow, 2.0 } }) {
        for (const ServiceSpec& service : spec->mServices) {
          double needed = 0.0;
          for (const RequestKind& kind : spec->mKinds) {
            const auto seconds = ideal.SlotSeconds(kind);
            const auto found = seconds.find(service.mName);
            if (kind.mImportant && found != seconds.end()) {
              needed += demand * capacity * kind.mShare * found->second;
            }
          }
          const auto slots =
            static_cast<double>(service.mServers * service.mSlots);
          CHECK_MESSAGE(needed <= 0.8 * slots, name << " " << service.mName);
        }
      }
    }
  }
}
