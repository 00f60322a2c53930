#include "tests/quota/AllowanceModel.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace nutmegrock;
using nutmegrock::tests::AllowanceModel;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kNodes = 70;
constexpr std::size_t kTenants = 77;
constexpr double kHot = 7;
constexpr unsigned kSeeds[] = { 1, 2, 3 };

/// The largest part of the bound that any tenant uses.
double
WorstUse(const AllowanceModel& aModel, core::TimePoint aFrom = {})
{
  double worst = 0;
  for (std::size_t i = 0; i < kTenants; ++i) {
    worst = std::max(worst, aModel.WorstUse(i, aFrom));
  }
  return worst;
}

/// Share of the requests of all tenants but one refused at connected nodes.
double
RefusedOfOthers(AllowanceModel& aModel,
                std::size_t aExcept,
                core::TimePoint aFrom)
{
  double refused = 0;
  double asked = 0;
  for (std::size_t i = 0; i < kTenants; ++i) {
    const auto& tenant = aModel.Tenants()[i];
    const auto since = [aFrom](const std::vector<core::TimePoint>& aTimes) {
      return static_cast<double>(
        std::count_if(aTimes.begin(), aTimes.end(), [aFrom](auto aTime) {
          return aTime >= aFrom;
        }));
    };
    if (i != aExcept) {
      refused += since(tenant.mRefusedConnected);
      asked += since(tenant.mAskedConnected);
    }
  }
  return refused / asked;
}

