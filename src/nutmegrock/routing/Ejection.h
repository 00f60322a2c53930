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
  /// Errors in a row that eject a server.
  std::uint32_t mConsecutiveErrors = 5;
  /// Share of failed attempts that ejects a server.
  double mErrorShare = 0.5;
  /// A server is only ejected for errors if its share of failed attempts is
  /// this multiple of that of the other servers: if all of them fail alike,
  /// the cause lies elsewhere.
  double mErrorFactor = 2;
  /// Attempts seen before shares and latencies are judged.
  std::uint32_t mMinAttempts = 20;
  /// Latency, as a multiple of the service's median, that ejects a server.
  double mLatencyFactor = 3;
  /// Servers faster than this are never latency outliers.
  core::Duration mLatencyFloor = std::chrono::milliseconds{ 10 };
  /// Expected time of a call as a multiple of the service's median; calls in
  /// flight for longer are overdue.
  double mOverdueFactor = 8;
  /// Shortest expected time of a call.
  core::Duration mOverdueFloor = std::chrono::milliseconds{ 500 };
  /// Overdue calls, without any answer meanwhile, that eject a server.
  std::uint32_t mOverdueCalls = 2;
  /// First ejection time; doubles with each further one in a row. The longest
  /// is below the 3 s allowed for recovery.
  core::Duration mFirstBackoff = std::chrono::milliseconds{ 500 };
  core::Duration mMaxBackoff = std::chrono::seconds{ 2 };
  /// Most ejected servers of a service, as a share.
  double mMaxShare = 0.5;
  /// Good answers to probes in a row that bring a server back.
  std::uint32_t mProbesToReturn = 2;
  /// Time constant over which attempts and failures are forgotten.
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

/// A server was ejected for this reason, or has returned when there is none.
/// Called under the lock of the service's shard; must not call the router.
using EjectionHook =
  std::function<void(core::Incarnation, std::optional<EjectionReason>)>;

/// Which backend servers of one service are left out because they fail, are
/// slow or do not answer, judged by this node's own attempts. Servers are named
/// by their index in the list of SetServers(). Not synchronized.
class Ejection
{
public:
  explicit Ejection(const EjectionSettings& aSettings, EjectionHook aHook = {});

  /// Replaces the servers; what is known about those that stay is kept.
  void SetServers(std::span<const core::Incarnation> aServers);

  void OnStart(core::TimePoint aNow, std::size_t aServer);
  void OnEnd(core::TimePoint aNow,
             std::size_t aServer,
             AttemptOutcome aOutcome,
             core::Duration aLatency);

  /// Whether the server is left out. Also ejects a server whose calls in flight
  /// are overdue.
  bool IsEjected(core::TimePoint aNow, std::size_t aServer);
  /// Whether the server is left out, without looking for overdue calls.
  bool IsMarked(std::size_t aServer) const
  {
    return mServers.at(aServer).mEjected;
  }
  /// Whether a call may test the ejected server: its back-off is over and no
  /// other test is in flight.
  bool IsProbeDue(core::TimePoint aNow, std::size_t aServer) const;
  /// Ejected servers.
  std::uint32_t Ejected() const { return mEjected; }
  /// Times a server was ejected, by EjectionReason.
  const std::array<std::uint64_t, kEjectionReasons>& Counts() const
  {
    return mCounts;
  }
  /// When the server last came back from an ejection; TimePoint::min() if it
  /// never was ejected.
  core::TimePoint ReturnedAt(std::size_t aServer) const;
  std::uint32_t InFlight(std::size_t aServer) const;
  /// Share of recent attempts that failed; fades while there are none.
  double FailedShare(core::TimePoint aNow, std::size_t aServer) const;
  /// Median latency of answers over all servers; zero when not known.
  core::Duration Median() const;

private:
  struct Health
  {
    core::Incarnation mIncarnation;
    /// Starts of the calls in flight, oldest first.
    std::vector<core::TimePoint> mStarts;
    core::TimePoint mLastResponse;
    std::uint32_t mErrorsInRow = 0;
    /// Attempts and failures, fading with EjectionSettings::mDecayTime.
    double mAttempts = 0;
    double mFailures = 0;
    core::TimePoint mDecayedAt;
    /// Running median latency in seconds and answers it is based on.
    double mMedian = 0;
    std::uint32_t mResponses = 0;
    bool mEjected = false;
    bool mProbing = false;
    core::TimePoint mProbeAt;
    core::Duration mBackoff{ 0 };
    std::uint32_t mGoodProbes = 0;
    core::TimePoint mReturnedAt = core::TimePoint::min();
  };

  void Eject(core::TimePoint aNow, Health& aHealth, EjectionReason aReason);
  void Return(core::TimePoint aNow, Health& aHealth);
  void OnProbeEnd(core::TimePoint aNow, Health& aHealth, bool aGood);
  void Decay(core::TimePoint aNow, Health& aHealth) const;
  bool IsOverdue(core::TimePoint aNow, const Health& aHealth) const;
  /// Whether the other servers fail clearly less than this one.
  bool FailsAlone(const Health& aHealth) const;
  bool IsLatencyOutlier(const Health& aHealth) const;
  void UpdateMedian();

  EjectionSettings mSettings;
  EjectionHook mHook;
  std::vector<Health> mServers;
  std::uint32_t mEjected = 0;
  std::array<std::uint64_t, kEjectionReasons> mCounts{};
  /// Median of the servers' medians in seconds.
  double mMedian = 0;
  std::uint32_t mResponsesSinceMedian = 0;
  std::vector<double> mScratch;
};

} // namespace nutmegrock::routing
