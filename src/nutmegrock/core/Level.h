#pragma once

#include "core/Importance.h"
#include "core/RequestId.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace nutmegrock::core {

/// Admission level of a service, after Zhou et al., "Overload Control for
/// Scaling WeChat Microservices", SoCC 2018: calls whose (importance, cohort)
/// is at or above it are admitted. The default admits all.
struct Level
{
  Importance mImportance = Importance::Background;
  Cohort mCohort = 0;

  /// Returns true if a call of this importance and cohort is admitted.
  bool Admits(Importance aImportance, Cohort aCohort) const
  {
    return *this <= Level{ aImportance, aCohort };
  }

  auto operator<=>(const Level&) const = default;
};

/// Value of CallFeedback::mWorkPercent for a server on which work takes as long
/// as usual, or that does not report it.
constexpr std::uint32_t kUsualWorkPercent = 100;

/// Load and level that a serving node reports to its caller with every
/// response.
struct CallFeedback
{
  /// Level of the service that sent the response.
  Level mLevel;
  /// Highest level of the services downstream of it for this request.
  Level mDownstreamLevel;
  /// Calls in flight and waiting, per 1000 of the concurrency limit.
  std::uint32_t mLoadPermille = 0;
  /// Unused part of the retry budget granted with the call.
  std::uint32_t mBudgetReturned = 0;
  /// As mLoadPermille, for the most crowded part of the calls, which only some
  /// of them wait for; not sent between nodes with profiles.
  std::uint32_t mOccupancyPermille = 0;
  /// How long work takes at the server at present, in percent of the usual
  /// time; not sent between nodes with profiles.
  std::uint32_t mWorkPercent = kUsualWorkPercent;
  /// Identifies calls that take equally long at equal servers, such as those of
  /// one route; 0 if unknown.
  std::uint64_t mWorkKind = 0;
  /// Time from the start of the run to the head of its response, in whole
  /// milliseconds; only meaningful with mWorkKind.
  std::chrono::milliseconds mRunTime{ 0 };

  bool operator==(const CallFeedback&) const = default;
};

} // namespace nutmegrock::core
