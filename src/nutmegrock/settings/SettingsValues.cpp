#include "settings/SettingsValues.h"

#include <set>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::settings {

namespace {

constexpr std::size_t kMaxNameLength = 64;

} // namespace

core::Address
ReadAddress(YamlReader& aReader, const std::string& aKey)
{
  const std::string text = aReader.Text(aKey);
  if (text.empty()) {
    return {};
  }
  auto address = core::Address::Parse(text);
  if (!address) {
    aReader.AddError(aKey, address.error().mMessage);
    return {};
  }
  return *address;
}

std::string
ReadName(YamlReader& aReader, const std::string& aKey)
{
  std::string text = aReader.Text(aKey);
  if (text.size() > kMaxNameLength || text.find('/') != std::string::npos) {
    aReader.AddError(aKey,
                     fmt::format("must have at most {} characters and no '/'",
                                 kMaxNameLength));
  }
  return text;
}

std::string
ReadUrl(YamlReader& aReader, const std::string& aKey)
{
  std::string text = aReader.Text(aKey);
  if (!text.empty() && text.rfind("http://", 0) != 0) {
    aReader.AddError(aKey, "must be an http:// URL");
  }
  return text;
}

std::string
ReadLogLevel(YamlReader aReader)
{
  std::string level = aReader.Text("level", "info");
  static const std::set<std::string> sLevels = {
    "debug", "info", "warning", "error", "off"
  };
  if (sLevels.count(level) == 0) {
    aReader.AddError("level", "must be debug, info, warning, error or off");
  }
  aReader.Finish();
  return level;
}

core::Error
MakeSettingsError(const ErrorList& aErrors, const std::string& aName)
{
  std::string text;
  for (const std::string& line : aErrors.Lines()) {
    text += fmt::format("{}{}: {}", text.empty() ? "" : "\n", aName, line);
  }
  return core::MakeError(core::ErrorKind::InvalidSettings, text);
}

} // namespace nutmegrock::settings
