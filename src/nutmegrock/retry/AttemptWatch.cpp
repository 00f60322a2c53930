#include "retry/AttemptWatch.h"

#include <algorithm>
#include <chrono>

namespace nutmegrock::retry {

namespace {

/// Weight of an answer in the running mean of its route.
constexpr double kWeight = 0.03;
/// Answers after which the mean is used.
constexpr double kLeastAnswers = 30;
/// An attempt is given up after this multiple of the mean. The work of single
/// requests is spread by a factor of two on both deployments, and servers
/// differ in speed by as much.
constexpr double kLostFactor = 4;
/// Shorter times are within what a busy node or a lost packet costs.
constexpr std::chrono::milliseconds kLeastTime{ 100 };
/// Load from which on attempts are expected to wait.
constexpr double kMostLoad = 0.95;

} // namespace

void
AttemptWatch::OnAnswer(std::string_view aRoute, core::Duration aTime)
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    if (mRoutes.size() >= kMostRoutes) {
      return;
    }
    found = mRoutes.emplace(aRoute, Route{}).first;
  }
  Route& route = found->second;
  const double seconds = std::chrono::duration<double>(aTime).count();
  route.mAnswers = std::min(route.mAnswers + 1, kLeastAnswers);
  // The first answers count alike.
  const double weight = std::max(kWeight, 1 / route.mAnswers);
  route.mSeconds += weight * (seconds - route.mSeconds);
}

bool
AttemptWatch::IsLost(std::string_view aRoute,
                     core::Duration aElapsed,
                     std::optional<double> aLoad) const
{
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end() || found->second.mAnswers < kLeastAnswers ||
      aElapsed < kLeastTime || aLoad.value_or(0) > kMostLoad) {
    return false;
  }
  return std::chrono::duration<double>(aElapsed).count() >
         kLostFactor * found->second.mSeconds;
}

} // namespace nutmegrock::retry
