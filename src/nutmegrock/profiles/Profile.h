#pragma once

#include "core/Importance.h"
#include "core/Time.h"

#include <cstdint>
#include <string>

namespace nutmegrock::profiles {

/// A named class of work, as published by operators.
struct Profile
{
  std::string mName;
  core::Importance mImportance = core::Importance::Normal;
  /// Maximum time for a whole customer request.
  std::chrono::milliseconds mTimeout{ 0 };
  /// Maximum time in one admission queue.
  std::chrono::milliseconds mMaxWait{ 0 };
  /// True if the work can safely run twice.
  bool mIdempotent = true;
  /// Additional attempts for a customer request over its whole call chain.
  std::uint32_t mRetryBudget = 0;

  bool operator==(const Profile&) const = default;
};

} // namespace nutmegrock::profiles
