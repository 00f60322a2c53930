#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace nutmegrock::experiment {

enum class OutcomeKind : std::uint8_t
{
  /// The whole answer to this request arrived.
  Completed,
  /// The last answer said that the work did not run.
  Refused,
  /// Any other end: failed below, cut off, or no answer in time.
  Failed,
  /// An answer that belongs to another request or has the wrong length.
  Mismatched
};

/// What became of one customer request.
struct OperationRecord
{
  /// Value of X-Operation, unique in one run of the tool.
  std::string mId;
  /// Index into the kinds of the deployment.
  std::size_t mKind = 0;
  /// Time of the arrival and from there to the last answer, in seconds.
  double mArrival = 0.0;
  double mLatency = 0.0;
  OutcomeKind mOutcome = OutcomeKind::Failed;
  /// Error kind of the last answer, or "connection" or "timeout".
  std::string mReason;
  /// Requests that the client sent for this operation.
  unsigned mSends = 0;
  /// Whether every answer, also that of copies, said that the work did not run.
  bool mAllNotRun = false;
  /// Whether the key was obtained, if the kind needs one.
  bool mHadKey = false;
};

} // namespace nutmegrock::experiment
