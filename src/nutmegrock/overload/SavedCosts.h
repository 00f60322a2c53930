#pragma once

#include "core/Time.h"
#include "overload/RouteCosts.h"

#include <map>
#include <string>

namespace nutmegrock::overload {

/// Decides when the learned costs of routes are written to the store, so that
/// restarted nodes know them from their first request on. Not synchronized.
class SavedCosts
{
public:
  using Costs = std::map<std::string, RouteCost, std::less<>>;

  /// These costs were written to or read from the store.
  void OnSaved(core::TimePoint aNow, Costs aCosts);
  /// Returns true if these costs differ enough from the saved ones to be
  /// written now.
  bool IsDue(core::TimePoint aNow, const Costs& aCosts) const;
  /// Returns true if the costs differ by more than the noise of an estimate.
  static bool Differs(const RouteCost& aOld, const RouteCost& aNew);
  /// Those of the costs that are complete enough to be saved.
  static Costs CompleteCosts(const Costs& aCosts);

private:
  Costs mSaved;
  core::TimePoint mSavedAt;
};

} // namespace nutmegrock::overload
