#pragma once

#include "core/Error.h"
#include "profiles/ProfileDifference.h"
#include "profiles/ProfileRecord.h"
#include "store/ObjectStore.h"
#include "store/TableService.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::profiles {

/// Reads published profiles from the store. Calls block. Errors are
/// StoreUnavailable, NotFound for a version that does not exist, and
/// InvalidProfiles for stored bytes that are damaged.
class ProfileReader
{
public:
  /// The current row with the version of the table row for a conditional write.
  struct Current
  {
    CurrentRow mRow;
    std::uint64_t mRowVersion = 0;
  };

  ProfileReader(store::TableService& aTable, store::ObjectStore& aObjects)
    : mTable(aTable)
    , mObjects(aObjects)
  {
  }

  /// The current row, or nothing before the first publication. May be stale.
  core::Expected<std::optional<Current>> ReadCurrent() const;
  /// The record a link names, with its digest checked.
  core::Expected<ProfileRecord> ReadRecord(const RecordLink& aLink) const;
  /// The current set, or nothing before the first publication.
  core::Expected<std::optional<PublishedSet>> CurrentSet() const;
  /// The record of one version.
  core::Expected<ProfileRecord> Version(std::uint64_t aVersion) const;
  /// The record of one version at or before that of aRow.
  core::Expected<ProfileRecord> Find(const CurrentRow& aRow,
                                     std::uint64_t aVersion) const;
  /// At most aLimit records, latest first, from aBefore - 1 downwards (0: from
  /// the current one).
  core::Expected<std::vector<ProfileRecord>> History(
    std::size_t aLimit,
    std::uint64_t aBefore) const;

  /// What differs between two versions; version 0 is the empty set.
  core::Expected<std::vector<ProfileChange>> Difference(
    std::uint64_t aFrom,
    std::uint64_t aTo) const;
  /// The same from a version to a set that is not published.
  core::Expected<std::vector<ProfileChange>> Difference(
    std::uint64_t aFrom,
    const ProfileSet& aTo) const;

private:
  core::Expected<ProfileSet> SetOf(std::uint64_t aVersion) const;

  store::TableService& mTable;
  store::ObjectStore& mObjects;
};

} // namespace nutmegrock::profiles
