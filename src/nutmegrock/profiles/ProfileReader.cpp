#include "profiles/ProfileReader.h"

#include "profiles/ProfileDocument.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::profiles {

using core::ErrorKind;
using core::Fail;

core::Expected<std::optional<ProfileReader::Current>>
ProfileReader::ReadCurrent() const
{
  const auto row = mTable.Read(std::string(CurrentRow::kKey));
  if (!row) {
    return tl::make_unexpected(row.error());
  }
  if (!*row) {
    return std::optional<Current>();
  }
  auto decoded = CurrentRow::Decode((*row)->mValue);
  if (!decoded) {
    return tl::make_unexpected(decoded.error());
  }
  return std::optional(Current{ std::move(*decoded), (*row)->mVersion });
}

core::Expected<ProfileRecord>
ProfileReader::ReadRecord(const RecordLink& aLink) const
{
  const auto bytes = mObjects.Get(aLink.mObject);
  if (!bytes) {
    return tl::make_unexpected(bytes.error());
  }
  if (!*bytes) {
    return Fail(ErrorKind::StoreUnavailable,
                fmt::format("the object \"{}\" of version {} is missing",
                            aLink.mObject,
                            aLink.mVersion));
  }
  if (DigestOf(**bytes) != aLink.mDigest) {
    return Fail(ErrorKind::InvalidProfiles,
                fmt::format("the object \"{}\" does not match its digest",
                            aLink.mObject));
  }
  auto record = ProfileRecord::Decode(**bytes);
  if (record && record->mVersion != aLink.mVersion) {
    return Fail(ErrorKind::InvalidProfiles,
                fmt::format("the object \"{}\" holds version {}, not {}",
                            aLink.mObject,
                            record->mVersion,
                            aLink.mVersion));
  }
  return record;
}

core::Expected<std::optional<PublishedSet>>
ProfileReader::CurrentSet() const
{
  const auto current = ReadCurrent();
  if (!current) {
    return tl::make_unexpected(current.error());
  }
  if (!*current) {
    return std::optional<PublishedSet>();
  }
  auto record = ReadRecord((*current)->mRow.mRecord);
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  auto published = PublishedSet::Of(std::move(*record));
  if (!published) {
    return tl::make_unexpected(published.error());
  }
  return std::optional(std::move(*published));
}

core::Expected<ProfileRecord>
ProfileReader::Version(std::uint64_t aVersion) const
{
  const auto current = ReadCurrent();
  if (!current) {
    return tl::make_unexpected(current.error());
  }
  if (!*current) {
    return Fail(ErrorKind::NotFound, "no profiles have been published");
  }
  return Find((*current)->mRow, aVersion);
}

core::Expected<ProfileRecord>
ProfileReader::Find(const CurrentRow& aRow, std::uint64_t aVersion) const
{
  if (aVersion == 0 || aVersion > aRow.mRecord.mVersion) {
    return Fail(ErrorKind::NotFound,
                fmt::format("there is no version {}; the current one is {}",
                            aVersion,
                            aRow.mRecord.mVersion));
  }
  RecordLink link = aRow.mRecord;
  RecordLink previous = aRow.mPrevious;
  RecordLink skip = aRow.mSkip;
  // Each link refers to a lower version, so the loop ends.
  while (link.mVersion > aVersion) {
    link = skip.mVersion >= aVersion ? skip : previous;
    if (link.mVersion < aVersion) {
      return Fail(ErrorKind::NotFound,
                  fmt::format("there is no version {}", aVersion));
    }
    auto record = ReadRecord(link);
    if (!record || record->mVersion == aVersion) {
      return record;
    }
    previous = record->mPrevious;
    skip = record->mSkip;
  }
  return ReadRecord(link);
}

core::Expected<std::vector<ProfileRecord>>
ProfileReader::History(std::size_t aLimit, std::uint64_t aBefore) const
{
  std::vector<ProfileRecord> records;
  const auto current = ReadCurrent();
  if (!current) {
    return tl::make_unexpected(current.error());
  }
  if (!*current || aBefore == 1) {
    return records;
  }
  const CurrentRow& row = (*current)->mRow;
  const std::uint64_t latest = aBefore == 0
                                 ? row.mRecord.mVersion
                                 : std::min(aBefore - 1, row.mRecord.mVersion);
  auto record = Find(row, latest);
  while (record && records.size() < aLimit) {
    const RecordLink previous = record->mPrevious;
    records.push_back(std::move(*record));
    if (previous.mVersion == 0 || records.size() == aLimit) {
      return records;
    }
    record = ReadRecord(previous);
  }
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  return records;
}

core::Expected<ProfileSet>
ProfileReader::SetOf(std::uint64_t aVersion) const
{
  if (aVersion == 0) {
    return ProfileSet{};
  }
  auto record = Version(aVersion);
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  return ProfileDocument::Parse(record->mDocument, aVersion);
}

core::Expected<std::vector<ProfileChange>>
ProfileReader::Difference(std::uint64_t aFrom, std::uint64_t aTo) const
{
  const auto to = SetOf(aTo);
  if (!to) {
    return tl::make_unexpected(to.error());
  }
  return Difference(aFrom, *to);
}

core::Expected<std::vector<ProfileChange>>
ProfileReader::Difference(std::uint64_t aFrom, const ProfileSet& aTo) const
{
  const auto from = SetOf(aFrom);
  if (!from) {
    return tl::make_unexpected(from.error());
  }
  return DifferenceOf(*from, aTo);
}

} // namespace nutmegrock::profiles
