#pragma once

#include "core/Time.h"
#include "overload/RouteCosts.h"

#include <map>
#include <string>

namespace nutmegrock::overload {

/// Decides when the learned costs of routes are worth a write to the store, so
/// that nodes that start again know them from their first request on. Not
/// synchronized.
class SavedCosts
{
public:
  using Costs = std::map<std::string, RouteCost, std::less<>>;

  /// The costs that the store has.
  void OnSaved(core::TimePoint aNow, Costs aCosts);
  /// Whether these costs differ so much from the saved ones that they are to be
  /// written now.
  bool IsDue(core::TimePoint aNow, const Costs& aCosts) const;
  /// The costs that are known well enough to be saved.
  static Costs Known(const Costs& aCosts);

private:
  Costs mSaved;
  core::TimePoint mSavedAt;
};

} // namespace nutmegrock::overload
