#pragma once

#include "core/ErrorKind.h"

#include <chrono>
#include <string>
#include <tl/expected.hpp>

namespace nutmegrock::core {

/// An error of the closed list, with the text for people.
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage;
  RunCertainty mRun = RunCertainty::Unknown;
  /// Pause after which sending again may help; zero when not known.
  std::chrono::milliseconds mRetryAfter{ 0 };
  /// Set once the hop next to the failure has decided about retries; hops above
  /// pass the error on.
  bool mRetryDecided = false;

  bool operator==(const Error&) const = default;
};

template<class T>
using Expected = tl::expected<T, Error>;

/// An error with the certainty of its table row.
Error
MakeError(ErrorKind aKind, std::string aMessage);

/// The same, ready to return where Expected<T> is expected.
tl::unexpected<Error>
Fail(ErrorKind aKind, std::string aMessage);

/// The error with its certainty weakened to Unknown, for a call whose work may
/// have started before the error came.
Error
MarkPossiblyRun(Error aError);

} // namespace nutmegrock::core
