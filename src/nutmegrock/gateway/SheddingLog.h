#pragma once

#include "core/Time.h"
#include "overload/EntryAdmission.h"
#include "overload/RouteCosts.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// Logs what admission decides with: when shedding for a service begins,
/// proceeds and ends, and when the learned cost of a route changes. At most one
/// line a second for each service and route. Not synchronized.
class SheddingLog
{
public:
  /// Receives a line without line end.
  using Writer = std::function<void(std::string_view)>;
  using Cutoffs = overload::EntryAdmission::Cutoffs;

  explicit SheddingLog(Writer aWriter);

  /// To be called after each update of the cutoffs.
  void Tick(core::TimePoint aNow,
            const Cutoffs& aCutoffs,
            const overload::RouteCosts& aCosts);

private:
  struct LoggedCost
  {
    core::TimePoint mAt;
    overload::RouteCost mCost;
  };

  void LogCutoffs(core::TimePoint aNow, const Cutoffs& aCutoffs);
  void LogCosts(core::TimePoint aNow, const overload::RouteCosts& aCosts);

  const Writer mWriter;
  core::TimePoint mCostsCheckedAt;
  /// Time of the last line of each service that is shed for.
  std::map<std::string, core::TimePoint, std::less<>> mShedding;
  std::map<std::string, LoggedCost, std::less<>> mCosts;
};

} // namespace nutmegrock::gateway
