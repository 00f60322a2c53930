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

/// Reads published profiles from the store. Calls block. Fails with
/// StoreUnavailable, NotFound for a version that does not exist, and
/// InvalidProfiles for damaged data.
class ProfileReader
{
public:
  /// The current row, and the version of the table row for a conditional write.
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

  /// The current row, or nullopt before the first publication. May be stale.
  core::Expected<std::optional<Current>> ReadCurrent() const;
  /// Reads the record that a link refers to and verifies its digest.
  core::Expected<ProfileRecord> ReadRecord(const RecordLink& aLink) const;
  /// The current set, or nullopt before the first publication.
  core::Expected<std::optional<PublishedSet>> CurrentSet() const;
  /// The record of a version.
  core::Expected<ProfileRecord> Version(std::uint64_t aVersion) const;
  /// The record of a version at or before that of aRow.
  core::Expected<ProfileRecord> Find(const CurrentRow& aRow,
                                     std::uint64_t aVersion) const;
  /// Up to aLimit records, latest first, starting at aBefore - 1 (0: at the
  /// current one).
  core::Expected<std::vector<ProfileRecord>> History(
    std::size_t aLimit,
    std::uint64_t aBefore) const;

  /// The differences between two versions; version 0 is the empty set.
  core::Expected<std::vector<ProfileChange>> Difference(
    std::uint64_t aFrom,
    std::uint64_t aTo) const;
  /// The differences between a version and an unpublished set.
  core::Expected<std::vector<ProfileChange>> Difference(
    std::uint64_t aFrom,
    const ProfileSet& aTo) const;

private:
  core::Expected<ProfileSet> SetOf(std::uint64_t aVersion) const;

  store::TableService& mTable;
  store::ObjectStore& mObjects;
};

} // namespace nutmegrock::profiles
