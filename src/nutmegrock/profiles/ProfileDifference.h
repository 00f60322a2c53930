#pragma once

#include "profiles/ProfileSet.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::profiles {

/// One value that differs between two profile sets.
struct ProfileChange
{
  /// Path in the document, such as "profiles.deposit.timeout_ms".
  std::string mPath;
  /// Nothing when the value was added.
  std::optional<std::string> mBefore;
  /// Nothing when the value was removed.
  std::optional<std::string> mAfter;

  /// "profiles.deposit.timeout_ms: 1000 -> 2000".
  std::string ToString() const;

  bool operator==(const ProfileChange&) const = default;
};

/// What differs between two sets, in the order of the paths.
std::vector<ProfileChange>
DifferenceOf(const ProfileSet& aBefore, const ProfileSet& aAfter);

} // namespace nutmegrock::profiles
