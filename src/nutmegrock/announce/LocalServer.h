#pragma once

#include "announce/Announcement.h"
#include "core/Error.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace nutmegrock::announce {

/// Readiness of the backend server beside the node.
enum class ServerPhase : std::uint8_t
{
  /// No server has announced itself, or its heartbeats have stopped.
  Absent,
  Serving,
  /// It has said that it leaves: accepted work finishes.
  Leaving
};

/// "absent", "serving" or "leaving".
std::string_view
NameOf(ServerPhase aPhase);

struct LocalServerSettings
{
  /// The service and address that the node's settings name. A heartbeat that
  /// says otherwise comes from somebody else and is refused.
  std::string mService;
  core::Address mAddress;
  /// Time after the acknowledged leave for which requests that other nodes have
  /// already sent are still passed on. It must be shorter than the bound within
  /// which new work has to end.
  core::Duration mLeaveSlack = std::chrono::milliseconds{ 800 };
  /// Heartbeats may be missing for this long before the server counts as
  /// absent. Requests that fail show a crash sooner.
  core::Duration mHeartbeatLifetime = std::chrono::seconds{ 12 };
};

/// What the node knows about the backend server beside it, from its heartbeats
/// and its leave. Not synchronized.
class LocalServer
{
public:
  explicit LocalServer(LocalServerSettings aSettings);

  /// A heartbeat. Returns whether the phase or identity changed. Fails with
  /// BadRequest when it cannot be of this server, and with VersionConflict when
  /// a later start or a later heartbeat is already known; nothing changes then.
  core::Expected<bool> OnHeartbeat(core::TimePoint aNow,
                                   const Announcement& aAnnouncement);
  /// The start of that identity has left or is about to; aStartedMs as in
  /// Announcement. Returns whether the phase changed. An unknown identity is
  /// remembered, so that a heartbeat which is still on its way does not bring
  /// it back.
  bool OnLeave(core::TimePoint aNow,
               const std::string& aId,
               std::int64_t aStartedMs);

  /// A health check of the server at the address succeeded. Tells a node that
  /// has just started which server is there before its next heartbeat; without
  /// effect once a heartbeat has come. Returns whether the phase changed.
  bool OnHealthy(core::TimePoint aNow,
                 const std::string& aId,
                 std::uint32_t aSlots);

  ServerPhase Phase(core::TimePoint aNow) const;
  /// Whether work may be started at the server: it is serving, or has been
  /// leaving for less than mLeaveSlack.
  bool MayStartWork(core::TimePoint aNow) const;
  /// What the server said last; empty when none has announced itself.
  const std::optional<Announcement>& Latest() const { return mLatest; }

private:
  bool IsOlder(const Announcement& aAnnouncement) const;

  const LocalServerSettings mSettings;
  std::optional<Announcement> mLatest;
  core::TimePoint mHeardAt;
  std::optional<core::TimePoint> mLeavingSince;
  /// Identities that have left, with the newest start known of each.
  std::map<std::string, std::int64_t> mLeft;
};

} // namespace nutmegrock::announce
