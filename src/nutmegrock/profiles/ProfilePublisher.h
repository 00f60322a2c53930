#pragma once

#include "core/Error.h"
#include "profiles/DocumentFault.h"
#include "profiles/ProfileReader.h"
#include "profiles/ProfileRecord.h"
#include "store/ObjectStore.h"
#include "store/TableService.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::profiles {

/// A publication requested by an operator.
struct PublishRequest
{
  std::string mDocument;
  /// Version that the operator expects to be current; the publication becomes
  /// the next one.
  std::uint64_t mExpected = 0;
  std::string mAuthor;
  /// Idempotency key of the publication. Repeating a request with the same key
  /// after an unknown outcome never publishes twice.
  std::string mPublication;
};

/// Reason why a publication was not accepted.
struct PublishRefusal
{
  core::Error mError;
  /// With InvalidProfiles.
  std::vector<DocumentFault> mFaults;
  /// With VersionConflict: the row that was found, unless it could not be read.
  std::optional<CurrentRow> mCurrent;
};

/// Publishes profile documents. A publication is accepted if the row was
/// written; every other outcome is an error. VersionConflict and
/// InvalidProfiles mean that the publication is not in force and never will be;
/// StoreUnavailable means that it may be, and the same request can be repeated.
class ProfilePublisher
{
public:
  struct Settings
  {
    /// Attempts of each store call within one request.
    unsigned mAttempts = 3;
    /// Waits between attempts; called with the number of the failed attempt.
    std::function<void(unsigned)> mPause;
  };

  ProfilePublisher(store::TableService& aTable,
                   store::ObjectStore& aObjects,
                   Settings aSettings);

  /// Publishes the document as version mExpected + 1. Blocks.
  tl::expected<PublishedSet, PublishRefusal> Publish(
    const PublishRequest& aRequest,
    std::chrono::sys_seconds aNow);

private:
  using Result = tl::expected<PublishedSet, PublishRefusal>;
  using Current = std::optional<ProfileReader::Current>;

  /// Reads until the row has at least aVersion, since a read may be stale.
  core::Expected<Current> ReadAtLeast(std::uint64_t aVersion) const;
  /// Determines the outcome of a publication if the current version is, or may
  /// be, another than the expected one.
  Result ResolveOutcome(const PublishRequest& aRequest) const;
  Result ResolveOutcomeFrom(const PublishRequest& aRequest,
                            const CurrentRow& aRow) const;
  core::Expected<bool> PutObject(const std::string& aName,
                                 const std::string& aBytes) const;
  Result WriteRow(const PublishRequest& aRequest,
                  PublishedSet aPublished,
                  const CurrentRow& aRow,
                  std::uint64_t aRowVersion) const;
  RecordLink SkipAfter(const CurrentRow& aPrevious) const;
  void Pause(unsigned aAttempt) const;

  store::TableService& mTable;
  store::ObjectStore& mObjects;
  ProfileReader mReader;
  Settings mSettings;
};

} // namespace nutmegrock::profiles
