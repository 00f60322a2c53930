#include "retry/RetryAllowance.h"
#include "retry/RetryShare.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::retry;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };

} // namespace

// Load pattern: every attempt at each of four hops fails once, with one call a
// run. Guards against hops that each keep their share and break the bound
// together: calls of repeated runs count as repeats at each service below.
TEST_CASE("the hops of a chain keep to the bound together")
{
  constexpr int kHops = 4;
  constexpr double kBound = 0.2;
  RetryAllowanceSettings settings;
  settings.mExtraAttempts = 0;
  std::vector<RetryAllowance> allowances(kHops, RetryAllowance(settings));
  std::vector<RetryShare> shares(kHops);
  std::vector<double> requests(kHops, 0);
  std::vector<double> repeats(kHops, 0);
  core::TimePoint now = kStart;
  for (int i = 0; i < 8000; ++i) {
    now += milliseconds(1);
    double repeat = 0;
    for (int hop = 0; hop < kHops; ++hop) {
      const std::string service = std::to_string(hop);
      allowances[hop].OnRequest(now, service, repeat);
      requests[hop] += 1;
      repeats[hop] += repeat;
      const bool again = allowances[hop].Take(now, service);
      shares[hop].OnRun(now, repeat);
      if (again) {
        repeats[hop] += 1;
        shares[hop].OnRun(now, 1);
      }
      repeat = shares[hop].Share();
    }
  }
  for (int hop = 0; hop < kHops; ++hop) {
    CAPTURE(hop);
    CHECK(repeats[hop] <= kBound * requests[hop]);
  }
  CHECK(repeats[0] > 0.05 * requests[0]);
}

TEST_CASE("the allowance is of the window and shared by the nodes")
{
  RetryAllowanceSettings settings;
  settings.mRatio = 0.2;
  settings.mHopPart = 0.5;
  settings.mExtraAttempts = 20;
  RetryAllowance allowance(settings);
  allowance.SetNodes(10);
  CHECK(allowance.Remaining(kStart, "till") == doctest::Approx(2));
  CHECK(allowance.Take(kStart, "till"));
  CHECK(allowance.Take(kStart, "till"));
  CHECK(!allowance.Take(kStart, "till"));
  for (int i = 0; i < 30; ++i) {
    allowance.OnRequest(kStart, "till", 0);
  }
  CHECK(allowance.Remaining(kStart, "till") == doctest::Approx(3));
  CHECK(allowance.Remaining(kStart + std::chrono::seconds(12), "till") ==
        doctest::Approx(2));
  CHECK(allowance.Remaining(kStart, "tracker") == doctest::Approx(2));
}
