#pragma once

#include "profiles/ProfileSet.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::profiles {

/// A value that differs between two profile sets.
struct ProfileChange
{
  /// Path in the document, such as "profiles.deposit.timeout_ms".
  std::string mPath;
  /// Empty if the value was added.
  std::optional<std::string> mBefore;
  /// Empty if the value was removed.
  std::optional<std::string> mAfter;

  /// "profiles.deposit.timeout_ms: 1000 -> 2000".
  std::string ToString() const;

  bool operator==(const ProfileChange&) const = default;
};

/// Returns the differences between two sets in path order.
std::vector<ProfileChange>
DifferenceOf(const ProfileSet& aBefore, const ProfileSet& aAfter);

} // namespace nutmegrock::profiles
