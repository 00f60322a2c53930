#pragma once

#include <string>
#include <utility>
#include <vector>

namespace nutmegrock::once {

/// Response of a call that ran, kept to respond to repetitions of the call.
struct Outcome
{
  /// Maximum size of a kept body, in bytes.
  static constexpr std::size_t kMaxBody = 65'536;

  unsigned mStatus = 200;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  /// False when the body was too large or incomplete.
  bool mBodyKept = true;

  bool operator==(const Outcome&) const = default;
};

} // namespace nutmegrock::once
