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

/// One publication an operator asks for.
struct PublishRequest
{
  std::string mDocument;
  /// Version the operator saw; the publication becomes the next one.
  std::uint64_t mExpected = 0;
  std::string mAuthor;
  /// Identity of the publication. Repeating a request with the same identity
  /// after an unknown outcome never publishes twice.
  std::string mPublication;
};

/// Why a publication was not accepted.
struct PublishRefusal
{
  core::Error mError;
  /// With InvalidProfiles.
  std::vector<DocumentFault> mFaults;
  /// With VersionConflict: the row found, unless it could not be read.
  std::optional<CurrentRow> mCurrent;
};

/// Publishes profile documents. Accepted means that the row was written; every
/// other outcome is an error. VersionConflict and InvalidProfiles mean that the
/// publication is certainly not in force and never will be; StoreUnavailable
/// means that it may be, and the same request can be repeated.
class ProfilePublisher
{
public:
  struct Settings
  {
    /// Tries of each store call within one request.
    unsigned mAttempts = 3;
    /// Waits between tries; called with the number of the try that failed.
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

  /// Reads until the row shows at least aVersion, since a read may be stale.
  core::Expected<Current> ReadAtLeast(std::uint64_t aVersion) const;
  /// Decides a publication when another version than the expected one is, or
  /// may be, current.
  Result Settle(const PublishRequest& aRequest) const;
  Result SettleBy(const PublishRequest& aRequest, const CurrentRow& aRow) const;
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
