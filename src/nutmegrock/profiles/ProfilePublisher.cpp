#include "profiles/ProfilePublisher.h"

#include "profiles/ProfileDocument.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::profiles {

namespace {

using core::ErrorKind;

constexpr std::size_t kMaxAuthor = 128;
constexpr std::size_t kMaxPublication = 64;

tl::unexpected<PublishRefusal>
Refuse(core::Error aError)
{
  return tl::make_unexpected(PublishRefusal{ std::move(aError), {}, {} });
}

tl::unexpected<PublishRefusal>
Refuse(ErrorKind aKind, std::string aMessage)
{
  return Refuse(core::MakeError(aKind, std::move(aMessage)));
}

/// Error if the outcome of the publication could not be determined.
tl::unexpected<PublishRefusal>
OutcomeUnknown(std::string_view aReason)
{
  return Refuse(ErrorKind::StoreUnavailable,
                fmt::format("it is not known whether the publication was "
                            "accepted; repeat it with the same id: {}",
                            aReason));
}

/// Error before the row was written. An earlier request with the same id may
/// still have been accepted.
tl::unexpected<PublishRefusal>
NotWritten(std::string_view aReason)
{
  return Refuse(ErrorKind::StoreUnavailable,
                fmt::format("this request published nothing; repeat it with "
                            "the same id: {}",
                            aReason));
}

tl::unexpected<PublishRefusal>
Conflict(std::uint64_t aExpected, const CurrentRow& aRow)
{
  return tl::make_unexpected(PublishRefusal{
    core::MakeError(
      ErrorKind::VersionConflict,
      fmt::format("version {} was published by {} at {}; expected version {}",
                  aRow.mRecord.mVersion,
                  aRow.mAuthor,
                  FormatTime(aRow.mTime),
                  aExpected)),
    {},
    aRow });
}

tl::unexpected<PublishRefusal>
OtherDocument()
{
  return Refuse(ErrorKind::BadRequest,
                "the publication id was used for another document");
}

bool
IsPublicationId(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxPublication &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-") ==
           std::string::npos;
}

bool
IsAuthor(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxAuthor &&
         std::none_of(aText.begin(), aText.end(), [](char aCharacter) {
           return static_cast<unsigned char>(aCharacter) < 0x20 ||
                  aCharacter == 0x7f;
         });
}

ProfileRecord
RecordOf(const CurrentRow& aRow, const std::string& aDocument)
{
  return { aRow.mRecord.mVersion, aRow.mPublication, aRow.mAuthor, aRow.mTime,
           aRow.mPrevious,        aRow.mSkip,        aDocument };
}

std::uint64_t
VersionOf(const std::optional<ProfileReader::Current>& aCurrent)
{
  return aCurrent ? aCurrent->mRow.mRecord.mVersion : 0;
}

tl::expected<PublishedSet, PublishRefusal>
Accepted(ProfileRecord aRecord)
{
  auto published = PublishedSet::Of(std::move(aRecord));
  if (!published) {
    return Refuse(published.error());
  }
  return std::move(*published);
}

} // namespace

ProfilePublisher::ProfilePublisher(store::TableService& aTable,
                                   store::ObjectStore& aObjects,
                                   Settings aSettings)
  : mTable(aTable)
  , mObjects(aObjects)
  , mReader(aTable, aObjects)
  , mSettings(std::move(aSettings))
{
}

ProfilePublisher::Result
ProfilePublisher::Publish(const PublishRequest& aRequest,
                          std::chrono::sys_seconds aNow)
{
  if (!IsPublicationId(aRequest.mPublication)) {
    return Refuse(ErrorKind::BadRequest,
                  fmt::format("a publication id has 1 to {} letters, digits "
                              "or \"-\"",
                              kMaxPublication));
  }
  if (!IsAuthor(aRequest.mAuthor)) {
    return Refuse(ErrorKind::BadRequest,
                  fmt::format("an author has 1 to {} bytes and no control "
                              "characters",
                              kMaxAuthor));
  }
  auto checked = ProfileDocument::Check(aRequest.mDocument);
  if (!checked.mFaults.empty()) {
    return tl::make_unexpected(
      PublishRefusal{ core::MakeError(ErrorKind::InvalidProfiles,
                                      fmt::format("the document has {} faults",
                                                  checked.mFaults.size())),
                      std::move(checked.mFaults),
                      {} });
  }
  const auto current = ReadAtLeast(aRequest.mExpected);
  if (!current) {
    return NotWritten(current.error().mMessage);
  }
  if (VersionOf(*current) > aRequest.mExpected) {
    return ResolveOutcomeFrom(aRequest, (*current)->mRow);
  }
  CurrentRow row;
  row.mRecord.mVersion = aRequest.mExpected + 1;
  row.mPublication = aRequest.mPublication;
  row.mAuthor = aRequest.mAuthor;
  row.mTime = aNow;
  if (*current) {
    row.mPrevious = (*current)->mRow.mRecord;
    row.mSkip = SkipAfter((*current)->mRow);
  }
  PublishedSet published{ std::move(checked.mSet),
                          RecordOf(row, aRequest.mDocument) };
  published.mSet.mVersion = row.mRecord.mVersion;
  const std::string bytes = published.mRecord.Encode();
  row.mRecord.mDigest = DigestOf(bytes);
  // The digest in the name keeps a repeated request from overwriting the object
  // of an accepted publication.
  row.mRecord.mObject = fmt::format("profiles/{}-{}-{}",
                                    row.mRecord.mVersion,
                                    aRequest.mPublication,
                                    row.mRecord.mDigest);
  const auto put = PutObject(row.mRecord.mObject, bytes);
  if (!put) {
    return NotWritten(put.error().mMessage);
  }
  return WriteRow(aRequest,
                  std::move(published),
                  row,
                  *current ? (*current)->mRowVersion : 0);
}

