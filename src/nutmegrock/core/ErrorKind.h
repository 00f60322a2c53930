#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace nutmegrock::core {

/// Whether a call was run by a backend server.
enum class RunCertainty : std::uint8_t
{
  /// The call was not started.
  NotRun,
  /// The call ran and its response is known.
  Ran,
  /// The call may or may not have run.
  Unknown
};

/// Whether a retry of a failed call can succeed.
enum class RetryAdvice : std::uint8_t
{
  /// A retry cannot succeed.
  No,
  /// Another backend server may accept it immediately.
  Elsewhere,
  /// It may be accepted after a delay.
  Later
};

/// All error kinds. Each has one row in ErrorTable().
enum class ErrorKind : std::uint8_t
{
  QueueFull,
  LevelTooLow,
  LevelTooLowDownstream,
  QueueTimeout,
  DeadlineExceeded,
  Draining,
  NotReady,
  NoProfiles,
  NoBackendServer,
  UnknownService,
  UnknownProfile,
  ProfileConflict,
  DepthExceeded,
  KeyRequired,
  KeyInvalid,
  KeyReused,
  OutcomeUnknown,
  DuplicateInFlight,
  TooManyConnections,
  CallerShareExceeded,
  RetryBudgetSpent,
  BadRequest,
  BodyTooLarge,
  BodyIncomplete,
  Cancelled,
  BackendUnreachable,
  BackendTimeout,
  BackendProtocol,
  BackendShed,
  BackendFailed,
  PeerUnreachable,
  PeerLost,
  WrongIncarnation,
  Unauthorized,
  Forbidden,
  NotFound,
  VersionConflict,
  StoreUnavailable,
  InvalidSettings,
  InvalidProfiles,
  ProtocolError,
  Internal,
  AllowanceExceeded
};

/// Properties of an error kind.
struct ErrorRow
{
  ErrorKind mKind;
  /// Stable name in responses, counters and logs.
  std::string_view mName;
  /// HTTP status towards callers.
  unsigned mStatus;
  /// Default for errors of this kind; a call site may only weaken NotRun to
  /// Unknown.
  RunCertainty mRun;
  RetryAdvice mAdvice;
};

/// All error kinds in the order of the enumeration.
std::span<const ErrorRow>
ErrorTable();

/// The row of one kind.
const ErrorRow&
RowOf(ErrorKind aKind);

/// The stable name of a certainty: "not-run", "ran" or "unknown".
std::string_view
NameOf(RunCertainty aRun);

} // namespace nutmegrock::core
