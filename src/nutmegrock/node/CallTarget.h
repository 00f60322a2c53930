#pragma once

#include "core/Error.h"

#include <string>
#include <string_view>

namespace nutmegrock::node {

/// Kind of a caller's request target.
enum class TargetKind : std::uint8_t
{
  /// /call/<service>/<path>
  Call,
  /// /keys/<service>
  Keys,
  /// /backend/<notice>
  Notice
};

/// Parsed request target of a caller.
struct CallTarget
{
  TargetKind mKind = TargetKind::Call;
  /// Name of the service or of the notice.
  std::string mName;
  /// Path and query for the backend server, starting with '/'.
  std::string mPath;

  /// Fails with NotFound if the target has none of the known forms.
  static core::Expected<CallTarget> Parse(std::string_view aTarget);

  bool operator==(const CallTarget&) const = default;
};

} // namespace nutmegrock::node
