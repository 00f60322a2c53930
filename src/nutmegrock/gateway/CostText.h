#pragma once

#include "overload/RouteCosts.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// Costs of routes by the name of the route.
using NamedCosts = std::map<std::string, overload::RouteCost, std::less<>>;

/// A cost as text without spaces and semicolons; slot seconds are rounded to
/// thousandths.
std::string
EncodeCost(const overload::RouteCost& aCost);

/// Nothing for a text that is no cost.
std::optional<overload::RouteCost>
DecodeCost(std::string_view aText);

/// Costs as lines of a route's name and its cost.
std::string
EncodeCosts(const NamedCosts& aCosts);

/// Nothing when a line cannot be read.
std::optional<NamedCosts>
DecodeCosts(std::string_view aText);

} // namespace nutmegrock::gateway
