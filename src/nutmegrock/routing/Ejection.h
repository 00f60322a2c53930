#pragma once

#include "core/Time.h"
#include "routing/Candidate.h"

#include <cstdint>
#include <vector>

namespace nutmegrock::routing {

struct EjectionSettings
{
  /// Errors in a row that eject a server.
  std::uint32_t mConsecutiveErrors = 5;
  /// Share of failed attempts that ejects a server, when it also is twice that
  /// of the service as a whole.
  double mErrorShare = 0.5;
  /// Attempts seen before shares and latencies are judged.
  std::uint32_t mMinAttempts = 20;
  /// Latency, as a multiple of the service's median, that ejects a server.
  double mLatencyFactor = 4;
  /// Servers faster than this are never latency outliers.
  core::Duration mLatencyFloor = std::chrono::milliseconds{ 10 };
  /// Expected time of a call as a multiple of the service's median; calls in
  /// flight for longer are overdue.
  double mOverdueFactor = 8;
  /// Shortest expected time of a call.
  core::Duration mOverdueFloor = std::chrono::milliseconds{ 500 };
  /// Overdue calls, without any answer meanwhile, that eject a server.
  std::uint32_t mOverdueCalls = 2;
  /// First ejection time; doubles with each further one.
  core::Duration mFirstBackoff = std::chrono::seconds{ 1 };
  core::Duration mMaxBackoff = std::chrono::seconds{ 30 };
  /// Most ejected servers of a service, as a share.
  double mMaxShare = 0.5;
  /// Good answers to probes that bring a server back.
  std::uint32_t mProbesToReturn = 3;

  bool operator==(const EjectionSettings&) const = default;
};

} // namespace nutmegrock::routing
