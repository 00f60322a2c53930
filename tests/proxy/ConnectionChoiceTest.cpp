#include "proxy/ConnectionChoice.h"
#include "proxy/BufferBudget.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::proxy;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kNow{ std::chrono::seconds(100) };

ConnectionState
State(ConnectionWait aWait, int aAgeMs, std::size_t aBytes = 0)
{
  return { aWait, kNow - milliseconds(aAgeMs), aBytes };
}

constexpr auto kRequest = ConnectionWait::Request;
constexpr auto kCaller = ConnectionWait::Caller;
constexpr auto kNode = ConnectionWait::Node;

} // namespace

// Guards against callers that are refused because others hold connections
// without progress, and against closing one whose request is being served.
TEST_CASE("idle connections make room first, then those without progress")
{
  CHECK(ChooseForRoom(kNow, {}) == std::nullopt);
  CHECK(ChooseForRoom(kNow,
                      { State(kCaller, 9000),
                        State(kRequest, 600),
                        State(kRequest, 700),
                        State(kNode, 9000) }) == 2);
  CHECK(ChooseForRoom(kNow,
                      { State(kCaller, 600),
                        State(kCaller, 700),
                        State(kRequest, 400),
                        State(kNode, 9000) }) == 1);
  CHECK(ChooseForRoom(
          kNow,
          { State(kCaller, 400), State(kRequest, 400), State(kNode, 9000) }) ==
        std::nullopt);
}

// Guards against a caller that sends its body being closed for many that hold
// more, or the same without progress.
TEST_CASE("callers without progress free memory first, the largest first")
{
  const std::vector<ConnectionState> states{
    State(kNode, 9000, 300'000),  State(kCaller, 100, 200'000),
    State(kCaller, 600, 10'000),  State(kCaller, 700, 100'000),
    State(kRequest, 900, 50'000), State(kCaller, 9000, 100),
  };
  using Indexes = std::vector<std::size_t>;
  CHECK(ChooseForMemory(kNow, states, 1) == Indexes{ 3 });
  CHECK(ChooseForMemory(kNow, states, 100'001) == Indexes{ 3, 2 });
  CHECK(ChooseForMemory(kNow, states, 110'001) == Indexes{ 3, 2, 0 });
  CHECK(ChooseForMemory(kNow, states, 10'000'000) == Indexes{ 3, 2, 0, 1, 4 });
}

// Guards against a search of all connections for each request while memory is
// short, and against none after the first.
TEST_CASE("a budget reports once until it is armed again")
{
  int reports = 0;
  BufferBudget budget(100, [&] { ++reports; });
  budget.Change(0, 50);
  CHECK_FALSE(budget.IsTight());
  budget.Change(50, 60);
  CHECK(budget.IsTight());
  budget.Change(0, 41);
  budget.Change(0, 41);
  CHECK(reports == 1);
  CHECK(budget.Used() == 142);
  budget.Rearm();
  budget.Change(41, 42);
  CHECK(reports == 2);
  budget.Change(42, 0);
  budget.Change(41, 0);
  budget.Rearm();
  budget.Change(0, 40);
  CHECK(reports == 2);
  CHECK(budget.Used() == 100);
}
