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

/// Properties of an external request that decide on its admission.
struct EntryRequest
{
  std::string_view mRoute;
  std::uint32_t mPriority = 0;
  std::chrono::milliseconds mLatencyObjective{ 0 };
  /// Hash of the request identity.
  std::uint64_t mHash = 0;
  /// The caller was refused before and retries.
  bool mRefusedBefore = false;
};

/// Decision about a request and its cause.
struct EntryDecision
{
  bool mAdmitted = true;
  /// Service whose load led to the refusal; empty when admitted.
  std::string mService;
  /// Load of that service and share of the demand that is admitted for it.
  double mLoad = 0;
  double mShare = 1;
  /// Cost of the request at that service in slot seconds, and true if it was
  /// assumed because the calls of the route are not known yet.
  double mSlotSeconds = 0;
  bool mCostAssumed = false;
  /// Delay after which a refused caller may retry.
  std::chrono::milliseconds mRetryAfter{ 0 };
};

/// Admission control at the entry node for whole requests: a request is
/// admitted only if every service that it leads to, as learned from responses,
/// has capacity for it. Calls that backend servers make for admitted requests
/// are not subject to it. Not synchronized.
class EntryAdmission
{
public:
  /// Both must outlive this object.
  EntryAdmission(const RouteCosts& aCosts, const ServiceLoads& aLoads);

  EntryDecision Decide(core::TimePoint aNow, const EntryRequest& aRequest);
  /// Updates the levels from the loads. To be called about every 50 ms.
  void Tick(core::TimePoint aNow);
  /// Levels of the services with a known load.
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
