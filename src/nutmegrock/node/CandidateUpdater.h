#pragma once

#include "core/Time.h"
#include "membership/MemberView.h"
#include "routing/Router.h"

#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace nutmegrock::node {

/// Returns the routing candidates of one service in a member view.
/// aWallClockMs is the wall-clock time at aNow in milliseconds. A member whose
/// clock is ahead counts as just joined.
std::vector<routing::Candidate>
CandidatesOf(const std::vector<membership::MemberPtr>& aMembers,
             core::TimePoint aNow,
             std::int64_t aWallClockMs);

/// Updates the candidates of a router from member views. Safe from any thread.
class CandidateUpdater
{
public:
  explicit CandidateUpdater(routing::Router& aRouter)
    : mRouter(aRouter)
  {
  }

  /// Applies a view. Views that are not newer than the last one are ignored.
  void Apply(const membership::MemberView& aView,
             core::TimePoint aNow,
             std::int64_t aWallClockMs);

private:
  routing::Router& mRouter;
  std::mutex mMutex;
  std::uint64_t mLastNumber = 0;
  std::set<std::string, std::less<>> mServices;
};

} // namespace nutmegrock::node
