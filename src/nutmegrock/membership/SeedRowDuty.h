#pragma once

#include "membership/MemberTable.h"

namespace nutmegrock::membership {

/// Whether this node is to remove the seed row of a dropped member. Two present
/// members of the region do, chosen by hash, so that one of them may fail.
bool
RemovesSeedRowOf(const MemberTable& aTable, const Member& aMember);

} // namespace nutmegrock::membership
