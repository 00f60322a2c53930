#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/Liveness.h"
#include "membership/Member.h"

#include <cstdint>

namespace nutmegrock::membership {

/// State of a member as one node knows it and sends it to others.
struct Change
{
  /// Never null.
  MemberPtr mMember;
  Liveness mLiveness = Liveness::Alive;
  /// Raised by the member to refute a suspicion or a death.
  std::uint64_t mRefutation = 0;
  /// Time since the member was declared dead or left; zero otherwise. Keeps the
  /// retention time from starting again at each node that receives the record.
  core::Duration mAge{ 0 };
  /// Member whose probe led to the suspicion; unknown when not suspected.
  core::Incarnation mAccuser;

  /// True if the member belongs in the view.
  bool IsPresent() const
  {
    return mLiveness != Liveness::Dead && mMember->mState != MemberState::Left;
  }
};

} // namespace nutmegrock::membership