core::Expected<ProfilePublisher::Current>
ProfilePublisher::ReadAtLeast(std::uint64_t aVersion) const
{
  core::Error error;
  for (unsigned attempt = 1; attempt <= mSettings.mAttempts; ++attempt) {
    auto current = mReader.ReadCurrent();
    if (current && VersionOf(*current) >= aVersion) {
      return current;
    }
    error =
      current
        ? core::MakeError(ErrorKind::StoreUnavailable,
                          fmt::format("the store shows version {}; either its "
                                      "response is stale or version {} was "
                                      "never published",
                                      VersionOf(*current),
                                      aVersion))
        : current.error();
    if (attempt < mSettings.mAttempts) {
      Pause(attempt);
    }
  }
  return tl::make_unexpected(error);
}

ProfilePublisher::Result
ProfilePublisher::ResolveOutcome(const PublishRequest& aRequest) const
{
  const auto current = ReadAtLeast(aRequest.mExpected + 1);
  if (!current) {
    return OutcomeUnknown(current.error().mMessage);
  }
  return ResolveOutcomeFrom(aRequest, (*current)->mRow);
}

ProfilePublisher::Result
ProfilePublisher::ResolveOutcomeFrom(const PublishRequest& aRequest,
                                     const CurrentRow& aRow) const
{
  // If this publication was accepted, it is the version after the expected one.
  const std::uint64_t version = aRequest.mExpected + 1;
  if (aRow.mRecord.mVersion == version) {
    if (aRow.mPublication != aRequest.mPublication) {
      return Conflict(aRequest.mExpected, aRow);
    }
    ProfileRecord record = RecordOf(aRow, aRequest.mDocument);
    return DigestOf(record.Encode()) == aRow.mRecord.mDigest
             ? Accepted(std::move(record))
             : OtherDocument();
  }
  auto record = mReader.Find(aRow, version);
  if (!record) {
    return OutcomeUnknown(record.error().mMessage);
  }
  if (record->mPublication != aRequest.mPublication) {
    return Conflict(aRequest.mExpected, aRow);
  }
  return record->mDocument == aRequest.mDocument ? Accepted(std::move(*record))
                                                 : OtherDocument();
}

core::Expected<bool>
ProfilePublisher::PutObject(const std::string& aName,
                            const std::string& aBytes) const
{
  core::Error error;
  for (unsigned attempt = 1; attempt <= mSettings.mAttempts; ++attempt) {
    const auto put = mObjects.Put(aName, aBytes);
    // Read back, since a row that names a missing object would keep every node
    // from activating the version.
    const auto got = mObjects.Get(aName);
    if (got && *got == aBytes) {
      return true;
    }
    error = !got   ? got.error()
            : !put ? put.error()
                   : core::MakeError(ErrorKind::StoreUnavailable,
                                     "the object written cannot be read back");
    if (attempt < mSettings.mAttempts) {
      Pause(attempt);
    }
  }
  return tl::make_unexpected(error);
}

ProfilePublisher::Result
ProfilePublisher::WriteRow(const PublishRequest& aRequest,
                           PublishedSet aPublished,
                           const CurrentRow& aRow,
                           std::uint64_t aRowVersion) const
{
  for (unsigned attempt = 1; attempt <= mSettings.mAttempts; ++attempt) {
    // The write can be repeated safely: all attempts have the same condition,
    // so at most one takes effect.
    const auto written =
      mTable.Write(std::string(CurrentRow::kKey), aRow.Encode(), aRowVersion);
    if (written) {
      return aPublished;
    }
    if (written.error().mKind == ErrorKind::VersionConflict) {
      return ResolveOutcome(aRequest);
    }
    if (attempt < mSettings.mAttempts) {
      Pause(attempt);
    }
  }
  return ResolveOutcome(aRequest);
}

RecordLink
ProfilePublisher::SkipAfter(const CurrentRow& aPrevious) const
{
  // Myers 1983: if the last two skips before the new record are equally long,
  // it skips both at once; otherwise it links to the previous record.
  const RecordLink& first = aPrevious.mSkip;
  if (first.mVersion == 0) {
    return aPrevious.mRecord;
  }
  const auto record = mReader.ReadRecord(first);
  if (!record) {
    // A shorter skip only makes later lookups longer.
    return aPrevious.mRecord;
  }
  const RecordLink& second =
    record->mSkip.mVersion == 0 ? first : record->mSkip;
  const bool equal = aPrevious.mRecord.mVersion - first.mVersion ==
                     first.mVersion - second.mVersion;
  return equal ? second : aPrevious.mRecord;
}

void
ProfilePublisher::Pause(unsigned aAttempt) const
{
  if (mSettings.mPause) {
    mSettings.mPause(aAttempt);
  }
}

} // namespace nutmegrock::profiles
