#pragma once

#include "core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::retry {

/// Tells attempts whose answer has probably been lost from those that are still
/// at work, so that an idempotent request can be sent to another server in time
/// (Dean and Barroso, "The Tail at Scale", CACM 2013; the first attempt is
/// given up here, since a server holds its slot until then). Not synchronized.
class AttemptWatch
{
public:
  /// An attempt of the route was answered; aTime: without the wait for a slot.
  void OnAnswer(std::string_view aRoute, core::Duration aTime);
  /// Whether an attempt that has had no answer for aElapsed is given up. aLoad:
  /// load of the service; while it is high, attempts wait, and another one
  /// would add to that.
  bool IsLost(std::string_view aRoute,
              core::Duration aElapsed,
              std::optional<double> aLoad) const;

private:
  /// Routes that are followed; attempts of others are not given up.
  static constexpr std::size_t kMostRoutes = 1024;

  struct Route
  {
    double mSeconds = 0;
    double mAnswers = 0;
  };

  std::map<std::string, Route, std::less<>> mRoutes;
};

} // namespace nutmegrock::retry
