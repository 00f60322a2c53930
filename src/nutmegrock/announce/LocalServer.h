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
  /// No server has announced itself, its heartbeats have stopped, or its only
  /// announcement is not confirmed.
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
  /// Start of this node. A server whose leave an earlier process of the node
  /// has acknowledged is not known to this one.
  core::TimePoint mNodeStart;
  /// The same as wall-clock time in milliseconds since 1970.
  std::int64_t mNodeStartMs = 0;
  /// Minimum time from the start of a server to the acknowledgement of its
  /// leave. One that started less than this before the node, or after it, has
  /// not left before the node's start, and needs no check.
  std::chrono::milliseconds mMinServerLifetime{ 2'000 };
  /// Maximum time for which a heartbeat is in transit. One that arrives sooner
  /// after mNodeStart may be of a server that has left, and needs a check.
  core::Duration mMaxHeartbeatDelay = std::chrono::seconds{ 10 };
  /// Health checks for each announcement, and the interval between them. The
  /// first is due at once.
  std::uint32_t mMaxChecks = 3;
  core::Duration mCheckInterval = std::chrono::milliseconds{ 400 };
  /// Time after the last of them after which an announcement is used although
  /// no check has had a result.
  core::Duration mCheckTimeout = std::chrono::seconds{ 2 };
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
  /// transit does not bring it back. Without a known start, all starts up to
  /// the present have left.
  bool OnLeave(core::TimePoint aNow,
               const std::string& aId,
               std::int64_t aStartedMs);

  /// A health check of the server at the address succeeded. A node that has
  /// just started identifies the server this way before its next heartbeat.
  /// Confirms that server; one that is confirmed already is not replaced by
  /// another. Returns true if the phase or identity changed.
  bool OnHealthy(core::TimePoint aNow,
                 const std::string& aId,
                 std::uint32_t aSlots);

  /// A health check found the server leaving or failing. An announcement that
  /// waits for a check is then not used; the next one is checked again. Returns
  /// true if such an announcement was rejected.
  bool OnUnhealthy();
  /// Returns true if a health check is due: no server is known, or its
  /// announcement needs to be confirmed.
  bool NeedsCheck(core::TimePoint aNow) const;
  /// Records that a health check was sent, or cannot be sent to this server.
  void OnCheckSent(core::TimePoint aNow);

  /// Returns true if the announcement is of the known run of a server. A health
  /// check does not tell when the server started.
  bool IsKnownRun(const Announcement& aAnnouncement) const;
  ServerPhase Phase(core::TimePoint aNow) const;
  /// Returns true if the server may start work: it is serving, or has been
  /// leaving for less than mLeaveGracePeriod.
  bool CanStartWork(core::TimePoint aNow) const;
  /// Latest announcement; empty when there is none yet.
  const std::optional<Announcement>& Latest() const { return mLatest; }

private:
  /// Whether the latest announcement is known to be of a server that is in
  /// operation.
  enum class Confirmation : std::uint8_t
  {
    /// It arrived soon after the start of the node, and no health check has had
    /// a result yet.
    Pending,
    /// A health check contradicted it.
    Rejected,
    Confirmed
  };

  bool IsStale(const Announcement& aAnnouncement) const;
  /// Returns true if the announcement may be of a server that had left before
  /// the start of the node.
  bool MayHaveLeft(core::TimePoint aNow,
                   const Announcement& aAnnouncement) const;
  /// Returns the confirmation after a heartbeat of the known or another run.
  Confirmation ConfirmationAfter(core::TimePoint aNow,
                                 const Announcement& aAnnouncement) const;
  /// Wall-clock time in milliseconds since 1970.
  std::int64_t WallClockMs(core::TimePoint aNow) const;
  /// Returns true if the latest announcement may be used.
  bool IsUsable(core::TimePoint aNow) const;

  const LocalServerSettings mSettings;
  std::optional<Announcement> mLatest;
  core::TimePoint mLastHeartbeatAt;
  std::optional<core::TimePoint> mLeavingSince;
  Confirmation mConfirmation = Confirmation::Pending;
  /// Health checks sent for mLatest, or before anything was known.
  std::uint32_t mChecks = 0;
  core::TimePoint mCheckedAt;
  /// Identities that have left, each with its latest known start time.
  std::map<std::string, std::int64_t> mDeparted;
};

} // namespace nutmegrock::announce
