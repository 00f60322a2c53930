#pragma once

#include "core/Time.h"
#include "overload/RouteCosts.h"
#include "overload/ServiceLoads.h"
#include "overload/ShedLevel.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace nutmegrock::overload {

/// What admission has to know about a request from outside.
struct EntryRequest
{
  std::string_view mRoute;
  std::uint32_t mPriority = 0;
  std::chrono::milliseconds mLatencyObjective{ 0 };
  /// Hash of the request's identity.
  std::uint64_t mHash = 0;
  /// The caller has been refused before.
  bool mRefusedBefore = false;
};

/// What was decided about a request, with what decided it.
struct EntryDecision
{
  bool mAdmitted = true;
  /// Service whose load decided; empty when none was overloaded.
  std::string mService;
  /// Load of that service and share of the work that it admits.
  double mLoad = 0;
  double mShare = 1;
  /// When a refused caller may come again.
  std::chrono::milliseconds mRetryAfter{ 0 };
};

/// Decides at the entry whether a whole request is admitted: it has to fit at
/// every service that it leads to, as learned from answers. Calls that backend
/// servers make for admitted requests are not asked about here. Not
/// synchronized.
class EntryAdmission
{
public:
  /// Both must outlive it.
  EntryAdmission(const RouteCosts& aCosts, const ServiceLoads& aLoads);

  EntryDecision Decide(core::TimePoint aNow, const EntryRequest& aRequest);
  /// Follows the loads. Call it about every 50 ms.
  void Tick(core::TimePoint aNow);
  /// Levels of services that shed or did so lately.
  const std::map<std::string, ShedLevel, std::less<>>& Levels() const
  {
    return mLevels;
  }

private:
  ShedLevel& LevelOf(std::string_view aService);

  const RouteCosts& mCosts;
  const ServiceLoads& mLoads;
  std::map<std::string, ShedLevel, std::less<>> mLevels;
};

} // namespace nutmegrock::overload
