#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace nutmegrock::announce {

/// What a node believes of the server that it knows at the address.
enum class ServerState : std::uint8_t
{
  /// No server is known.
  Absent,
  /// A heartbeat has announced it, but it may have left since.
  Pending,
  /// It was pending, and a health check contradicted it.
  Rejected,
  /// A heartbeat has announced it; in use.
  Announced,
  /// A health check or an answer has identified it; in use.
  Proven,
  /// An answer, a health check or the heartbeat of another server contradicts
  /// it; in use until a health check decides.
  Doubted,
  /// It has announced that it leaves. Final for one start of a server.
  Leaving
};

constexpr std::size_t kServerStates = 7;

/// What a node learns of the server that it knows.
enum class ServerEvent : std::uint8_t
{
  /// A heartbeat that may have been sent before the server left.
  OldHeartbeat,
  /// A heartbeat of a server that has not left.
  Heartbeat,
  /// A health check or an answer names the server.
  Identified,
  /// A health check finds it leaving or failing.
  Failing,
  /// An answer or a health check shows another server at the address.
  Contradicted,
  Left
};

constexpr std::size_t kServerEvents = 6;

/// "absent", "pending" and so on.
std::string_view
NameOf(ServerState aState);

/// Returns the state of a server after an event.
ServerState
StateAfter(ServerState aState, ServerEvent aEvent);

} // namespace nutmegrock::announce
