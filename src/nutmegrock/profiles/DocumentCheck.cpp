#include "profiles/DocumentCheck.h"

#include <algorithm>
#include <charconv>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::profiles {

namespace {

/// One hour: longer than any customer waits, and short enough to catch a value
/// in microseconds.
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
/// More attempts cannot end while the customer waits.
constexpr std::int64_t kMaxRetryBudget = 64;
/// In bytes; names are sent in HTTP headers and datagrams.
constexpr std::size_t kMaxName = 64;
/// Far above the 430 services of the largest deployment.
constexpr std::size_t kMaxEntries = 10'000;

bool
IsName(const std::string& aName)
{
  const auto valid = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
           aCharacter == '_' || aCharacter == '.';
  };
  return !aName.empty() && aName.size() <= kMaxName &&
         std::all_of(aName.begin(), aName.end(), valid);
}

/// True if the value is written without quotes; "30" in quotes is a string.
bool
IsPlain(const YAML::Node& aNode)
{
  return aNode.IsScalar() && aNode.Tag() == "?";
}

std::string
Join(const std::string& aPath, const std::string& aKey)
{
  return aPath.empty() ? aKey : aPath + "." + aKey;
}

std::string
KeyName(const YAML::Node& aNode)
{
  return aNode.IsScalar() ? aNode.Scalar() : "(not a name)";
}

} // namespace

ProfileDocument::Outcome
DocumentCheck::Run(const YAML::Node& aRoot)
{
  // Services are read last regardless of their position, since they refer to
  // profiles.
  std::optional<YAML::Node> services;
  ReadFields(
    "",
    aRoot,
    { { "profiles",
        true,
        [this](const std::string& aPath, const YAML::Node& aNode) {
          ReadMap(aPath,
                  aNode,
                  [this](const std::string& aName, const YAML::Node& aValue) {
                    ReadProfile(aName, aValue);
                  });
          if (aNode.IsMap() && aNode.size() == 0) {
            AddFault(aNode, aPath, "must name at least one profile");
          }
        } },
      { "services",
        true,
        [&services](const std::string&, const YAML::Node& aNode) {
          services.emplace(aNode);
        } } });
  if (services) {
    ReadMap("services",
            *services,
            [this](const std::string& aName, const YAML::Node& aValue) {
              ReadService(aName, aValue);
            });
  }
  std::stable_sort(mOutcome.mFaults.begin(),
                   mOutcome.mFaults.end(),
                   [](const DocumentFault& aLeft, const DocumentFault& aRight) {
                     return aLeft.mLine < aRight.mLine;
                   });
  return std::move(mOutcome);
}

void
DocumentCheck::ReadProfile(const std::string& aName, const YAML::Node& aNode)
{
  mProfileNames.insert(aName);
  Profile profile;
  profile.mName = aName;
  const auto milliseconds = [this](std::int64_t aMin,
                                   std::chrono::milliseconds& aValue) {
    return [this, aMin, &aValue](const std::string& aPath,
                                 const YAML::Node& aValueNode) {
      aValue = std::chrono::milliseconds(
        ReadInteger(aPath, aValueNode, aMin, kMaxTimeoutMs).value_or(0));
    };
  };
  std::size_t faults = mOutcome.mFaults.size();
  const bool isMap = ReadFields(
    "profiles." + aName,
    aNode,
    { { "importance",
        true,
        [&](const std::string& aPath, const YAML::Node& aValue) {
          const auto importance =
            core::ParseImportance(ReadText(aPath, aValue).value_or("low"));
          if (importance) {
            profile.mImportance = *importance;
          } else {
            AddFault(aValue, aPath, importance.error().mMessage);
          }
        } },
      { "timeout_ms", true, milliseconds(1, profile.mTimeout) },
      { "max_wait_ms", true, milliseconds(0, profile.mMaxWait) },
      { "idempotent",
        true,
        [&](const std::string& aPath, const YAML::Node& aValue) {
          profile.mIdempotent = ReadBoolean(aPath, aValue).value_or(false);
        } },
      { "retry_budget",
        true,
        [&](const std::string& aPath, const YAML::Node& aValue) {
          profile.mRetryBudget = static_cast<std::uint32_t>(
            ReadInteger(aPath, aValue, 0, kMaxRetryBudget).value_or(0));
        } } });
  if (isMap && faults == mOutcome.mFaults.size() &&
      profile.mMaxWait > profile.mTimeout) {
    AddFault(aNode["max_wait_ms"],
             "profiles." + aName + ".max_wait_ms",
             "must not be longer than timeout_ms");
  }
  mOutcome.mSet.mProfiles.emplace(aName, std::move(profile));
}

void
DocumentCheck::ReadService(const std::string& aName, const YAML::Node& aNode)
{
  ServiceRule rule;
  ReadFields("services." + aName,
             aNode,
             { { "default",
                 true,
                 [&](const std::string& aPath, const YAML::Node& aValue) {
                   if (const auto text = ReadText(aPath, aValue)) {
                     CheckProfileExists(aPath, aValue, *text);
                     rule.mDefaultProfile = *text;
                   }
                 } },
               { "allowed",
                 false,
                 [&](const std::string& aPath, const YAML::Node& aValue) {
                   ReadAllowed(aPath, aValue, rule);
                 } } });
  mOutcome.mSet.mServices.emplace(aName, std::move(rule));
}

