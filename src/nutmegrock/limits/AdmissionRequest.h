#pragma once

#include "core/ErrorKind.h"
#include "core/Importance.h"
#include "core/RequestId.h"
#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace nutmegrock::limits {

/// Properties of a call that decide on its admission.
struct AdmissionRequest
{
  /// Chosen by the caller of Admission; unique among the calls waiting or in
  /// flight.
  std::uint64_t mId = 0;
  core::Importance mImportance = core::Importance::Normal;
  core::Cohort mCohort = 0;
  /// Number of hops above this call.
  std::uint32_t mDepth = 0;
  core::TimePoint mDeadline;
  /// Maximum time in the queue.
  core::Duration mMaxWait{ 0 };

  bool operator==(const AdmissionRequest&) const = default;
};

/// A call that is refused with an error and not run.
struct Refusal
{
  std::uint64_t mId = 0;
  /// LevelTooLow, QueueFull, QueueTimeout, DeadlineExceeded or Cancelled.
  core::ErrorKind mKind = core::ErrorKind::QueueFull;
  /// Delay after which a retry may succeed; zero if a delay does not help.
  std::chrono::milliseconds mRetryAfter{ 0 };

  bool operator==(const Refusal&) const = default;
};

/// Decisions after one event; may concern calls offered earlier.
struct AdmissionResult
{
  /// Calls to send to the backend server now, in this order.
  std::vector<std::uint64_t> mToStart;
  std::vector<Refusal> mRefused;

  bool operator==(const AdmissionResult&) const = default;
};

} // namespace nutmegrock::limits
