#include "announce/ServerState.h"

#include <array>
#include <doctest/doctest.h>

using namespace nutmegrock::announce;

namespace {

std::array<ServerState, kServerStates>
AllStates()
{
  std::array<ServerState, kServerStates> states{};
  for (std::size_t i = 0; i < kServerStates; ++i) {
    states.at(i) = static_cast<ServerState>(i);
  }
  return states;
}

bool
IsInUse(ServerState aState)
{
  return aState == ServerState::Announced || aState == ServerState::Proven ||
         aState == ServerState::Doubted;
}

} // namespace

// Guards against a pair of events whose order changes what they mean.
TEST_CASE("each pair of events in each order leaves a state that they explain")
{
  for (const ServerState start : AllStates()) {
    for (std::size_t i = 0; i < kServerEvents * kServerEvents; ++i) {
      const auto first = static_cast<ServerEvent>(i / kServerEvents);
      const auto second = static_cast<ServerEvent>(i % kServerEvents);
      const ServerState between = StateAfter(start, first);
      const ServerState end = StateAfter(between, second);
      CAPTURE(NameOf(start));
      CAPTURE(i / kServerEvents);
      CAPTURE(i % kServerEvents);
      if (start == ServerState::Absent) {
        CHECK(end == ServerState::Absent);
        continue;
      }
      // A leave is final.
      const bool left = start == ServerState::Leaving ||
                        first == ServerEvent::Left ||
                        second == ServerEvent::Left;
      CHECK((end == ServerState::Leaving) == left);
      if (left) {
        continue;
      }
      // What identifies a server outweighs all before it.
      CHECK((second != ServerEvent::Identified || end == ServerState::Proven));
      CHECK((second != ServerEvent::Contradicted ||
             end == ServerState::Doubted || end == ServerState::Rejected));
      // A heartbeat alone proves nothing and ends no doubt.
      if (second == ServerEvent::Heartbeat ||
          second == ServerEvent::OldHeartbeat) {
        CHECK((end == ServerState::Proven) == (between == ServerState::Proven));
        CHECK((end == ServerState::Doubted) ==
              (between == ServerState::Doubted));
      }
      // Only a check, an answer or a heartbeat in time puts a server in use,
      // and one in use is not taken out by failing checks.
      const bool may_use = IsInUse(start) || first == ServerEvent::Identified ||
                           first == ServerEvent::Heartbeat ||
                           second == ServerEvent::Identified ||
                           second == ServerEvent::Heartbeat;
      CHECK((may_use || !IsInUse(end)));
      CHECK((!IsInUse(start) || IsInUse(end)));
    }
  }
}

TEST_CASE("the states of a server have names of their own")
{
  for (const ServerState state : AllStates()) {
    CHECK(!NameOf(state).empty());
    for (const ServerState other : AllStates()) {
      CHECK((NameOf(state) == NameOf(other)) == (state == other));
    }
  }
}
