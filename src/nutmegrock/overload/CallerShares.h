#pragma once

#include "core/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::overload {

/// Distinguishes routes that backend servers call from those that external
/// callers use. Requests don't carry this information, but external callers
/// enter at the nodes of all services alike, while the calls of a backend
/// server enter at the nodes of its own service only. Kept at the serving node,
/// which receives the calls of all entry nodes. Not synchronized.
class CallerShares
{
public:
  /// A request of the route arrived from a node of aCallerService.
  void OnCall(core::TimePoint aNow,
              std::string_view aRoute,
              std::string_view aCallerService);
  /// Returns true if the route is called by backend servers, given the total
  /// number of services; nullopt while too few calls were observed.
  std::optional<bool> IsInternal(std::string_view aRoute,
                                 std::size_t aServices) const;

private:
  /// Maximum number of tracked routes; further ones are ignored.
  static constexpr std::size_t kMaxRoutes = 256;

  struct Route
  {
    std::map<std::string, double, std::less<>> mCallers;
    double mTotal = 0;
    core::TimePoint mDecayedAt;
  };

  std::map<std::string, Route, std::less<>> mRoutes;
};

} // namespace nutmegrock::overload