void
DocumentCheck::ReadAllowed(const std::string& aPath,
                           const YAML::Node& aNode,
                           ServiceRule& aRule)
{
  if (!aNode.IsSequence()) {
    return AddFault(aNode, aPath, "must be a list of profile names");
  }
  std::set<std::string> names;
  for (const YAML::Node& entry : aNode) {
    const auto name = ReadText(aPath, entry);
    if (!name) {
      continue;
    }
    if (!names.insert(*name).second) {
      AddFault(entry, aPath, fmt::format("names \"{}\" twice", *name));
      continue;
    }
    CheckProfileExists(aPath, entry, *name);
    aRule.mAllowed.push_back(*name);
  }
}

void
DocumentCheck::ReadMap(
  const std::string& aPath,
  const YAML::Node& aNode,
  const std::function<void(const std::string& aName, const YAML::Node& aValue)>&
    aRead)
{
  if (!aNode.IsMap()) {
    return AddFault(aNode, aPath, "must be a map");
  }
  if (aNode.size() > kMaxEntries) {
    return AddFault(
      aNode, aPath, fmt::format("has more than {} entries", kMaxEntries));
  }
  std::set<std::string> names;
  for (const auto& entry : aNode) {
    const std::string name = KeyName(entry.first);
    const std::string path = Join(aPath, name);
    if (!IsName(name)) {
      AddFault(entry.first,
               path,
               fmt::format("a name has 1 to {} letters, digits, \"-\", \"_\" "
                           "or \".\"",
                           kMaxName));
    } else if (!names.insert(name).second) {
      AddFault(entry.first, path, "is a duplicate");
    } else if (entry.second.IsNull()) {
      AddFault(entry.first, path, "has no value");
    } else {
      aRead(name, entry.second);
    }
  }
}

bool
DocumentCheck::ReadFields(const std::string& aPath,
                          const YAML::Node& aNode,
                          const std::vector<Field>& aFields)
{
  if (!aNode.IsMap()) {
    AddFault(aNode, aPath, "must be a map");
    return false;
  }
  std::set<std::string> seen;
  for (const auto& entry : aNode) {
    const std::string name = KeyName(entry.first);
    const auto field =
      std::find_if(aFields.begin(), aFields.end(), [&](const Field& aField) {
        return aField.mName == name;
      });
    if (field == aFields.end()) {
      AddFault(entry.first, Join(aPath, name), "is not a known key");
    } else if (!seen.insert(name).second) {
      AddFault(entry.first, Join(aPath, name), "is a duplicate");
    } else if (entry.second.IsNull()) {
      // yaml-cpp reports a null at the position of the next token, often on
      // another line.
      AddFault(entry.first, Join(aPath, name), "has no value");
    } else {
      field->mRead(Join(aPath, name), entry.second);
    }
  }
  for (const Field& field : aFields) {
    if (field.mRequired && !seen.contains(field.mName)) {
      AddFault(aNode, Join(aPath, field.mName), "is missing");
    }
  }
  return true;
}

std::optional<std::int64_t>
DocumentCheck::ReadInteger(const std::string& aPath,
                           const YAML::Node& aNode,
                           std::int64_t aMin,
                           std::int64_t aMax)
{
  const std::string text = IsPlain(aNode) ? aNode.Scalar() : "";
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, status] = std::from_chars(text.data(), end, value);
  if (text.empty() || stopped != end || status == std::errc::invalid_argument) {
    AddFault(aNode, aPath, "must be a whole number");
    return std::nullopt;
  }
  if (status != std::errc{} || value < aMin || value > aMax) {
    AddFault(
      aNode, aPath, fmt::format("must be between {} and {}", aMin, aMax));
    return std::nullopt;
  }
  return value;
}

std::optional<bool>
DocumentCheck::ReadBoolean(const std::string& aPath, const YAML::Node& aNode)
{
  const std::string text = IsPlain(aNode) ? aNode.Scalar() : "";
  if (text != "true" && text != "false") {
    AddFault(aNode, aPath, "must be true or false");
    return std::nullopt;
  }
  return text == "true";
}

std::optional<std::string>
DocumentCheck::ReadText(const std::string& aPath, const YAML::Node& aNode)
{
  if (!aNode.IsScalar()) {
    AddFault(aNode, aPath, "must be a string");
    return std::nullopt;
  }
  return aNode.Scalar();
}

void
DocumentCheck::CheckProfileExists(const std::string& aPath,
                                  const YAML::Node& aNode,
                                  const std::string& aName)
{
  if (!mProfileNames.contains(aName)) {
    AddFault(
      aNode,
      aPath,
      fmt::format("names the profile \"{}\", which does not exist", aName));
  }
}

void
DocumentCheck::AddFault(const YAML::Node& aNode,
                        const std::string& aKey,
                        std::string aMessage)
{
  const int line = aNode.Mark().line;
  mOutcome.mFaults.push_back(
    { line < 0 ? 1 : static_cast<std::size_t>(line) + 1,
      aKey,
      std::move(aMessage) });
}

} // namespace nutmegrock::profiles
