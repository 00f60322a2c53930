#pragma once

#include "announce/Announcement.h"
#include "announce/ServerState.h"
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

  /// Replaces mLeaveGracePeriod; a leave in progress follows it too.
  void SetLeaveGracePeriod(core::Duration aPeriod)
  {
    mSettings.mLeaveGracePeriod = aPeriod;
  }
  /// Processes a heartbeat. Returns true if the phase or identity changed.
  /// Fails with BadRequest when it cannot be from this server, and with
  /// VersionConflict when a later start or a later heartbeat is already known;
  /// the server in use does not change then. A heartbeat of another server than
  /// the one that is proven to be there is kept as a candidate until a health
  /// check or an answer decides.
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
  /// Proves that this server is there; one that an answer or a check has proven
  /// is replaced only by the candidate, or by a second check. aSlots may be 0
  /// if the check does not tell it. Returns true if the phase or identity
  /// changed.
  bool OnHealthy(core::TimePoint aNow,
                 const std::string& aId,
                 std::uint32_t aSlots);

  /// A health check found the server leaving or failing; aId is empty if the
  /// check does not tell its identity. An announcement that waits for a check
  /// is then not used; the next one is checked again. Returns true if the phase
  /// or identity changed.
  bool OnUnhealthy(core::TimePoint aNow, const std::string& aId);
  /// A request that was sent to the latest server at a time has been answered:
  /// that server is there.
  void OnAnswer(core::TimePoint aSent);
  /// The server at the address has refused a request as meant for another one.
  /// Uses the candidate, or asks for a health check. Returns true if the phase
  /// or identity changed.
  bool OnContradicted(core::TimePoint aNow);
  /// Uses a candidate that no check and no answer has decided on in time.
  /// Returns true if the identity changed.
  bool Tick(core::TimePoint aNow);
  /// Returns true if a health check is due: no server is known, its
  /// announcement needs to be confirmed, or an answer has contradicted it.
  bool NeedsCheck(core::TimePoint aNow) const;
  /// Records that a health check was sent, or cannot be sent to this server.
  void OnCheckSent(core::TimePoint aNow);

  /// Returns true if the announcement is of the known run of a server. A health
  /// check does not tell when the server started.
  bool IsKnownRun(const Announcement& aAnnouncement) const;
  ServerPhase Phase(core::TimePoint aNow) const;
  ServerState State() const { return mState; }
  /// Returns true if the server may start work: it is serving, or has been
  /// leaving for less than mLeaveGracePeriod.
  bool CanStartWork(core::TimePoint aNow) const;
  /// Latest announcement; empty when there is none yet.
  const std::optional<Announcement>& Latest() const { return mLatest; }

private:
  bool HasLeft(const Announcement& aAnnouncement) const;
  bool IsLate(const Announcement& aAnnouncement) const;
  core::Expected<bool> CheckOrigin(const Announcement& aAnnouncement) const;
  /// Handles a heartbeat that is older than what is known.
  void OnLate(core::TimePoint aNow, const Announcement& aAnnouncement);
  void SetCandidate(core::TimePoint aNow, const Announcement& aAnnouncement);
  /// Makes an announcement the latest one.
  void Use(core::TimePoint aNow,
           const Announcement& aAnnouncement,
           ServerState aState);
  void UseCandidate(core::TimePoint aNow, ServerState aState);
  void StartLeaving(core::TimePoint aNow);
  /// Wall-clock time in milliseconds since 1970.
  std::int64_t WallClockMs(core::TimePoint aNow) const;
  /// Makes health checks due, at once.
  void RestartChecks();
  /// Returns true if the announcement may be of a server that had left before
  /// the start of the node.
  bool MayHaveLeft(core::TimePoint aNow,
                   const Announcement& aAnnouncement) const;
  /// Returns the state after a heartbeat of the known or another run.
  ServerState StateAfterHeartbeat(core::TimePoint aNow,
                                  const Announcement& aAnnouncement) const;
  /// Returns true if the latest announcement may be used.
  bool IsUsable(core::TimePoint aNow) const;

  LocalServerSettings mSettings;
  std::optional<Announcement> mLatest;
  core::TimePoint mLastHeartbeatAt;
  ServerState mState = ServerState::Absent;
  core::TimePoint mLeavingSince;
  /// The server was in use when it announced that it leaves.
  bool mLeftInUse = false;
  /// Announcement of another server, until it is decided which one is there.
  std::optional<Announcement> mCandidate;
  core::TimePoint mCandidateAt;
  /// Health checks sent for mLatest or mCandidate, or before anything was
  /// known.
  std::uint32_t mChecks = 0;
  core::TimePoint mCheckedAt;
  /// Identities that have left, each with its latest known start time.
  std::map<std::string, std::int64_t> mDeparted;
};

} // namespace nutmegrock::announce
