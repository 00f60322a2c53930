#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace nutmegrock::experiment {

enum class OutcomeKind : std::uint8_t
{
  /// The complete response to this request arrived.
  Completed,
  /// The last response reported that the work did not run.
  Refused,
  /// Any other end: failure downstream, connection lost, or no response in
  /// time.
  Failed,
  /// The response belongs to another request or has the wrong length.
  Mismatched
};

/// Result of one customer request.
struct OperationRecord
{
  /// Value of X-Operation, unique in one run of the tool.
  std::string mId;
  /// Index into the kinds of the deployment.
  std::size_t mKind = 0;
  /// Time of arrival, and time from arrival to the last response, in seconds.
  double mArrival = 0.0;
  double mLatency = 0.0;
  OutcomeKind mOutcome = OutcomeKind::Failed;
  /// Error kind of the last response, or "connection" or "timeout".
  std::string mReason;
  /// Number of requests that the client sent for this operation.
  unsigned mSends = 0;
  /// True if every response, including that of the duplicate, reported that the
  /// work did not run.
  bool mAllNotRun = false;
  /// True if the kind needs a key and it was obtained.
  bool mHadKey = false;
};

} // namespace nutmegrock::experiment
