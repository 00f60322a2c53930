#pragma once

#include "core/Incarnation.h"
#include "core/Level.h"
#include "core/Time.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace nutmegrock::routing {

/// Work that each server of one service finishes per second, relative to that
/// of a usual server with as many slots: from what the servers report, and from
/// what their runs really take compared with those of other servers. Inactive,
/// with a speed of 1 for all, until a server reports another than the usual
/// time. Servers are identified by their index in the list of SetServers(). Not
/// synchronized.
class ServerSpeeds
{
public:
  /// Replaces the servers; keeps the state of those that stay.
  void SetServers(std::span<const core::Incarnation> aServers);
  /// A response of the server reported how long its work takes. aSucceeded: the
  /// run has succeeded, so its time can be compared.
  void OnResponse(core::TimePoint aNow,
                  std::size_t aServer,
                  const core::CallFeedback& aFeedback,
                  bool aSucceeded);
  /// True if any server has recently reported another than the usual time.
  bool IsActive(core::TimePoint aNow) const;
  /// Speed of the server, between kMinSpeed and kMaxSpeed; 1 while inactive.
  double Speed(core::TimePoint aNow, std::size_t aServer) const;

  /// A server that is wrongly considered slow still gets enough work to be
  /// found again, and one that is wrongly considered fast does not get all.
  static constexpr double kMinSpeed = 1.0 / 8;
  static constexpr double kMaxSpeed = 2.5;

private:
  struct Server
  {
    core::Incarnation mIncarnation;
    /// Natural logarithm of the reported factor by which work takes longer.
    double mReported = 0;
    core::TimePoint mReportedAt;
    /// The same for the factor by which runs take longer than reported.
    double mDeviation = 0;
    core::TimePoint mDeviationAt;
  };
  /// Calls that take equally long at equal servers.
  struct Kind
  {
    /// Logarithm of the typical time in seconds at the usual speed.
    double mTypical = 0;
    std::uint32_t mRuns = 0;
  };

  void Compare(core::TimePoint aNow,
               Server& aServer,
               const core::CallFeedback& aFeedback);

  std::vector<Server> mServers;
  std::unordered_map<std::uint64_t, Kind> mKinds;
  core::TimePoint mUnusualAt;
};

} // namespace nutmegrock::routing
