#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace nutmegrock::core {

/// Whether the work of a call was started at a backend server.
enum class RunCertainty : std::uint8_t
{
  /// The work certainly did not start.
  NotRun,
  /// The work ran and its answer is known.
  Ran,
  /// The work may or may not have run.
  Unknown
};

/// Whether sending a refused call again can help.
enum class RetryAdvice : std::uint8_t
{
  /// Sending it again cannot help.
  No,
  /// Another backend server may accept it at once.
  Elsewhere,
  /// It may be accepted after a pause.
  Later
};

/// The closed list of error kinds. Each has one row in ErrorTable().
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
  Internal
};

/// How an error kind is answered.
struct ErrorRow
{
  ErrorKind mKind;
  /// Stable name in answers, counters and logs.
  std::string_view mName;
  /// HTTP status towards callers.
  unsigned mStatus;
  /// Certainty that holds wherever the kind is raised; a call site may only
  /// weaken NotRun to Unknown.
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
