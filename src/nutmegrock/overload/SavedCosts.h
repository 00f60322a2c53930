#pragma once

#include "core/Time.h"
#include "overload/RouteCosts.h"

#include <map>
#include <string>

namespace nutmegrock::overload {

/// By route, the service that its runs call most.
using DownstreamServices = std::map<std::string, std::string, std::less<>>;

/// Decides when what was learned of routes is written to the store, so that
/// restarted nodes know it from their first request on. Not synchronized.
class SavedCosts
{
public:
  using Costs = std::map<std::string, RouteCost, std::less<>>;

  /// These were written to or read from the store.
  void OnSaved(core::TimePoint aNow,
               Costs aCosts,
               DownstreamServices aDownstream = {});
  /// The store may have lost what was written; it is due again.
  void OnLost();
  /// Returns true if these differ enough from the saved ones to be written now.
  bool IsDue(core::TimePoint aNow,
             const Costs& aCosts,
             const DownstreamServices& aDownstream = {}) const;
  /// Returns true if the costs differ by more than the noise of an estimate.
  static bool Differs(const RouteCost& aOld, const RouteCost& aNew);
  /// Those of the costs that are complete enough to be saved.
  static Costs CompleteCosts(const Costs& aCosts);

private:
  Costs mSaved;
  DownstreamServices mSavedDownstream;
  core::TimePoint mSavedAt;
};

} // namespace nutmegrock::overload
