#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "routing/Candidate.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace nutmegrock::routing {

struct EjectionSettings
{
  /// Consecutive errors that eject a server.
  std::uint32_t mConsecutiveErrors = 5;
  /// Share of failed attempts that ejects a server.
  double mErrorShare = 0.5;
  /// A server is only ejected for errors if its share of failed attempts is at
  /// least this multiple of that of the other servers: if all fail alike, the
  /// cause lies elsewhere.
  double mErrorFactor = 2;
  /// Minimum attempts before shares and latencies are evaluated.
  std::uint32_t mMinAttempts = 20;
  /// Median latency, as a multiple of the service's median, that ejects a
  /// server.
  double mLatencyFactor = 3;
  /// Minimum latency of a latency outlier.
  core::Duration mLatencyFloor = std::chrono::milliseconds{ 10 };
  /// Expected time of a call as a multiple of its typical time; calls in flight
  /// for longer are overdue.
  double mOverdueFactor = 8;
  /// Minimum expected time of a call.
  core::Duration mOverdueFloor = std::chrono::milliseconds{ 500 };
  /// Number of overdue calls, without any response meanwhile, that eject a
  /// server.
  std::uint32_t mOverdueCalls = 2;
  /// Initial ejection time; doubles with each failed probe. The maximum is
  /// below the 3 s allowed for recovery.
  core::Duration mFirstBackoff = std::chrono::milliseconds{ 500 };
  core::Duration mMaxBackoff = std::chrono::seconds{ 2 };
  /// Maximum share of the servers of a service that is ejected.
  double mMaxShare = 0.5;
  /// Consecutive successful probes after which a server returns.
  std::uint32_t mProbesToReturn = 2;
  /// Time constant of the decay of attempts and failures.
  core::Duration mDecayTime = std::chrono::seconds{ 5 };

  bool operator==(const EjectionSettings&) const = default;
};

/// Why a server was ejected; one counter for each.
enum class EjectionReason : std::uint8_t
{
  ConsecutiveErrors,
  ErrorShare,
  Latency,
  Overdue
};

constexpr std::size_t kEjectionReasons = 4;

constexpr std::array<std::string_view, kEjectionReasons>
  kEjectionReasonNames = { "consecutive_errors",
                           "error_share",
                           "latency",
                           "overdue" };

/// Called when a server was ejected, with the reason, or has returned, with
/// nullopt. Runs under the lock of the service's shard; must not call the
/// router.
using EjectionHook =
  std::function<void(core::Incarnation, std::optional<EjectionReason>)>;

/// Outlier ejection for the backend servers of one service: excludes servers
/// that fail, are slow or do not respond, based on this node's own attempts.
/// Servers are identified by their index in the list of SetServers(). Not
/// synchronized.
class Ejection
{
public:
  explicit Ejection(const EjectionSettings& aSettings,
                    EjectionHook aOnEjection = {});

  /// Replaces the servers; keeps the state of those that stay.
  void SetServers(std::span<const core::Incarnation> aServers);

  /// A call was sent. aTypicalTime is the time that such a call usually takes
  /// at a server of the service; without it the median of all calls is used,
  /// which is only right if calls of the service are alike.
  void OnStart(core::TimePoint aNow,
               std::size_t aServer,
               std::optional<core::Duration> aTypicalTime = std::nullopt);
  /// A call ended. aLatency is the time since OnStart(); aQueueTime is the part
  /// of it in which the call waited for a slot, which is not held against the
  /// server.
  void OnEnd(core::TimePoint aNow,
             std::size_t aServer,
             AttemptOutcome aOutcome,
             core::Duration aLatency,
             core::Duration aQueueTime = core::Duration(0));

  /// Returns true if the server is ejected. Also ejects a server whose calls in
  /// flight are overdue.
  bool IsEjected(core::TimePoint aNow, std::size_t aServer);
  /// Returns true if the server is ejected, without checking for overdue calls.
  bool IsMarkedEjected(std::size_t aServer) const
  {
    return mServers.at(aServer).mEjected;
  }
  /// Returns true if a call may probe the ejected server: its backoff is over
  /// and no other probe is in flight.
  bool IsProbeDue(core::TimePoint aNow, std::size_t aServer) const;
  /// Number of ejected servers.
  std::uint32_t Ejected() const { return mEjected; }
  /// Number of ejections, by EjectionReason.
  const std::array<std::uint64_t, kEjectionReasons>& Counts() const
  {
    return mCounts;
  }
  /// When the server last returned from an ejection; TimePoint::min() if it
  /// never did.
  core::TimePoint ReturnedAt(std::size_t aServer) const;
  std::uint32_t InFlight(std::size_t aServer) const;
  /// Share of recent attempts that failed; decays while there are none.
  double FailedShare(core::TimePoint aNow, std::size_t aServer) const;
  /// Median latency over all servers; zero if unknown.
  core::Duration Median() const;

private:
  /// A call in flight.
  struct Call
  {
    core::TimePoint mStart;
    core::Duration mTypicalTime{ 0 };
  };
  struct Health
  {
    core::Incarnation mIncarnation;
    /// Calls in flight, oldest first.
    std::vector<Call> mCalls;
    core::TimePoint mLastResponse;
    std::uint32_t mErrorsInRow = 0;
    /// Attempts and failures, decaying with EjectionSettings::mDecayTime.
    double mAttempts = 0;
    double mFailures = 0;
    core::TimePoint mDecayedAt;
    /// Running median latency in seconds and number of responses it is based
    /// on.
    double mMedian = 0;
    std::uint32_t mResponses = 0;
    bool mEjected = false;
    bool mProbing = false;
    core::TimePoint mProbeAt;
    core::Duration mBackoff{ 0 };
    std::uint32_t mSuccessfulProbes = 0;
    core::TimePoint mReturnedAt = core::TimePoint::min();
  };

  void Eject(core::TimePoint aNow, Health& aHealth, EjectionReason aReason);
  void Reinstate(core::TimePoint aNow, Health& aHealth);
  void OnProbeEnd(core::TimePoint aNow, Health& aHealth, bool aSuccessful);
  void Decay(core::TimePoint aNow, Health& aHealth) const;
  bool IsOverdue(core::TimePoint aNow, const Health& aHealth) const;
  /// Returns true if the other servers fail clearly less than this one.
  bool FailsMoreThanOthers(const Health& aHealth) const;
  bool IsLatencyOutlier(const Health& aHealth) const;
  void UpdateMedian();
  /// Removes the call in flight whose start is closest to aStart. Returns its
  /// typical time; the median if no call is in flight.
  core::Duration RemoveCall(Health& aHealth, core::TimePoint aStart) const;

  EjectionSettings mSettings;
  EjectionHook mOnEjection;
  std::vector<Health> mServers;
  std::uint32_t mEjected = 0;
  std::array<std::uint64_t, kEjectionReasons> mCounts{};
  /// Median of the servers' medians in seconds.
  double mMedian = 0;
  std::uint32_t mResponsesSinceMedian = 0;
  std::vector<double> mScratch;
};

} // namespace nutmegrock::routing
