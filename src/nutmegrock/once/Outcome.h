#pragma once

#include <string>
#include <utility>
#include <vector>

namespace nutmegrock::once {

/// What a call that ran answered, kept to answer repetitions.
struct Outcome
{
  /// Longest kept body in bytes.
  static constexpr std::size_t kMaxBody = 65'536;

  unsigned mStatus = 200;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  /// False when the body was too large or was cut off.
  bool mBodyKept = true;

  bool operator==(const Outcome&) const = default;
};

} // namespace nutmegrock::once
