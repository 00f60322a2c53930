#pragma once

#include "core/Error.h"
#include "profiles/ProfileSet.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::profiles {

/// Names the stored record of one version.
struct RecordLink
{
  /// 0: no record.
  std::uint64_t mVersion = 0;
  /// Name in the object store.
  std::string mObject;
  /// Digest of the stored bytes.
  std::string mDigest;

  bool operator==(const RecordLink&) const = default;
};

/// One publication as the object store holds it. The records form a chain by
/// their links to earlier versions.
struct ProfileRecord
{
  std::uint64_t mVersion = 0;
  /// Chosen by the publisher, the same when a publication is repeated.
  std::string mPublication;
  std::string mAuthor;
  std::chrono::sys_seconds mTime{};
  /// The version before this one.
  RecordLink mPrevious;
  /// An earlier version farther back, so that any version is found in a number
  /// of reads logarithmic in the length of the history (Myers, "An applicative
  /// random-access stack", IPL 1983).
  RecordLink mSkip;
  /// The profile document in YAML.
  std::string mDocument;

  /// The bytes to store.
  std::string Encode() const;
  /// Reads what Encode() wrote and checks its digest. Fails with
  /// InvalidProfiles.
  static core::Expected<ProfileRecord> Decode(std::string_view aBytes);

  bool operator==(const ProfileRecord&) const = default;
};

/// The table row `profiles/current`.
struct CurrentRow
{
  static constexpr std::string_view kKey = "profiles/current";

  RecordLink mRecord;
  std::string mPublication;
  std::string mAuthor;
  std::chrono::sys_seconds mTime{};
  RecordLink mPrevious;
  RecordLink mSkip;

  std::string Encode() const;
  /// Fails with InvalidProfiles.
  static core::Expected<CurrentRow> Decode(std::string_view aBytes);

  bool operator==(const CurrentRow&) const = default;
};

/// A set with the record it was published as.
struct PublishedSet
{
  ProfileSet mSet;
  ProfileRecord mRecord;

  /// Reads a record's bytes and its document. Fails with InvalidProfiles, so a
  /// damaged or invalid set from a peer or the store is never adopted.
  static core::Expected<PublishedSet> Read(std::string_view aBytes);
  /// Reads the document of a record. Fails with InvalidProfiles.
  static core::Expected<PublishedSet> Of(ProfileRecord aRecord);

  bool operator==(const PublishedSet&) const = default;
};

/// Digest of stored bytes: 16 hexadecimal digits of their 64-bit xxHash. It
/// detects damage, not forgery.
std::string
DigestOf(std::string_view aBytes);

/// "2026-03-01T21:04:05Z".
std::string
FormatTime(std::chrono::sys_seconds aTime);

} // namespace nutmegrock::profiles
