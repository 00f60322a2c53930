#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace nutmegrock::overload {

struct FairOrderSettings
{
  /// Time constant of the present rate of a tenant. Shorter, chance counts for
  /// more; longer, a tenant takes more before it is noticed.
  core::Duration mPresentTime = std::chrono::seconds{ 1 };
  /// Time constant of its usual rate.
  core::Duration mUsualTime = std::chrono::seconds{ 60 };
  /// Time for which requests have to arrive before any rate counts as usual.
  core::Duration mLearnTime = std::chrono::seconds{ 5 };
  /// Standard deviations of chance by which a tenant may exceed its rate.
  double mDeviations = 3;
  /// Part of the requests of a tenant in excess that counts as usual, as a
  /// multiple of its usual rate: a burst hardly raises what it may take, and
  /// lasting growth does within minutes.
  double mMaxLearned = 1.5;
  /// Maximum growth of the other tenants that counts as usual for a tenant, so
  /// that a node that takes over many clients does not treat them as excess.
  double mMaxGrowth = 8;
  /// Bounds of the cost of a request at the scarce service, as a multiple of
  /// the mean. The first divided by the second is the least ratio between the
  /// served shares of two kinds of requests; the requirement is 0.25.
  double mMinCost = 0.55;
  double mMaxCost = 1.8;
  /// Weight of one request in the mean cost.
  double mCostWeight = 0.01;
};

/// Properties of a request that decide on its place among those of the same
/// priority.
struct FairRequest
{
  /// Name of the tenant; empty for none.
  std::string_view mTenant;
  /// Hash of the request identity.
  std::uint64_t mHash = 0;
  /// Requests before it on its connection that are in progress.
  std::size_t mAhead = 0;
  /// The scarcest service that it leads to; empty if all have room.
  std::string_view mService = {};
  /// Time for which it holds slots of that service, in seconds.
  double mCost = 0;
};

/// Chooses the part in [0, 1) of the rank that orders requests of the same
/// priority while a service that they lead to is scarce. A tenant above its
/// usual rate is served as much as at this rate, whatever it sends; requests
/// that take less of the scarce service go before others, and pipelined ones
/// after all others. Without scarcity the part follows from the identity alone.
/// Not synchronized.
class FairOrder
{
public:
  explicit FairOrder(FairOrderSettings aSettings = {});

  /// Counts the request and returns its part of the rank.
  double PartOf(core::TimePoint aNow, const FairRequest& aRequest);
  /// Present rate of the tenant as a multiple of its usual one; 1 unless it is
  /// above it by more than chance explains.
  double Excess(core::TimePoint aNow, std::string_view aTenant) const;

private:
  /// Maximum number of tenants and of services; when exceeded, all are dropped
  /// and learned again.
  static constexpr std::size_t kMaxNames = 4096;

  /// Numbers of requests that decay with the two time constants.
  struct Counts
  {
    double mPresent = 0;
    double mUsual = 0;
    core::TimePoint mAt;
  };

  void Decay(core::TimePoint aNow, Counts& aCounts) const;
  void Count(core::TimePoint aNow, std::string_view aTenant, double aWeight);
  double RelativeCost(const FairRequest& aRequest);

  const FairOrderSettings mSettings;
  std::map<std::string, Counts, std::less<>> mTenants;
  /// Of all tenants together.
  Counts mAll;
  core::TimePoint mSince;
  std::map<std::string, double, std::less<>> mMeanCosts;
};

} // namespace nutmegrock::overload
