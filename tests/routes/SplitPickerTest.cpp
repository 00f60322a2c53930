#include "routes/SplitPicker.h"

#include <doctest/doctest.h>
#include <map>

using namespace nutmegrock::routes;

namespace {

Route
SplitRoute(std::uint32_t aFirst, std::uint32_t aSecond)
{
  Route route;
  route.mName = "split";
  route.mTargets = { { "old", aFirst }, { "new", aSecond } };
  return route;
}

} // namespace

// Guards against shares that hold only on average: each target must match its
// weight even over short windows.
TEST_CASE("each target is within one request of its share at any time")
{
  const Route route = SplitRoute(90, 10);
  for (const std::uint64_t offset : { 0U, 7U, 99U, 12345U }) {
    SplitPicker picker(offset);
    std::map<std::string, int> counts;
    for (int i = 1; i <= 500; ++i) {
      ++counts[picker.Pick(route)];
      CHECK(counts["new"] >= i * 0.1 - 1.0001);
      CHECK(counts["new"] <= i * 0.1 + 1.0001);
    }
  }
}

TEST_CASE("a changed weight takes effect immediately")
{
  SplitPicker picker(0);
  for (int i = 0; i < 5; ++i) {
    picker.Pick(SplitRoute(1, 1));
  }
  std::map<std::string, int> counts;
  for (int i = 0; i < 100; ++i) {
    ++counts[picker.Pick(SplitRoute(1, 3))];
  }
  CHECK(counts["old"] == 25);
}
