#pragma once

#include "core/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::overload {

/// Tells routes that backend servers call from those that outside callers use.
/// Nothing in a request says so, but outside callers enter at the nodes of all
/// services alike, while a backend server's calls begin at the nodes of its own
/// service only. Kept at the serving node, which sees the calls of all entry
/// nodes. Not synchronized.
class CallerShares
{
public:
  /// A request of the route arrived from a node of that service.
  void OnCall(core::TimePoint aNow,
              std::string_view aRoute,
              std::string_view aCallerService);
  /// Whether the route is called by backend servers, when aServices services
  /// are known in all; nothing while too few calls were seen.
  std::optional<bool> IsInternal(std::string_view aRoute,
                                 std::size_t aServices) const;

private:
  /// Routes that are told apart at a time; more are not judged.
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
