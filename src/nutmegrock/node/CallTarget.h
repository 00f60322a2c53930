#pragma once

#include "core/Error.h"

#include <string>
#include <string_view>

namespace nutmegrock::node {

/// What the request target of a caller asks for.
enum class TargetKind : std::uint8_t
{
  /// /call/<service>/<path>
  Call,
  /// /keys/<service>
  Keys,
  /// /backend/<notice>
  Notice
};

struct CallTarget
{
  TargetKind mKind = TargetKind::Call;
  /// The service, or the notice.
  std::string mName;
  /// Path and query for the backend server, starting with '/'.
  std::string mPath;

  /// Fails with NotFound.
  static core::Expected<CallTarget> Parse(std::string_view aTarget);

  bool operator==(const CallTarget&) const = default;
};

} // namespace nutmegrock::node
