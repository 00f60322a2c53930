#include "admin/ProfileJson.h"

namespace nutmegrock::admin {

namespace {

using web::json::value;

value
TextOrNull(const std::optional<std::string>& aText)
{
  return aText ? value::string(*aText) : value::null();
}

value
JsonOf(const profiles::Profile& aProfile)
{
  value json = value::object();
  json["importance"] =
    value::string(std::string(core::NameOf(aProfile.mImportance)));
  json["timeout_ms"] =
    value::number(static_cast<std::int64_t>(aProfile.mTimeout.count()));
  json["max_wait_ms"] =
    value::number(static_cast<std::int64_t>(aProfile.mMaxWait.count()));
  json["idempotent"] = value::boolean(aProfile.mIdempotent);
  json["retry_budget"] = value::number(aProfile.mRetryBudget);
  return json;
}

value
JsonOf(const profiles::ServiceRule& aRule)
{
  value allowed = value::array(aRule.mAllowed.size());
  for (std::size_t i = 0; i < aRule.mAllowed.size(); ++i) {
    allowed[i] = value::string(aRule.mAllowed[i]);
  }
  value json = value::object();
  json["default"] = value::string(aRule.mDefaultProfile);
  json["allowed"] = allowed;
  return json;
}

} // namespace

value
JsonOf(const profiles::ProfileRecord& aRecord)
{
  value json = value::object();
  json["version"] = value::number(aRecord.mVersion);
  json["publication"] = value::string(aRecord.mPublication);
  json["author"] = value::string(aRecord.mAuthor);
  json["time"] = value::string(profiles::FormatTime(aRecord.mTime));
  return json;
}

value
JsonOf(const profiles::PublishedSet& aPublished)
{
  value json = JsonOf(aPublished.mRecord);
  json["document"] = value::string(aPublished.mRecord.mDocument);
  json["profiles"] = value::object();
  for (const auto& [name, profile] : aPublished.mSet.mProfiles) {
    json["profiles"][name] = JsonOf(profile);
  }
  json["services"] = value::object();
  for (const auto& [name, rule] : aPublished.mSet.mServices) {
    json["services"][name] = JsonOf(rule);
  }
  return json;
}

value
JsonOf(const std::vector<profiles::DocumentFault>& aFaults)
{
  value json = value::array(aFaults.size());
  for (std::size_t i = 0; i < aFaults.size(); ++i) {
    json[i]["line"] =
      value::number(static_cast<std::uint64_t>(aFaults[i].mLine));
    json[i]["key"] = value::string(aFaults[i].mKey);
    json[i]["message"] = value::string(aFaults[i].mMessage);
  }
  return json;
}

value
JsonOf(const std::vector<profiles::ProfileChange>& aChanges)
{
  value json = value::array(aChanges.size());
  for (std::size_t i = 0; i < aChanges.size(); ++i) {
    json[i]["path"] = value::string(aChanges[i].mPath);
    json[i]["before"] = TextOrNull(aChanges[i].mBefore);
    json[i]["after"] = TextOrNull(aChanges[i].mAfter);
  }
  return json;
}

} // namespace nutmegrock::admin
