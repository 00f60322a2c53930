#include "overload/CallerWindows.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <vector>

using namespace nutmegrock::overload;

namespace {

/// Calls in progress of the nodes 1, 2 and so on.
CallerWindows
WindowsWith(const std::vector<std::uint32_t>& aCalls)
{
  CallerWindows windows;
  for (std::uint32_t node = 0; node < aCalls.size(); ++node) {
    for (std::uint32_t i = 0; i < aCalls[node]; ++i) {
      windows.OnStart(node + 1);
    }
  }
  return windows;
}

double
AllowedOf(const std::vector<std::uint32_t>& aCalls, std::uint32_t aWindow)
{
  return std::accumulate(
    aCalls.begin(), aCalls.end(), 0.0, [&](double aSum, std::uint32_t aOfNode) {
      return aSum + std::min(aOfNode, aWindow);
    });
}

/// Calls that the nodes may have beyond the slots, because a run is not always
/// in a call.
constexpr double kOversubscription = 1.06;

} // namespace

// Guards against runs that are limited before the first response.
TEST_CASE("nothing is said before the first update, then all is open")
{
  CallerWindows windows;
  CHECK(windows.Window() == 0);
  windows.Update(100, 0);
  CHECK(windows.Window() == 106);
}

// Guards against a window by the number of nodes, which leaves slots unused.
TEST_CASE("nodes that use less leave the rest to the others")
{
  // 106 calls: 5 and 21 stay below an equal share, the other two have 40 each.
  CallerWindows windows = WindowsWith({ 5, 21, 100, 60 });
  windows.Update(100, 0);
  CHECK(windows.Window() == 40);
}

// Guards against calls that wait at a full server.
TEST_CASE("what the windows allow together fits the limit")
{
  const std::vector<std::vector<std::uint32_t>> patterns = {
    { 300 },
    { 200, 200 },
    { 1, 1, 1, 500 },
    { 90, 80, 70, 60, 50, 40, 30 },
    std::vector<std::uint32_t>(25, 20),
    { 0, 107 },
    { 53, 54 },
  };
  for (const auto& calls : patterns) {
    for (const std::uint32_t limit : { 13U, 100U, 250U }) {
      CAPTURE(calls.size());
      CAPTURE(limit);
      CallerWindows windows = WindowsWith(calls);
      windows.Update(limit, 0);
      const double asked = std::accumulate(calls.begin(), calls.end(), 0.0);
      const double allowed = AllowedOf(calls, windows.Window());
      const auto rounding = static_cast<double>(calls.size());
      CHECK(allowed <= kOversubscription * limit + rounding);
      // All of the limit is given away.
      CHECK(allowed >= std::min(asked, kOversubscription * limit) - 1e-9);
      CHECK(windows.Window() >= 1);
    }
  }
}

// Guards against a window that stays small after an overload, and against one
// that opens at once and floods the server.
TEST_CASE("the window grows step by step while there is room")
{
  CallerWindows windows = WindowsWith({ 100, 100, 100, 100 });
  windows.Update(100, 0);
  REQUIRE(windows.Window() == 27);
  for (std::uint32_t node = 1; node <= 4; ++node) {
    for (int i = 0; i < 80; ++i) {
      windows.OnEnd(node);
    }
  }
  windows.Update(100, 0);
  CHECK(windows.Window() > 27);
  CHECK(windows.Window() <= 30);
  int updates = 1;
  while (windows.Window() < 106 && updates < 100) {
    const std::uint32_t before = windows.Window();
    windows.Update(100, 0);
    ++updates;
    CHECK(windows.Window() > before);
    CHECK(windows.Window() <= before * 1.05 + 2);
  }
  // Within a second.
  CHECK(updates <= 50);
  windows.Update(100, 0);
  CHECK(windows.Window() == 106);
}

// Guards against shares kept for nodes that have left.
TEST_CASE("a node that ends all its calls is forgotten")
{
  CallerWindows windows = WindowsWith({ 30, 100, 100 });
  windows.Update(100, 0);
  REQUIRE(windows.Window() == 38);
  for (int i = 0; i < 30; ++i) {
    windows.OnEnd(1);
  }
  windows.Update(100, 0);
  CHECK(windows.Window() == 53);
  // Ends of calls of an unknown node change nothing.
  windows.OnEnd(1);
  windows.OnEnd(9);
  windows.Update(100, 0);
  CHECK(windows.Window() == 53);
}

// Guards against requests of callers that wait behind nested calls.
TEST_CASE("direct requests take precedence over nested calls")
{
  CallerWindows windows = WindowsWith({ 100, 100 });
  windows.Update(100, 40);
  CHECK(windows.Window() == 33);
  // The calls of other nodes still go on.
  windows.Update(100, 100);
  CHECK(windows.Window() == 3);
  windows.Update(100, 500);
  CHECK(windows.Window() == 1);
  windows.Update(100, 0);
  CHECK(windows.Window() == 53);
}
