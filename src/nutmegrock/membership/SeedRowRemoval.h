#pragma once

#include "membership/MemberTable.h"

namespace nutmegrock::membership {

/// True if this node is one of the two present members of the region, chosen by
/// hash, that remove the seed row of a removed member. With two of them one may
/// fail.
bool
ShouldRemoveSeedRow(const MemberTable& aTable, const Member& aMember);

} // namespace nutmegrock::membership