/// A tenant at seven times its usual rate for 6 s.
void
Surge(AllowanceModel& aModel, std::size_t aTenant)
{
  const double usual = aModel.Tenants()[aTenant].mDemand;
  aModel.SetDemand(aTenant, usual * kHot);
  aModel.Run(milliseconds(6'000));
  aModel.SetDemand(aTenant, usual);
}

} // namespace

// Guards against refusals within the allowance, as equal shares of the nodes
// would cause for the smallest tenant, and against a message for each request.
TEST_CASE("tenants within their allowance are served")
{
  for (const unsigned seed : kSeeds) {
    CAPTURE(seed);
    AllowanceModel model(seed, kNodes, kTenants);
    const auto start = model.Now();
    model.Run(milliseconds(30'000));
    double worst = 0;
    for (std::size_t i = 0; i < kTenants; ++i) {
      worst = std::max(worst, model.RefusedShare(i, start, model.Now()));
    }
    const double messages = static_cast<double>(model.Messages()) /
                            static_cast<double>(model.Requests());
    MESSAGE("seed " << seed << ": refused "
                    << RefusedOfOthers(model, kTenants, start)
                    << ", worst tenant " << worst << ", messages a request "
                    << messages << ", of these contacts "
                    << static_cast<double>(model.Contacts()) /
                         static_cast<double>(model.Messages())
                    << ", worst use " << WorstUse(model));
    CHECK(worst < 0.02);
    CHECK(RefusedOfOthers(model, kTenants, start) < 0.001);
    CHECK(messages < 2.5);
    CHECK(WorstUse(model) <= 1);
  }
}

// Guards against a tenant that executes more than its allowance or takes away
// that of others, and against messages for requests that are refused.
TEST_CASE("a tenant at seven times its usual rate gets its allowance only")
{
  for (const std::size_t hot :
       { std::size_t{ 0 }, std::size_t{ 10 }, kTenants - 1 }) {
    CAPTURE(hot);
    AllowanceModel model(4, kNodes, kTenants);
    model.Run(milliseconds(3'000));
    const auto start = model.Now();
    const auto& tenant = model.Tenants()[hot];
    const std::size_t before = tenant.mExecuted.size();
    const auto messages = model.Messages();
    const auto requests = model.Requests();
    Surge(model, hot);
    const double served =
      static_cast<double>(tenant.mExecuted.size() - before) /
      (tenant.mRate * 6 + tenant.mBurst);
    MESSAGE("tenant " << hot << " at 7 times: served of the allowance "
                      << served << ", worst use " << WorstUse(model)
                      << ", messages a request "
                      << static_cast<double>(model.Messages() - messages) /
                           static_cast<double>(model.Requests() - requests));
    CHECK(served > 0.85);
    CHECK(WorstUse(model) <= 1);
    model.Run(milliseconds(5'000));
    CHECK(RefusedOfOthers(model, hot, start) < 0.001);
    // The allowance is there again after the surge.
    CHECK(model.RefusedShare(
            hot, model.Now() - milliseconds(3'000), model.Now()) < 0.02);
  }
}

// Guards against nodes that are cut off and execute the allowance again, each
// by itself or together with the connected ones.
TEST_CASE("a third of the nodes cut off does not raise the sum")
{
  for (const unsigned seed : kSeeds) {
    for (const std::size_t hot :
         { std::size_t{ 0 }, std::size_t{ 5 }, kTenants - 1 }) {
      CAPTURE(seed);
      CAPTURE(hot);
      AllowanceModel model(seed, kNodes, kTenants);
      model.Run(milliseconds(3'000));
      const auto start = model.Now();
      for (std::size_t i = 0; i < kNodes / 3; ++i) {
        model.CutOff(3 * i + seed % 3);
      }
      model.Run(milliseconds(1'000));
      Surge(model, hot);
      model.Run(milliseconds(5'000));
      for (std::size_t i = 0; i < kNodes / 3; ++i) {
        model.Reconnect(3 * i + seed % 3);
      }
      model.Run(milliseconds(6'000));
      MESSAGE("seed " << seed << ", hot " << hot << ": worst use "
                      << WorstUse(model) << ", refused of others "
                      << RefusedOfOthers(model, hot, start));
      CHECK(WorstUse(model) <= 1);
      CHECK(RefusedOfOthers(model, hot, model.Now() - milliseconds(2'000)) <
            0.01);
    }
  }
}

// Guards against an owner that executes the whole allowance by itself while the
// others use theirs without it.
TEST_CASE("an owner that is cut off does not raise the sum")
{
  for (const unsigned seed : kSeeds) {
    for (const std::size_t hot : { std::size_t{ 0 }, std::size_t{ 5 } }) {
      CAPTURE(seed);
      CAPTURE(hot);
      AllowanceModel model(seed, kNodes, kTenants);
      model.Run(milliseconds(3'000));
      const std::size_t owner = model.OwnerOf(hot);
      const double usual = model.Tenants()[hot].mDemand;
      model.CutOff(owner);
      model.SetDemand(hot, usual * kHot);
      model.Run(milliseconds(12'000 + 1'000 * seed));
      model.Reconnect(owner);
      model.Run(milliseconds(8'000));
      MESSAGE("seed " << seed << ", hot " << hot << ": worst use "
                      << WorstUse(model));
      CHECK(WorstUse(model) <= 1);
    }
  }
}

// Guards against a new owner that adds a burst, and against an allowance that
// is lost until the failure of its owner is detected.
TEST_CASE("the death of an owner costs a part of the allowance for a while")
{
  for (const bool is_hot : { false, true }) {
    for (const std::size_t tenant :
         { std::size_t{ 0 }, std::size_t{ 10 }, kTenants - 1 }) {
      CAPTURE(is_hot);
      CAPTURE(tenant);
      AllowanceModel model(7, kNodes, kTenants);
      model.Run(milliseconds(3'000));
      if (is_hot) {
        model.SetDemand(tenant, model.Tenants()[tenant].mDemand * kHot);
      }
      const auto death = model.Now();
      model.Kill(model.OwnerOf(tenant));
      model.Run(milliseconds(30'000));
      const auto lost = [&](int aFromMs, int aToMs) {
        return model.RefusedShare(
          tenant, death + milliseconds(aFromMs), death + milliseconds(aToMs));
      };
      MESSAGE("tenant " << tenant << std::string(is_hot ? " hot" : "")
                        << ": refused in the first 2 s " << lost(0, 2'000)
                        << ", 2 to 13 s " << lost(2'000, 13'000)
                        << ", 13 to 18 s " << lost(13'000, 18'000) << ", later "
                        << lost(18'000, 30'000) << ", worst use "
                        << WorstUse(model));
      CHECK(WorstUse(model) <= 1);
      if (!is_hot) {
        // At the smallest tenant a node has a request each 20 s, and its part
        // of the bound is a third of a token.
        CHECK(lost(2'000, 13'000) < (tenant == 0    ? 0.1
                                     : tenant == 10 ? 0.7
                                                    : 0.9));
        CHECK(lost(18'000, 30'000) < 0.02);
      }
    }
  }
}

// Guards against a gap or a second burst when an owner stops as planned.
TEST_CASE("the tenants of an owner that leaves go on with the next one")
{
  for (const bool is_hot : { false, true }) {
    for (const std::size_t tenant :
         { std::size_t{ 0 }, std::size_t{ 10 }, kTenants - 1 }) {
      CAPTURE(is_hot);
      CAPTURE(tenant);
      AllowanceModel model(8, kNodes, kTenants);
      model.Run(milliseconds(3'000));
      const double usual = model.Tenants()[tenant].mDemand;
      if (is_hot) {
        model.SetDemand(tenant, usual * kHot);
      }
      const auto leave = model.Now();
      model.Leave(model.OwnerOf(tenant));
      model.Run(milliseconds(15'000));
      const double lost =
        model.RefusedShare(tenant, leave, leave + milliseconds(10'000));
      MESSAGE("tenant " << tenant << std::string(is_hot ? " hot" : "")
                        << ": refused " << lost << ", worst use "
                        << WorstUse(model));
      CHECK(WorstUse(model) <= 1);
      if (!is_hot) {
        CHECK(lost < 0.2);
      }
    }
  }
}

// Guards against nodes that start with the allowance of a mesh of their own.
TEST_CASE("many nodes that restart at once do not raise the sum")
{
  for (const unsigned seed : kSeeds) {
    CAPTURE(seed);
    AllowanceModel model(seed, kNodes, kTenants);
    model.Run(milliseconds(3'000));
    model.SetDemand(0, model.Tenants()[0].mDemand * kHot);
    model.SetDemand(kTenants - 1, model.Tenants()[kTenants - 1].mDemand * kHot);
    const auto start = model.Now();
    for (std::size_t i = 0; i < kNodes / 3; ++i) {
      model.Kill(3 * i);
    }
    model.Run(milliseconds(300));
    for (std::size_t i = 0; i < kNodes / 3; ++i) {
      model.Restart(3 * i);
    }
    model.Run(milliseconds(20'000));
    MESSAGE("seed " << seed << ": worst use " << WorstUse(model)
                    << ", refused of others "
                    << RefusedOfOthers(model, 0, start));
    CHECK(WorstUse(model) <= 1);
  }
}

// Guards against a limit that binds only when the tokens of the former one are
// spent.
TEST_CASE("a limit far below the demand is in force a window later")
{
  for (const std::size_t tenant : { std::size_t{ 0 }, kTenants - 1 }) {
    CAPTURE(tenant);
    AllowanceModel model(9, kNodes, kTenants);
    model.Run(milliseconds(3'000));
    const double demand = model.Tenants()[tenant].mDemand;
    model.SetLimit(tenant, demand / 10, demand / 10);
    model.Run(milliseconds(2'500));
    const auto in_force = model.Now();
    model.Run(milliseconds(15'000));
    MESSAGE("tenant " << tenant << ": worst use "
                      << model.WorstUse(tenant, in_force));
    CHECK(model.WorstUse(tenant, in_force) <= 1);
  }
}
