#pragma once

#include "core/Error.h"
#include "core/Time.h"
#include "limits/CallOutcome.h"

#include <cstdint>

namespace nutmegrock::limits {

struct ConcurrencyLimitSettings
{
  /// Slots that the backend server reports; the limit never exceeds them.
  std::uint32_t mSlots = 1;
  /// Share of the slots at which a fresh limit starts.
  double mColdStartShare = 0.5;

  bool operator==(const ConcurrencyLimitSettings&) const = default;
};

/// Adaptive bound of the calls in flight at one backend server, from the
/// observations of its node. Not synchronized.
class ConcurrencyLimit
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<ConcurrencyLimit> Create(
    const ConcurrencyLimitSettings& aSettings);

  /// A call ended. aInFlight counts the calls in flight when it started, itself
  /// included.
  void OnFinish(core::TimePoint aNow,
                std::uint32_t aInFlight,
                const CallOutcome& aOutcome);
  /// The backend server has reported another number of slots.
  void SetSlots(std::uint32_t aSlots);

  std::uint32_t Limit() const;
  /// Recent service time at the backend server; zero when not known. Used to
  /// drop calls that cannot meet their deadline.
  core::Duration ServiceTime(core::TimePoint aNow) const;

private:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings);

  ConcurrencyLimitSettings mSettings;
  double mLimit = 1;
};

} // namespace nutmegrock::limits
