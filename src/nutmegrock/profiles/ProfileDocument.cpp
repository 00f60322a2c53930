#include "profiles/ProfileDocument.h"

#include "profiles/DocumentCheck.h"

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/yaml.h>

namespace nutmegrock::profiles {

namespace {

ProfileDocument::Outcome
SingleFault(std::size_t aLine, std::string aMessage)
{
  return { {}, { { aLine, "", std::move(aMessage) } } };
}

} // namespace

ProfileDocument::Outcome
ProfileDocument::Check(std::string_view aText)
{
  if (aText.size() > kMaxBytes) {
    return SingleFault(
      1, fmt::format("the document is longer than {} bytes", kMaxBytes));
  }
  try {
    const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(aText));
    if (documents.empty()) {
      return SingleFault(1, "the document is empty");
    }
    if (documents.size() > 1) {
      const int line = documents[1].Mark().line;
      return SingleFault(line < 0 ? 1 : static_cast<std::size_t>(line) + 1,
                         "a second YAML document follows");
    }
    return DocumentCheck().Run(documents.front());
  } catch (const YAML::Exception& exception) {
    const int line = exception.mark.line;
    return SingleFault(line < 0 ? 1 : static_cast<std::size_t>(line) + 1,
                       "not YAML: " + exception.msg);
  }
}

core::Expected<ProfileSet>
ProfileDocument::Parse(std::string_view aText, std::uint64_t aVersion)
{
  Outcome outcome = Check(aText);
  if (outcome.mFaults.empty()) {
    outcome.mSet.mVersion = aVersion;
    return std::move(outcome.mSet);
  }
  std::string message;
  for (const DocumentFault& fault : outcome.mFaults) {
    message += (message.empty() ? "" : "; ") + fault.ToString();
  }
  return core::Fail(core::ErrorKind::InvalidProfiles, std::move(message));
}

std::string
ProfileDocument::Write(const ProfileSet& aSet)
{
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "profiles" << YAML::Value
      << YAML::BeginMap;
  for (const auto& [name, profile] : aSet.mProfiles) {
    out << YAML::Key << name << YAML::Value << YAML::BeginMap;
    out << YAML::Key << "importance" << YAML::Value
        << std::string(core::NameOf(profile.mImportance));
    out << YAML::Key << "timeout_ms" << YAML::Value << profile.mTimeout.count();
    out << YAML::Key << "max_wait_ms" << YAML::Value
        << profile.mMaxWait.count();
    out << YAML::Key << "idempotent" << YAML::Value << profile.mIdempotent;
    out << YAML::Key << "retry_budget" << YAML::Value << profile.mRetryBudget;
    out << YAML::EndMap;
  }
  out << YAML::EndMap << YAML::Key << "services" << YAML::Value
      << YAML::BeginMap;
  for (const auto& [name, rule] : aSet.mServices) {
    out << YAML::Key << name << YAML::Value << YAML::BeginMap;
    out << YAML::Key << "default" << YAML::Value << rule.mDefaultProfile;
    if (!rule.mAllowed.empty()) {
      out << YAML::Key << "allowed" << YAML::Value << YAML::Flow
          << rule.mAllowed;
    }
    out << YAML::EndMap;
  }
  out << YAML::EndMap << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

} // namespace nutmegrock::profiles
