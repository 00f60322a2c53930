#pragma once

#include "core/Time.h"
#include "membership/Change.h"
#include "membership/MemberTable.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nutmegrock::membership {

/// Argument of the control request "members.pull".
struct TablePull
{
  /// Digests of the asking node; empty asks for everything.
  std::vector<std::uint64_t> mDigests;
  /// First bucket wanted.
  std::size_t mBucket = 0;
};

/// Result of the control request "members.pull".
struct TablePage
{
  std::vector<Change> mChanges;
  /// First bucket that is not in the page.
  std::size_t mNextBucket = MemberTable::kBuckets;
};

/// The next page of the buckets whose digests differ.
TablePage
PageOf(core::TimePoint aNow, const MemberTable& aTable, const TablePull& aPull);

} // namespace nutmegrock::membership
