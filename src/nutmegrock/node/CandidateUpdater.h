#pragma once

#include "core/Time.h"
#include "membership/MemberView.h"
#include "routing/Router.h"

#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace nutmegrock::node {

/// The routing candidates of one service in a member view. aWallMs is the
/// wall-clock time in milliseconds that belongs to aNow; a member whose clock
/// is ahead counts as just joined.
std::vector<routing::Candidate>
CandidatesOf(const std::vector<membership::MemberPtr>& aMembers,
             core::TimePoint aNow,
             std::int64_t aWallMs);

/// Keeps a router in step with the member views.
class CandidateUpdater
{
public:
  explicit CandidateUpdater(routing::Router& aRouter)
    : mRouter(aRouter)
  {
  }

  /// Applies a view; older views than the last one are ignored.
  void Apply(const membership::MemberView& aView,
             core::TimePoint aNow,
             std::int64_t aWallMs);

private:
  routing::Router& mRouter;
  std::mutex mMutex;
  std::uint64_t mLast = 0;
  std::set<std::string, std::less<>> mServices;
};

} // namespace nutmegrock::node
