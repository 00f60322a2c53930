#pragma once

#include "core/Error.h"
#include "profiles/ProfileSet.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::profiles {

/// Refers to the stored record of a version.
struct RecordLink
{
  /// 0: no record.
  std::uint64_t mVersion = 0;
  /// Object name in the object store.
  std::string mObject;
  /// Digest of the stored bytes.
  std::string mDigest;

  bool operator==(const RecordLink&) const = default;
};

/// A publication as stored in the object store. The records form a chain
/// through their links to earlier versions.
struct ProfileRecord
{
  std::uint64_t mVersion = 0;
  /// Publication id: chosen by the publisher, unchanged when a publication is
  /// repeated.
  std::string mPublication;
  std::string mAuthor;
  std::chrono::sys_seconds mTime{};
  /// The previous version.
  RecordLink mPrevious;
  /// A version farther back, so that any version is found with a number of
  /// reads logarithmic in the length of the history (Myers, "An applicative
  /// random-access stack", IPL 1983).
  RecordLink mSkip;
  /// The profile document in YAML.
  std::string mDocument;

  /// Encodes the record for storage.
  std::string Encode() const;
  /// Decodes the output of Encode() and verifies its digest. Fails with
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

/// A profile set and its publication record.
struct PublishedSet
{
  ProfileSet mSet;
  ProfileRecord mRecord;

  /// Decodes a record and its document. Fails with InvalidProfiles, so that a
  /// damaged or invalid set from a peer or the store is never activated.
  static core::Expected<PublishedSet> Read(std::string_view aBytes);
  /// Parses the document of a record. Fails with InvalidProfiles.
  static core::Expected<PublishedSet> Of(ProfileRecord aRecord);

  bool operator==(const PublishedSet&) const = default;
};

/// Digest of stored bytes: their 64-bit xxHash in 16 hexadecimal digits.
/// Detects damage, not forgery.
std::string
DigestOf(std::string_view aBytes);

/// "2026-03-01T21:04:05Z".
std::string
FormatTime(std::chrono::sys_seconds aTime);

} // namespace nutmegrock::profiles
