#pragma once

#include "core/ErrorKind.h"

#include <chrono>
#include <string>
#include <tl/expected.hpp>

namespace nutmegrock::core {

/// An error kind with a message for people.
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage;
  RunCertainty mRun = RunCertainty::Unknown;
  /// Delay after which a retry may succeed; zero when not known.
  std::chrono::milliseconds mRetryAfter{ 0 };
  /// Set once the hop closest to the failure has decided about retries; the
  /// hops above pass the error on.
  bool mRetryDecided = false;

  bool operator==(const Error&) const = default;
};

template<class T>
using Expected = tl::expected<T, Error>;

/// Makes an error with the run certainty of its row in ErrorTable().
Error
MakeError(ErrorKind aKind, std::string aMessage);

/// The same, as a return value of functions that return Expected<T>.
tl::unexpected<Error>
Fail(ErrorKind aKind, std::string aMessage);

/// Returns the error with NotRun weakened to Unknown, for a call that may have
/// started to run before the error occurred.
Error
MarkPossiblyRun(Error aError);

} // namespace nutmegrock::core
