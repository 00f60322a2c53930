#pragma once

#include "core/Importance.h"
#include "core/Time.h"

#include <cstdint>
#include <string>

namespace nutmegrock::profiles {

/// A named kind of work, as operators publish it.
struct Profile
{
  std::string mName;
  core::Importance mImportance = core::Importance::Normal;
  /// Longest time for a whole customer request.
  std::chrono::milliseconds mTimeout{ 0 };
  /// Longest time in one admission queue.
  std::chrono::milliseconds mMaxWait{ 0 };
  /// Whether running it twice does no harm.
  bool mIdempotent = true;
  /// Further attempts for one customer request over its whole chain.
  std::uint32_t mRetryBudget = 0;

  bool operator==(const Profile&) const = default;
};

} // namespace nutmegrock::profiles
