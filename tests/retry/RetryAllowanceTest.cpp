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

// Every first attempt at each of four hops fails once, with one call per run.
// Hops that each keep to their own share must not exceed the bound together:
// calls of retried runs count as retries at each service below.
TEST_CASE("the hops of a chain keep to the bound together")
{
  constexpr int kHops = 4;
  constexpr double kBound = 0.2;
  RetryAllowanceSettings settings;
  settings.mExtraRetries = 0;
  std::vector<RetryAllowance> allowances(kHops, RetryAllowance(settings));
  std::vector<RetryShare> shares(kHops);
  std::vector<double> requests(kHops, 0);
  std::vector<double> retries(kHops, 0);
  core::TimePoint now = kStart;
  for (int i = 0; i < 8000; ++i) {
    now += milliseconds(1);
    double retry_share = 0;
    for (int hop = 0; hop < kHops; ++hop) {
      const std::string service = std::to_string(hop);
      allowances[hop].OnRequest(now, service, retry_share);
      requests[hop] += 1;
      retries[hop] += retry_share;
      const bool again = allowances[hop].Take(now, service);
      shares[hop].OnRun(now, retry_share);
      if (again) {
        retries[hop] += 1;
        shares[hop].OnRun(now, 1);
      }
      retry_share = shares[hop].Share();
    }
  }
  for (int hop = 0; hop < kHops; ++hop) {
    CAPTURE(hop);
    CHECK(retries[hop] <= kBound * requests[hop]);
  }
  CHECK(retries[0] > 0.05 * requests[0]);
}

TEST_CASE("the allowance is per window and shared by the nodes")
{
  RetryAllowanceSettings settings;
  settings.mRatio = 0.2;
  settings.mHopShare = 0.5;
  settings.mExtraRetries = 20;
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

// Guards against bounds that change while a node runs and are not followed, and
// against granting a window's retries twice because of the change.
TEST_CASE("changed settings apply from the next retry on")
{
  RetryAllowanceSettings settings;
  settings.mExtraRetries = 2;
  RetryAllowance allowance(settings);
  CHECK(allowance.Take(kStart, "a"));
  CHECK(allowance.Take(kStart, "a"));
  CHECK(!allowance.Take(kStart, "a"));
  settings.mExtraRetries = 3;
  allowance.SetSettings(settings);
  CHECK(allowance.Take(kStart, "a"));
  CHECK(!allowance.Take(kStart, "a"));
  settings.mWindow = std::chrono::seconds(5);
  allowance.SetSettings(settings);
  allowance.OnRequest(kStart, "a", 0);
  CHECK(allowance.Remaining(kStart, "a") > 0);
}
