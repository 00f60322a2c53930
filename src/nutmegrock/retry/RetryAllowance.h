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
  /// Maximum share of retries among the requests for a service in the window.
  /// All nodes apply the same share to their own requests, so the total is
  /// bounded too, regardless of nodes joining and leaving.
  double mRatio = 0.18;
  /// Maximum share of that bound that one hop uses by itself. Calls made by a
  /// run that is itself a retry count as retries below, so the rest is left for
  /// the hops below.
  double mHopShare = 0.8;
  /// Additional retries per window, in total over all nodes.
  double mExtraRetries = 24;
  /// Length of the sliding window.
  core::Duration mWindow = std::chrono::seconds{ 10 };
};

/// Bounds the retries that this node sends to each service in a sliding window,
/// so that the total over all nodes is bounded without a shared counter. Not
/// synchronized.
class RetryAllowance
{
public:
  explicit RetryAllowance(RetryAllowanceSettings aSettings = {});

  /// Replaces the settings. With another window, what was counted before is
  /// dropped.
  void SetSettings(const RetryAllowanceSettings& aSettings);
  /// Number of nodes that share the additional retries.
  void SetNodes(std::size_t aNodes) { mNodes = aNodes; }
  /// A request for the service arrived. aRetryShare is the probability that it
  /// belongs to a run that was itself a retry.
  void OnRequest(core::TimePoint aNow,
                 std::string_view aService,
                 double aRetryShare);
  /// Takes one retry; false if none remains.
  bool Take(core::TimePoint aNow, std::string_view aService);
  /// Retries remaining at present.
  double Remaining(core::TimePoint aNow, std::string_view aService) const;

private:
  static constexpr std::size_t kBuckets = 10;

  struct Bucket
  {
    std::int64_t mNumber = -1;
    std::uint32_t mRequests = 0;
    std::uint32_t mTaken = 0;
    /// Sum of the shares passed to OnRequest().
    double mInherited = 0;
  };
  using Window = std::array<Bucket, kBuckets>;

  std::int64_t BucketNumberOf(core::TimePoint aNow) const;
  Bucket& BucketOf(core::TimePoint aNow, std::string_view aService);

  RetryAllowanceSettings mSettings;
  std::size_t mNodes = 1;
  std::map<std::string, Window, std::less<>> mServices;
};

} // namespace nutmegrock::retry
