#pragma once

#include "core/Time.h"

#include <cstdint>

namespace nutmegrock::overload {

/// How long work takes on the local backend server, relative to the usual time,
/// from the server's own reports. They change many times per second and are
/// averaged here, at the one node that sees all of them. Not synchronized.
class WorkTime
{
public:
  /// The server reported the percentage of the usual time that work takes.
  void OnReport(core::TimePoint aNow, std::uint32_t aPercent);
  /// Factor by which work takes longer than usual: 1 without a recent report.
  double Factor(core::TimePoint aNow) const;
  /// The same in percent, rounded.
  std::uint32_t Percent(core::TimePoint aNow) const;

private:
  double mFactor = 1;
  core::TimePoint mReportedAt = core::TimePoint::min();
};

} // namespace nutmegrock::overload
