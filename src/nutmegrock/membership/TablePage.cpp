#include "membership/TablePage.h"

#include <array>

namespace nutmegrock::membership {

namespace {

/// A page ends with the bucket at which it reaches this many members, about 40
/// KB.
constexpr std::size_t kPageMembers = 400;

} // namespace

TablePage
PageOf(core::TimePoint aNow, const MemberTable& aTable, const TablePull& aPull)
{
  const auto& digests = aTable.BucketDigests();
  std::array<std::vector<const MemberTable::Entry*>, MemberTable::kBuckets>
    buckets;
  aTable.ForEach([&](const MemberTable::Entry& aEntry) {
    const auto bucket = MemberTable::BucketOf(aEntry.mMember->mIncarnation);
    const bool differs =
      aPull.mDigests.empty() || aPull.mDigests.at(bucket) != digests.at(bucket);
    if (bucket >= aPull.mBucket && differs) {
      buckets.at(bucket).push_back(&aEntry);
    }
  });
  TablePage page;
  std::size_t bucket = aPull.mBucket;
  while (bucket < MemberTable::kBuckets &&
         page.mChanges.size() < kPageMembers) {
    for (const MemberTable::Entry* entry : buckets.at(bucket)) {
      page.mChanges.push_back(MemberTable::ChangeOf(aNow, *entry));
    }
    ++bucket;
  }
  page.mNextBucket = bucket;
  return page;
}

} // namespace nutmegrock::membership
