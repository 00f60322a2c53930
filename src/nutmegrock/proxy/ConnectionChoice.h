#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegrock::proxy {

/// What a connection of a caller waits for.
enum class ConnectionWait : std::uint8_t
{
  /// The next request.
  Request,
  /// The caller has to send the rest of a request or to read a response.
  Caller,
  /// This node has to respond.
  Node
};

struct ConnectionState
{
  ConnectionWait mWait = ConnectionWait::Request;
  /// Time of the last response, or of the last progress in sending a request or
  /// reading a response.
  core::TimePoint mSince;
  /// Memory that its requests and responses take.
  std::size_t mBytes = 0;

  bool operator==(const ConnectionState&) const = default;
};

/// Returns the index of the connection to close for a new one: the one that is
/// idle for the longest time, or else the one whose caller has made no progress
/// for the longest time. Returns nothing if none has been so for half a second.
std::optional<std::size_t>
ChooseForRoom(core::TimePoint aNow,
              const std::vector<ConnectionState>& aConnections);

/// Returns the indexes of the connections to close so that at least aBytes are
/// free, if possible: first those whose caller has made no progress for half a
/// second, then the others, the largest first.
std::vector<std::size_t>
ChooseForMemory(core::TimePoint aNow,
                const std::vector<ConnectionState>& aConnections,
                std::size_t aBytes);

} // namespace nutmegrock::proxy
