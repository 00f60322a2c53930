#include "announce/ServerState.h"

#include <array>

namespace nutmegrock::announce {

namespace {

using enum ServerState;

struct Row
{
  std::string_view mName;
  /// The states after each event, in the order of ServerEvent.
  std::array<ServerState, kServerEvents> mNext;
};

// clang-format off
constexpr std::array<Row, kServerStates> kRows{ {
  // OldHeartbeat, Heartbeat, Identified, Failing, Contradicted, Left
  { "absent", { Absent, Absent, Absent, Absent, Absent, Absent } },
  { "pending", { Pending, Announced, Proven, Rejected, Rejected, Leaving } },
  { "rejected", { Pending, Announced, Proven, Rejected, Rejected, Leaving } },
  { "announced", { Announced, Announced, Proven, Announced, Doubted, Leaving } },
  { "proven", { Proven, Proven, Proven, Proven, Doubted, Leaving } },
  { "doubted", { Doubted, Doubted, Proven, Doubted, Doubted, Leaving } },
  { "leaving", { Leaving, Leaving, Leaving, Leaving, Leaving, Leaving } },
} };
// clang-format on

} // namespace

std::string_view
NameOf(ServerState aState)
{
  return kRows.at(static_cast<std::size_t>(aState)).mName;
}

ServerState
StateAfter(ServerState aState, ServerEvent aEvent)
{
  return kRows.at(static_cast<std::size_t>(aState))
    .mNext.at(static_cast<std::size_t>(aEvent));
}

} // namespace nutmegrock::announce
