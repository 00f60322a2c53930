#pragma once

#include "overload/RouteCosts.h"
#include "overload/SavedCosts.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// Costs by route name.
using NamedCosts = std::map<std::string, overload::RouteCost, std::less<>>;

/// What the nodes of a service have learned and keep in the store.
struct LearnedState
{
  NamedCosts mCosts;
  /// By route of the service, the service that its runs call most.
  overload::DownstreamServices mDownstream;

  bool operator==(const LearnedState&) const = default;
};

/// Text form of a cost, without spaces and semicolons; slot seconds are rounded
/// to thousandths.
std::string
EncodeCost(const overload::RouteCost& aCost);

/// Returns nothing if the text is not a valid cost.
std::optional<overload::RouteCost>
DecodeCost(std::string_view aText);

/// Text form: a line with route name and cost for each cost, and a line
/// "calls", route and service for each route that calls one.
std::string
EncodeLearned(const LearnedState& aState);

/// Returns nothing if a line is invalid.
std::optional<LearnedState>
DecodeLearned(std::string_view aText);

} // namespace nutmegrock::gateway
