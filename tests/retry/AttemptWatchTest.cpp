#include "retry/AttemptWatch.h"

#include <doctest/doctest.h>
#include <optional>

using namespace nutmegrock;
using std::chrono::milliseconds;

// Load pattern: a deep service loses a third of its answers without a reset, so
// that calls hang until the time limit of the request above. Guards against
// requests that fail since one of their ten calls was never answered.
TEST_CASE("an attempt without an answer for long is given up")
{
  retry::AttemptWatch watch;
  CHECK(!watch.IsLost("roster", milliseconds(5000), std::nullopt));
  for (int i = 0; i < 100; ++i) {
    watch.OnAnswer("roster", milliseconds(i % 2 == 0 ? 30 : 50));
    watch.OnAnswer("check", milliseconds(500));
  }
  CHECK(watch.IsLost("roster", milliseconds(200), std::nullopt));
  CHECK(watch.IsLost("roster", milliseconds(200), 0.7));
  CHECK(!watch.IsLost("roster", milliseconds(120), 0.7));
  CHECK(!watch.IsLost("check", milliseconds(700), 0.7));
}

// Load pattern: a burst fills the queues. Guards against further attempts that
// add to an overload because its calls wait.
TEST_CASE("an attempt at a loaded service is not given up")
{
  retry::AttemptWatch watch;
  for (int i = 0; i < 100; ++i) {
    watch.OnAnswer("roster", milliseconds(30));
  }
  CHECK(!watch.IsLost("roster", milliseconds(400), 1.2));
}

TEST_CASE("a route is judged only after enough answers")
{
  retry::AttemptWatch watch;
  for (int i = 0; i < 20; ++i) {
    watch.OnAnswer("roster", milliseconds(1));
  }
  CHECK(!watch.IsLost("roster", milliseconds(400), std::nullopt));
}
