#include "gateway/BoundedSettings.h"

namespace nutmegrock::gateway {

namespace {

/// Share of the platform's limit on retries that is used, so that rounding and
/// uneven load between nodes stay within the limit.
constexpr double kRetryRatioShare = 0.85;
/// The extra retries apply to each service, and retries of upstream hops add to
/// them.
constexpr double kRetryExtraShare = 0.4;
/// Share of the drain time during which requests in transit still start.
constexpr double kDrainShare = 0.4;

} // namespace

retry::RetryAllowanceSettings
AllowanceOf(const settings::GatewayBounds& aBounds)
{
  retry::RetryAllowanceSettings settings;
  settings.mRatio = aBounds.mRetryRatio * kRetryRatioShare;
  settings.mExtraRetries = aBounds.mRetryExtra * kRetryExtraShare;
  settings.mWindow = aBounds.mRetryWindow;
  return settings;
}

core::Duration
LeaveGracePeriodOf(const settings::GatewayBounds& aBounds)
{
  return std::chrono::duration_cast<core::Duration>(aBounds.mDrain *
                                                    kDrainShare);
}

} // namespace nutmegrock::gateway
