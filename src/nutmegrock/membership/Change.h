#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/Liveness.h"
#include "membership/Member.h"

#include <cstdint>

namespace nutmegrock::membership {

/// What one node knows about a member, as it is passed on to others.
struct Change
{
  /// Never null.
  MemberPtr mMember;
  Liveness mLiveness = Liveness::Alive;
  /// Raised by the member when it contradicts being suspected or dead.
  std::uint64_t mRefutation = 0;
  /// Time since the member was found dead or had left; zero otherwise. Keeps
  /// old records from being retained anew by each node that hears of them.
  core::Duration mAge{ 0 };
  /// Whose probe led to the suspicion; unknown when not suspected.
  core::Incarnation mAccuser;

  /// Whether the member counts for the view.
  bool IsPresent() const
  {
    return mLiveness != Liveness::Dead && mMember->mState != MemberState::Left;
  }
};

} // namespace nutmegrock::membership
