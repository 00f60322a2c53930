#include "settings/SettingsFile.h"

#include "settings/SettingsValues.h"
#include "settings/YamlReader.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::settings {

namespace {

constexpr std::size_t kMaxFileBytes = 1'048'576;
constexpr std::uint64_t kMaxSlots = 100'000;
constexpr std::uint64_t kMaxConnections = 100'000;
constexpr std::uint64_t kMaxThreads = 64;
constexpr std::uint64_t kMaxUnboundedRetries = 10;

void
ReadNodeSection(YamlReader aReader, NodeSettings& aSettings)
{
  aSettings.mService = ReadName(aReader, "service");
  aSettings.mRegion = ReadName(aReader, "region");
  aSettings.mAvailabilityZone = ReadName(aReader, "availability_zone");
  aSettings.mBackendServer = ReadAddress(aReader, "backend_server");
  aSettings.mSlots =
    static_cast<std::uint32_t>(aReader.Number("slots", 1, kMaxSlots));
  aSettings.mConnections = static_cast<std::uint32_t>(
    aReader.Number("connections", 1, kMaxConnections));
  aSettings.mThreads =
    static_cast<std::uint32_t>(aReader.Number("threads", 1, kMaxThreads, 1));
  aReader.Finish();
}

void
ReadListenSection(YamlReader aReader, ListenSettings& aSettings)
{
  aSettings.mCaller = ReadAddress(aReader, "caller");
  aSettings.mBackend = ReadAddress(aReader, "backend");
  aSettings.mPeer = ReadAddress(aReader, "peer");
  aSettings.mAdmin = ReadAddress(aReader, "admin");
  aReader.Finish();
}

void
ReadPlatformSection(YamlReader aReader, PlatformSettings& aSettings)
{
  aSettings.mTableService = ReadUrl(aReader, "table_service");
  aSettings.mObjectStore = ReadUrl(aReader, "object_store");
  aReader.Finish();
}

void
ReadOverloadSection(YamlReader aReader, OverloadSettings& aSettings)
{
  aSettings.mEnabled = aReader.Boolean("enabled", true);
  aSettings.mUnboundedRetries = static_cast<std::uint32_t>(
    aReader.Number("unbounded_retries", 0, kMaxUnboundedRetries, 0));
  if (aSettings.mEnabled && aSettings.mUnboundedRetries > 0) {
    aReader.AddError("unbounded_retries", "needs overload.enabled: false");
  }
  aReader.Finish();
}

void
ReadSeeds(YamlReader& aReader, NodeSettings& aSettings)
{
  for (const std::string& text : aReader.TextList("seeds")) {
    auto address = core::Address::Parse(text);
    if (address) {
      aSettings.mSeeds.push_back(*address);
    } else {
      aReader.AddError("seeds", address.error().mMessage);
    }
  }
}

} // namespace

core::Expected<NodeSettings>
ParseNodeSettings(const std::string& aYaml, const std::string& aName)
{
  ErrorList errors;
  NodeSettings settings;
  try {
    YamlReader reader(YAML::Load(aYaml), "", errors);
    ReadNodeSection(reader.Map("node", true), settings);
    ReadListenSection(reader.Map("listen", true), settings.mListen);
    ReadPlatformSection(reader.Map("platform", true), settings.mPlatform);
    ReadSeeds(reader, settings);
    settings.mSecretFile = reader.Text("secret_file", "");
    settings.mLogLevel = ReadLogLevel(reader.Map("log", false));
    ReadOverloadSection(reader.Map("overload", false), settings.mOverload);
    reader.Finish();
  } catch (const YAML::Exception& error) {
    errors.Add(error.mark.line + 1, "", error.msg);
  }
  if (errors.IsEmpty()) {
    return settings;
  }
  return tl::make_unexpected(MakeSettingsError(errors, aName));
}

core::Expected<std::string>
ReadTextFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return core::Fail(
      core::ErrorKind::InvalidSettings,
      fmt::format("{}: cannot be read: {}", aPath, std::strerror(errno)));
  }
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (text.size() > kMaxFileBytes) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      fmt::format("{}: is larger than 1 MiB", aPath));
  }
  return text;
}

core::Expected<NodeSettings>
LoadNodeSettings(const std::string& aPath)
{
  return ReadTextFile(aPath).and_then([&aPath](const std::string& aText) {
    return ParseNodeSettings(aText, aPath);
  });
}

} // namespace nutmegrock::settings
