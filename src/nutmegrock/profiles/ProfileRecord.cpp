#include "profiles/ProfileRecord.h"

#include "core/Hash.h"
#include "profiles/ProfileDocument.h"

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/yaml.h>

namespace nutmegrock::profiles {

namespace {

using core::ErrorKind;
using core::Fail;

/// Separates the header of a record from its document, which is stored byte for
/// byte. Cannot occur in the header, since its strings are quoted.
constexpr std::string_view kSeparator = "\n---\n";
/// First line of a record: the digest of all bytes after that line. Covers the
/// version, since a version damaged to a high number would keep later
/// publications from being activated.
constexpr std::string_view kDigestKey = "digest: ";
constexpr std::size_t kDigestLineSize = kDigestKey.size() + 16 + 1;
/// Maximum header size in bytes, in addition to the document.
constexpr std::size_t kMaxHeader = std::size_t{ 64 } * 1024;

void
EmitText(YAML::Emitter& aOut, const char* aKey, const std::string& aValue)
{
  aOut << YAML::Key << aKey << YAML::Value << YAML::DoubleQuoted << aValue;
}

void
EmitLink(YAML::Emitter& aOut, const char* aKey, const RecordLink& aLink)
{
  aOut << YAML::Key << aKey << YAML::Value << YAML::BeginMap;
  aOut << YAML::Key << "version" << YAML::Value << aLink.mVersion;
  EmitText(aOut, "object", aLink.mObject);
  EmitText(aOut, "digest", aLink.mDigest);
  aOut << YAML::EndMap;
}

/// Writes the fields common to a record and the current row.
template<class T>
void
EmitCommon(YAML::Emitter& aOut, const T& aFrom)
{
  EmitText(aOut, "publication", aFrom.mPublication);
  EmitText(aOut, "author", aFrom.mAuthor);
  aOut << YAML::Key << "time" << YAML::Value
       << static_cast<std::int64_t>(aFrom.mTime.time_since_epoch().count());
  EmitLink(aOut, "previous", aFrom.mPrevious);
  EmitLink(aOut, "skip", aFrom.mSkip);
}

RecordLink
ReadLink(const YAML::Node& aNode)
{
  return { aNode["version"].as<std::uint64_t>(),
           aNode["object"].as<std::string>(),
           aNode["digest"].as<std::string>() };
}

template<class T>
void
ReadCommon(const YAML::Node& aNode, T& aTo)
{
  aTo.mPublication = aNode["publication"].as<std::string>();
  aTo.mAuthor = aNode["author"].as<std::string>();
  aTo.mTime = std::chrono::sys_seconds(
    std::chrono::seconds(aNode["time"].as<std::int64_t>()));
  aTo.mPrevious = ReadLink(aNode["previous"]);
  aTo.mSkip = ReadLink(aNode["skip"]);
}

tl::unexpected<core::Error>
DamagedError(std::string_view aWhat, std::string_view aReason)
{
  return Fail(ErrorKind::InvalidProfiles,
              fmt::format("{} is damaged: {}", aWhat, aReason));
}

} // namespace

std::string
ProfileRecord::Encode() const
{
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "version" << YAML::Value << mVersion;
  EmitCommon(out, *this);
  out << YAML::EndMap;
  const std::string covered =
    std::string(out.c_str()) + std::string(kSeparator) + mDocument;
  return fmt::format("{}{}\n{}", kDigestKey, DigestOf(covered), covered);
}

core::Expected<ProfileRecord>
ProfileRecord::Decode(std::string_view aBytes)
{
  constexpr std::string_view kWhat = "the profile record";
  if (aBytes.size() > ProfileDocument::kMaxBytes + kMaxHeader) {
    return DamagedError(kWhat, "it is too long");
  }
  if (aBytes.size() < kDigestLineSize) {
    return DamagedError(kWhat, "it is too short");
  }
  const std::string_view covered = aBytes.substr(kDigestLineSize);
  if (aBytes.substr(0, kDigestLineSize) !=
      fmt::format("{}{}\n", kDigestKey, DigestOf(covered))) {
    return DamagedError(kWhat, "it does not match its digest");
  }
  const auto end = covered.find(kSeparator);
  if (end == std::string_view::npos || end > kMaxHeader) {
    return DamagedError(kWhat, "it has no document");
  }
  try {
    const YAML::Node header = YAML::Load(std::string(covered.substr(0, end)));
    ProfileRecord record;
    record.mVersion = header["version"].as<std::uint64_t>();
    ReadCommon(header, record);
    record.mDocument = covered.substr(end + kSeparator.size());
    if (record.mVersion == 0 || record.mPrevious.mVersion >= record.mVersion ||
        record.mSkip.mVersion > record.mPrevious.mVersion) {
      return DamagedError(kWhat, "its versions are out of order");
    }
    return record;
  } catch (const YAML::Exception& exception) {
    return DamagedError(kWhat, exception.what());
  }
}

std::string
CurrentRow::Encode() const
{
  YAML::Emitter out;
  out << YAML::BeginMap;
  EmitLink(out, "record", mRecord);
  EmitCommon(out, *this);
  out << YAML::EndMap;
  return out.c_str();
}

core::Expected<CurrentRow>
CurrentRow::Decode(std::string_view aBytes)
{
  const std::string what = fmt::format("the row {}", kKey);
  try {
    const YAML::Node node = YAML::Load(std::string(aBytes));
    CurrentRow row;
    row.mRecord = ReadLink(node["record"]);
    ReadCommon(node, row);
    if (row.mRecord.mVersion == 0 ||
        row.mPrevious.mVersion >= row.mRecord.mVersion ||
        row.mSkip.mVersion > row.mPrevious.mVersion) {
      return DamagedError(what, "its versions are out of order");
    }
    return row;
  } catch (const YAML::Exception& exception) {
    return DamagedError(what, exception.what());
  }
}

core::Expected<PublishedSet>
PublishedSet::Read(std::string_view aBytes)
{
  auto record = ProfileRecord::Decode(aBytes);
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  return Of(std::move(*record));
}

core::Expected<PublishedSet>
PublishedSet::Of(ProfileRecord aRecord)
{
  auto set = ProfileDocument::Parse(aRecord.mDocument, aRecord.mVersion);
  if (!set) {
    return tl::make_unexpected(set.error());
  }
  return PublishedSet{ std::move(*set), std::move(aRecord) };
}

std::string
DigestOf(std::string_view aBytes)
{
  return fmt::format("{:016x}", core::HashOf(aBytes));
}

std::string
FormatTime(std::chrono::sys_seconds aTime)
{
  const auto day = std::chrono::floor<std::chrono::days>(aTime);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss clock(aTime - day);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z",
                     static_cast<int>(date.year()),
                     static_cast<unsigned>(date.month()),
                     static_cast<unsigned>(date.day()),
                     clock.hours().count(),
                     clock.minutes().count(),
                     clock.seconds().count());
}

} // namespace nutmegrock::profiles
