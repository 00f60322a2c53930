#include "settings/GatewaySettings.h"

#include "settings/SettingsFile.h"
#include "settings/SettingsValues.h"

namespace nutmegrock::settings {

namespace {

void
ReadNodeSection(YamlReader aReader, GatewaySettings& aSettings)
{
  aSettings.mService = ReadName(aReader, "service");
  aSettings.mRegion = ReadName(aReader, "region");
  aSettings.mAvailabilityZone = ReadName(aReader, "availability_zone");
  aSettings.mBackendServer = ReadAddress(aReader, "backend_server");
  aReader.Finish();
}

void
ReadListenSection(YamlReader aReader, GatewayListenSettings& aSettings)
{
  aSettings.mCaller = ReadAddress(aReader, "caller");
  aSettings.mNodes = ReadAddress(aReader, "nodes");
  aSettings.mPeer = ReadAddress(aReader, "peer");
  aSettings.mNotices = ReadAddress(aReader, "notices");
  aSettings.mReady = ReadAddress(aReader, "ready");
  aSettings.mMetrics = ReadAddress(aReader, "metrics");
  aReader.Finish();
}

/// Reads a duration in units of aUnit, as a whole number or a fraction.
core::Duration
ReadTime(YamlReader& aReader,
         const std::string& aKey,
         std::chrono::duration<double> aUnit,
         core::Duration aDefault)
{
  constexpr double kMaxSeconds = 3600;
  const double default_value = std::chrono::duration<double>(aDefault) / aUnit;
  const double value =
    aReader.Fraction(aKey, 0, kMaxSeconds / aUnit.count(), default_value);
  return std::chrono::duration_cast<core::Duration>(value * aUnit);
}

void
ReadBounds(YamlReader aReader, GatewayBounds& aBounds)
{
  constexpr double kMaxRatio = 10;
  constexpr double kMaxExtra = 1e6;
  const std::chrono::duration<double> second(1);
  const std::chrono::duration<double> millisecond(0.001);
  aBounds.mDrain = ReadTime(aReader, "drain_ms", millisecond, aBounds.mDrain);
  aBounds.mStop = ReadTime(aReader, "stop_s", second, aBounds.mStop);
  aBounds.mRetryRatio =
    aReader.Fraction("retry_ratio", 0, kMaxRatio, aBounds.mRetryRatio);
  aBounds.mRetryExtra =
    aReader.Fraction("retry_extra", 0, kMaxExtra, aBounds.mRetryExtra);
  aBounds.mRetryWindow =
    ReadTime(aReader, "retry_window_s", second, aBounds.mRetryWindow);
  aReader.Finish();
}

void
ReadLimits(YamlReader aReader, GatewaySettings& aSettings)
{
  constexpr std::uint64_t kMinMb = 32;
  constexpr std::uint64_t kMaxMb = 1024UL * 1024;
  aSettings.mMemoryMb = aReader.Number("memory_mb", kMinMb, kMaxMb, 0);
  aReader.Finish();
}

} // namespace

core::Expected<GatewaySettings>
ParseGatewaySettings(const std::string& aYaml, const std::string& aName)
{
  ErrorList errors;
  GatewaySettings settings;
  try {
    YamlReader reader(YAML::Load(aYaml), "", errors);
    ReadNodeSection(reader.Map("node", true), settings);
    ReadListenSection(reader.Map("listen", true), settings.mListen);
    settings.mStore = ReadUrl(reader, "store");
    ReadBounds(reader.Map("bounds", false), settings.mBounds);
    ReadLimits(reader.Map("limits", false), settings);
    for (const std::string& text : reader.TextList("seeds")) {
      if (const auto address = core::Address::Parse(text)) {
        settings.mSeeds.push_back(*address);
      } else {
        reader.AddError("seeds", address.error().mMessage);
      }
    }
    settings.mLogLevel = ReadLogLevel(reader.Map("log", false));
    reader.Finish();
  } catch (const YAML::Exception& error) {
    errors.Add(error.mark.line + 1, "", error.msg);
  }
  if (!errors.IsEmpty()) {
    return tl::make_unexpected(MakeSettingsError(errors, aName));
  }
  return settings;
}

std::vector<std::string>
KeysThatNeedRestart(const GatewaySettings& aRunning,
                    const GatewaySettings& aLoaded)
{
  std::vector<std::string> keys;
  const auto compare =
    [&](const char* aKey, const auto& aLeft, const auto& aRight) {
      if (aLeft != aRight) {
        keys.emplace_back(aKey);
      }
    };
  compare("node.service", aRunning.mService, aLoaded.mService);
  compare("node.region", aRunning.mRegion, aLoaded.mRegion);
  compare("node.availability_zone",
          aRunning.mAvailabilityZone,
          aLoaded.mAvailabilityZone);
  compare(
    "node.backend_server", aRunning.mBackendServer, aLoaded.mBackendServer);
  const GatewayListenSettings& running = aRunning.mListen;
  const GatewayListenSettings& loaded = aLoaded.mListen;
  compare("listen.caller", running.mCaller, loaded.mCaller);
  compare("listen.nodes", running.mNodes, loaded.mNodes);
  compare("listen.peer", running.mPeer, loaded.mPeer);
  compare("listen.notices", running.mNotices, loaded.mNotices);
  compare("listen.ready", running.mReady, loaded.mReady);
  compare("listen.metrics", running.mMetrics, loaded.mMetrics);
  return keys;
}

core::Expected<GatewaySettings>
LoadGatewaySettings(const std::string& aPath)
{
  return ReadTextFile(aPath).and_then([&aPath](const std::string& aText) {
    return ParseGatewaySettings(aText, aPath);
  });
}

} // namespace nutmegrock::settings
