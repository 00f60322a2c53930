#include "settings/YamlReader.h"

#include <charconv>
#include <map>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::settings {

namespace {

int
LineOf(const YAML::Node& aNode)
{
  return aNode.IsDefined() ? aNode.Mark().line + 1 : 0;
}

} // namespace

void
ErrorList::Add(int aLine, std::string_view aKey, std::string_view aText)
{
  const std::string line = aLine > 0 ? fmt::format("line {}: ", aLine) : "";
  const std::string key = aKey.empty() ? "" : fmt::format("{}: ", aKey);
  mLines.push_back(fmt::format("{}{}{}", line, key, aText));
}

std::string
ErrorList::ToString() const
{
  return fmt::format("{}", fmt::join(mLines, "\n"));
}

YamlReader::YamlReader(const YAML::Node& aNode,
                       std::string aPath,
                       ErrorList& aErrors)
  : mNode(aNode)
  , mPath(std::move(aPath))
  , mErrors(aErrors)
{
  if (!mNode.IsMap()) {
    mErrors.Add(LineOf(mNode), mPath, "must be a map of keys");
    mNode = YAML::Node(YAML::NodeType::Map);
    return;
  }
  std::map<std::string, int> lines;
  for (const auto& entry : mNode) {
    const auto key = entry.first.as<std::string>("");
    const int line = LineOf(entry.first);
    if (!lines.emplace(key, line).second) {
      mErrors.Add(line, PathOf(key), "is a duplicate key");
    }
  }
}

std::string
YamlReader::PathOf(const std::string& aKey) const
{
  return mPath.empty() ? aKey : mPath + "." + aKey;
}

YAML::Node
YamlReader::ReadValue(const std::string& aKey, bool aRequired)
{
  mReadKeys.insert(aKey);
  const YAML::Node& map = mNode;
  YAML::Node value = map[aKey];
  if (aRequired && (!value.IsDefined() || value.IsNull())) {
    mErrors.Add(LineOf(mNode), PathOf(aKey), "is missing");
  }
  return value;
}

std::string
YamlReader::Text(const std::string& aKey)
{
  const YAML::Node value = ReadValue(aKey, true);
  if (!value.IsDefined() || value.IsNull()) {
    return {};
  }
  if (!value.IsScalar() || value.Scalar().empty()) {
    mErrors.Add(LineOf(value), PathOf(aKey), "must be a string");
    return {};
  }
  return value.Scalar();
}

std::string
YamlReader::Text(const std::string& aKey, std::string_view aDefault)
{
  const YAML::Node& map = mNode;
  if (!map[aKey].IsDefined()) {
    return std::string(aDefault);
  }
  return Text(aKey);
}

std::uint64_t
YamlReader::ToNumber(const YAML::Node& aValue,
                     const std::string& aKey,
                     std::uint64_t aMin,
                     std::uint64_t aMax)
{
  const std::string text = aValue.IsScalar() ? aValue.Scalar() : "";
  std::uint64_t number = 0;
  const auto [end, status] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || status != std::errc{} ||
      end != text.data() + text.size()) {
    mErrors.Add(LineOf(aValue), PathOf(aKey), "must be a whole number");
    return aMin;
  }
  if (number < aMin || number > aMax) {
    mErrors.Add(
      LineOf(aValue),
      PathOf(aKey),
      fmt::format("must be from {} to {}, not {}", aMin, aMax, number));
    return aMin;
  }
  return number;
}

std::uint64_t
YamlReader::Number(const std::string& aKey,
                   std::uint64_t aMin,
                   std::uint64_t aMax)
{
  const YAML::Node value = ReadValue(aKey, true);
  if (!value.IsDefined() || value.IsNull()) {
    return aMin;
  }
  return ToNumber(value, aKey, aMin, aMax);
}

std::uint64_t
YamlReader::Number(const std::string& aKey,
                   std::uint64_t aMin,
                   std::uint64_t aMax,
                   std::uint64_t aDefault)
{
  const YAML::Node value = ReadValue(aKey, false);
  return value.IsDefined() ? ToNumber(value, aKey, aMin, aMax) : aDefault;
}

double
YamlReader::Fraction(const std::string& aKey,
                     double aMin,
                     double aMax,
                     double aDefault)
{
  const YAML::Node value = ReadValue(aKey, false);
  if (!value) {
    return aDefault;
  }
  double number = 0;
  if (!value.IsScalar() || !YAML::convert<double>::decode(value, number) ||
      !(number >= aMin && number <= aMax)) {
    mErrors.Add(value.Mark().line + 1,
                PathOf(aKey),
                fmt::format("must be a number from {} to {}", aMin, aMax));
    return aDefault;
  }
  return number;
}

bool
YamlReader::Boolean(const std::string& aKey, bool aDefault)
{
  const YAML::Node value = ReadValue(aKey, false);
  if (!value.IsDefined()) {
    return aDefault;
  }
  const std::string text = value.IsScalar() ? value.Scalar() : "";
  if (text != "true" && text != "false") {
    mErrors.Add(LineOf(value), PathOf(aKey), "must be true or false");
    return aDefault;
  }
  return text == "true";
}

std::vector<std::string>
YamlReader::TextList(const std::string& aKey)
{
  const YAML::Node value = ReadValue(aKey, false);
  std::vector<std::string> texts;
  if (!value.IsDefined()) {
    return texts;
  }
  if (!value.IsSequence()) {
    mErrors.Add(LineOf(value), PathOf(aKey), "must be a list");
    return texts;
  }
  for (const auto& item : value) {
    if (item.IsScalar()) {
      texts.push_back(item.Scalar());
    } else {
      mErrors.Add(LineOf(item), PathOf(aKey), "must contain only strings");
    }
  }
  return texts;
}

YamlReader
YamlReader::Map(const std::string& aKey, bool aRequired)
{
  const YAML::Node value = ReadValue(aKey, aRequired);
  if (!value.IsDefined() || value.IsNull()) {
    return { YAML::Node(YAML::NodeType::Map), PathOf(aKey), mErrors };
  }
  return { value, PathOf(aKey), mErrors };
}

void
YamlReader::AddError(const std::string& aKey, std::string_view aText)
{
  const YAML::Node& map = mNode;
  mErrors.Add(LineOf(map[aKey]), PathOf(aKey), aText);
}

void
YamlReader::Finish()
{
  for (const auto& entry : mNode) {
    const auto key = entry.first.as<std::string>("");
    if (mReadKeys.count(key) == 0) {
      mErrors.Add(LineOf(entry.first), PathOf(key), "is not a known key");
    }
  }
}

} // namespace nutmegrock::settings
