#pragma once

#include "overload/RouteCosts.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// Costs by route name.
using NamedCosts = std::map<std::string, overload::RouteCost, std::less<>>;

/// Text form of a cost, without spaces and semicolons; slot seconds are rounded
/// to thousandths.
std::string
EncodeCost(const overload::RouteCost& aCost);

/// Returns nothing if the text is not a valid cost.
std::optional<overload::RouteCost>
DecodeCost(std::string_view aText);

/// Text form of costs, one line with route name and cost for each route.
std::string
EncodeCosts(const NamedCosts& aCosts);

/// Returns nothing if a line is invalid.
std::optional<NamedCosts>
DecodeCosts(std::string_view aText);

} // namespace nutmegrock::gateway
