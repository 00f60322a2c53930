#pragma once

#include "core/Time.h"
#include "membership/Change.h"
#include "membership/MemberTable.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nutmegrock::membership {

/// Argument of the control method "members.pull".
struct TablePull
{
  /// Digests of the requesting node; empty requests all buckets.
  std::vector<std::uint64_t> mDigests;
  /// First bucket requested.
  std::size_t mBucket = 0;
};

/// Result of the control method "members.pull".
struct TablePage
{
  std::vector<Change> mChanges;
  /// First bucket after the page.
  std::size_t mNextBucket = MemberTable::kBuckets;
};

/// Returns the next page of the buckets whose digests differ.
TablePage
PageOf(core::TimePoint aNow, const MemberTable& aTable, const TablePull& aPull);

} // namespace nutmegrock::membership
