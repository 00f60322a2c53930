#pragma once

#include "core/Time.h"
#include "overload/RouteCosts.h"
#include "overload/ServiceLoads.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
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
  /// Availability zone in which the request is to run.
  std::string_view mZone = {};
  /// Rank, if it does not follow from the priority and the hash alone.
  std::optional<double> mRank = {};
};

/// Time after which the caller of a refused request may retry, by the latency
/// objective of its route and the hash of its identity.
std::chrono::milliseconds
RetryDelay(std::chrono::milliseconds aLatencyObjective, std::uint64_t aHash);

/// The scarcest service that a request leads to.
struct ScarceService
{
  /// Service, or calls of a service; empty if there is room at all of them.
  std::string mName;
  double mCutoff = kOpenRank;
  /// Time for which the request holds slots of the service, in seconds.
  double mCost = 0;
};

/// Decision about a request and its cause.
struct EntryDecision
{
  bool mAdmitted = true;
  /// Rank of the request; see RankOf().
  double mRank = 0;
  /// Service, or calls of a service, whose cutoff led to the refusal; empty
  /// when admitted.
  std::string mService;
  double mCutoff = kOpenRank;
  /// Delay after which a refused caller may retry.
  std::chrono::milliseconds mRetryAfter{ 0 };
};

/// Admission control at the entry node for whole requests: a request is
/// admitted if its rank is below the cutoffs of all services that it leads to,
/// as learned from responses. The cutoffs of its zone count, and the means of
/// all zones for services that have none there. Somewhat more is admitted than
/// is served now, so that the nodes below see when they can serve more; they
/// order it by rank. Calls that backend servers make for admitted requests are
/// not subject to it. Not synchronized.
class EntryAdmission
{
public:
  using Cutoffs = std::map<std::string, double, std::less<>>;

  /// Both must outlive this object.
  EntryAdmission(const RouteCosts& aCosts, const ServiceLoads& aLoads);

  /// Finds the service with the lowest cutoff of the last Tick() in the zone.
  ScarceService FindScarce(std::string_view aRoute,
                           std::string_view aZone) const;
  /// Decides by the cutoffs of the last Tick().
  EntryDecision Decide(const EntryRequest& aRequest) const;
  /// Updates the cutoffs from the loads. To be called about every 20 ms.
  void Tick(core::TimePoint aNow);
  /// Cutoffs of the services, and of the calls between services, that do not
  /// serve all requests at present.
  const Cutoffs& CutoffsInForce() const { return mCutoffs; }

private:
  using ZoneCutoffs = std::map<std::string, Cutoffs, std::less<>>;

  double CutoffIn(std::string_view aZone,
                  const std::string& aName,
                  double aMean) const;

  const RouteCosts& mCosts;
  const ServiceLoads& mLoads;
  Cutoffs mCutoffs;
  /// By service, then by zone.
  ZoneCutoffs mZoneCutoffs;
};

} // namespace nutmegrock::overload
