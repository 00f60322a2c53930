#pragma once

#include "announce/Announcement.h"
#include "core/Error.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace nutmegrock::announce {

/// Readiness of the local backend server.
enum class ServerPhase : std::uint8_t
{
  /// No server has announced itself, or its heartbeats have stopped.
  Absent,
  Serving,
  /// The server has announced that it leaves; accepted work finishes.
  Leaving
};

/// "absent", "serving" or "leaving".
std::string_view
NameOf(ServerPhase aPhase);

struct LocalServerSettings
{
  /// Service and address from the node's settings. A heartbeat with other
  /// values is not from this server and is refused.
  std::string mService;
  core::Address mAddress;
  /// Time after the acknowledged leave during which requests already sent by
  /// other nodes are still forwarded. Must be shorter than the limit within
  /// which new work has to stop.
  core::Duration mLeaveGracePeriod = std::chrono::milliseconds{ 800 };
  /// The server counts as absent when heartbeats are missing for this long.
  /// Failing requests reveal a crash sooner.
  core::Duration mHeartbeatLifetime = std::chrono::seconds{ 12 };
};

/// What the node knows about its local backend server from heartbeats, leaves
/// and health checks. Not thread-safe.
class LocalServer
{
public:
  explicit LocalServer(LocalServerSettings aSettings);

  /// Processes a heartbeat. Returns true if the phase or identity changed.
  /// Fails with BadRequest when it cannot be from this server, and with
  /// VersionConflict when a later start or a later heartbeat is already known;
  /// nothing changes then.
  core::Expected<bool> OnHeartbeat(core::TimePoint aNow,
                                   const Announcement& aAnnouncement);
  /// Records that the given start of that identity has left or is about to
  /// leave; aStartedMs as in Announcement. Returns true if the phase changed.
  /// An unknown identity is remembered too, so that a heartbeat still in
  /// transit does not bring it back.
  bool OnLeave(core::TimePoint aNow,
               const std::string& aId,
               std::int64_t aStartedMs);

  /// A health check of the server at the address succeeded. A node that has
  /// just started identifies the server this way before its next heartbeat.
  /// After the first heartbeat it only confirms that one. Returns true if the
  /// phase changed.
  bool OnHealthy(core::TimePoint aNow,
                 const std::string& aId,
                 std::uint32_t aSlots);

  /// A health check found the server leaving or failing. After a start of the
  /// node its only heartbeat so far may be a late one of a server that has left
  /// since, so the server counts as absent until the next heartbeat. Returns
  /// true if the phase changed.
  bool OnUnhealthy();
  /// Returns true if a health check can tell something: no server is known, or
  /// only from one heartbeat, which may be late.
  bool NeedsCheck() const;

  ServerPhase Phase(core::TimePoint aNow) const;
  /// Returns true if the server may start work: it is serving, or has been
  /// leaving for less than mLeaveGracePeriod.
  bool CanStartWork(core::TimePoint aNow) const;
  /// Latest announcement; empty when there is none yet.
  const std::optional<Announcement>& Latest() const { return mLatest; }

private:
  bool IsStale(const Announcement& aAnnouncement) const;

  const LocalServerSettings mSettings;
  std::optional<Announcement> mLatest;
  core::TimePoint mLastHeartbeatAt;
  std::optional<core::TimePoint> mLeavingSince;
  /// The server is known from one heartbeat only, and no health check has
  /// succeeded.
  bool mUnconfirmed = false;
  /// A health check contradicts that heartbeat.
  bool mDoubted = false;
  /// Identities that have left, each with its latest known start time.
  std::map<std::string, std::int64_t> mDeparted;
};

} // namespace nutmegrock::announce
