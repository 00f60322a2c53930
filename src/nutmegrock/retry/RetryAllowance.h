#pragma once

#include "core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace nutmegrock::retry {

struct RetryAllowanceSettings
{
  /// Bound on further arrivals as a share of the requests for a service in the
  /// window. All nodes keep to the same share of their own requests, so the sum
  /// keeps to it too, whichever nodes come and go.
  double mRatio = 0.18;
  /// Largest part of the bound that one hop uses by itself. Calls made by a run
  /// that was itself a further attempt count as further arrivals below, so the
  /// rest is left for the hops below.
  double mHopPart = 0.8;
  /// Further attempts in a window beside the share, over all nodes.
  double mExtraAttempts = 24;
  /// Length of the sliding window.
  core::Duration mWindow = std::chrono::seconds{ 10 };
};

/// Bounds the further attempts that this node sends to each service, so that
/// all nodes together stay within a bound without a shared counter. Not
/// synchronized.
class RetryAllowance
{
public:
  explicit RetryAllowance(RetryAllowanceSettings aSettings = {});

  /// Nodes that share the extra attempts.
  void SetNodes(std::size_t aNodes) { mNodes = aNodes; }
  /// A request for the service arrived here. aRetryShare is the probability
  /// that it belongs to a run which was itself a further attempt.
  void OnRequest(core::TimePoint aNow,
                 std::string_view aService,
                 double aRetryShare);
  /// Takes one further attempt; false if none is left.
  bool Take(core::TimePoint aNow, std::string_view aService);
  /// Further attempts left at present.
  double Remaining(core::TimePoint aNow, std::string_view aService) const;

private:
  static constexpr std::size_t kBuckets = 10;

  struct Bucket
  {
    std::int64_t mNumber = -1;
    std::uint32_t mRequests = 0;
    std::uint32_t mTaken = 0;
    /// Sum of the shares of OnRequest().
    double mInherited = 0;
  };
  using Window = std::array<Bucket, kBuckets>;

  std::int64_t NumberOf(core::TimePoint aNow) const;
  Bucket& BucketOf(core::TimePoint aNow, std::string_view aService);

  const RetryAllowanceSettings mSettings;
  std::size_t mNodes = 1;
  std::map<std::string, Window, std::less<>> mServices;
};

} // namespace nutmegrock::retry
