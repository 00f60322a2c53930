#pragma once

#include "core/ErrorKind.h"
#include "core/Importance.h"
#include "core/RequestId.h"
#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace nutmegrock::limits {

/// What admission needs to know about one call.
struct AdmissionRequest
{
  /// Chosen by the caller of Admission; unique among calls waiting or in
  /// flight.
  std::uint64_t mId = 0;
  core::Importance mImportance = core::Importance::Normal;
  core::Cohort mCohort = 0;
  /// Hops above this call.
  std::uint32_t mDepth = 0;
  core::TimePoint mDeadline;
  /// Longest time in the queue.
  core::Duration mMaxWait{ 0 };

  bool operator==(const AdmissionRequest&) const = default;
};

/// A call that must be answered with an error, not run.
struct Refusal
{
  std::uint64_t mId = 0;
  /// LevelTooLow, QueueFull, QueueTimeout, DeadlineExceeded or Cancelled.
  core::ErrorKind mKind = core::ErrorKind::QueueFull;
  /// Pause after which sending again may help; zero when a pause does not help.
  std::chrono::milliseconds mRetryAfter{ 0 };

  bool operator==(const Refusal&) const = default;
};

/// What to do with calls after one event. May name calls offered earlier.
struct AdmissionResult
{
  /// Calls to send to the backend server now, in this order.
  std::vector<std::uint64_t> mToStart;
  std::vector<Refusal> mRefused;

  bool operator==(const AdmissionResult&) const = default;
};

} // namespace nutmegrock::limits
