#pragma once

#include "core/Error.h"
#include "core/RequestId.h"
#include "transport/Call.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::node {

// Names of the headers defined by this project.
constexpr std::string_view kRequestHeader = "Nutmegrock-Request";
constexpr std::string_view kDeadlineHeader = "Nutmegrock-Deadline-Ms";
constexpr std::string_view kProfileHeader = "Nutmegrock-Profile";
constexpr std::string_view kKeyHeader = "Nutmegrock-Key";
constexpr std::string_view kCallHeader = "Nutmegrock-Call";
constexpr std::string_view kStepHeader = "Nutmegrock-Step";
constexpr std::string_view kRunHeader = "Nutmegrock-Run";
/// Also set by a serving node on a failed response for which a downstream hop
/// has already made the retry decision.
constexpr std::string_view kRetryHeader = "Nutmegrock-Retry";

/// Lowest HTTP status that counts as a failure of the backend server.
constexpr unsigned kMinServerError = 500;

/// Call parameters that a caller sends as headers; absent ones are empty.
struct CallerHeaders
{
  std::optional<core::RequestId> mRequest;
  std::optional<std::chrono::milliseconds> mTimeout;
  std::string mProfile;
  std::string mKey;
  /// Token of the parent of a nested call.
  std::string mCall;
  /// Identifies a nested call within its parent, so that a repetition by the
  /// backend server is recognised.
  std::string mStep;

  /// Parses the headers. Fails with BadRequest if a value is invalid, such as a
  /// negative timeout.
  static core::Expected<CallerHeaders> Parse(
    const transport::Headers& aHeaders);
};

/// Returns the headers without those of this project and without hop-by-hop
/// headers (RFC 9110, section 7.6.1).
transport::Headers
EndToEndHeaders(const transport::Headers& aHeaders);

} // namespace nutmegrock::node
