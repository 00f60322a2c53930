#include "profiles/ProfileDifference.h"

#include <map>
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

namespace nutmegrock::profiles {

namespace {

using Values = std::map<std::string, std::string>;

/// All values of a set by path.
Values
ValuesOf(const ProfileSet& aSet)
{
  Values values;
  for (const auto& [name, profile] : aSet.mProfiles) {
    const std::string path = "profiles." + name + ".";
    values[path + "importance"] = core::NameOf(profile.mImportance);
    values[path + "timeout_ms"] = std::to_string(profile.mTimeout.count());
    values[path + "max_wait_ms"] = std::to_string(profile.mMaxWait.count());
    values[path + "idempotent"] = profile.mIdempotent ? "true" : "false";
    values[path + "retry_budget"] = std::to_string(profile.mRetryBudget);
  }
  for (const auto& [name, rule] : aSet.mServices) {
    const std::string path = "services." + name + ".";
    values[path + "default"] = rule.mDefaultProfile;
    if (!rule.mAllowed.empty()) {
      values[path + "allowed"] =
        fmt::format("[{}]", fmt::join(rule.mAllowed, ", "));
    }
  }
  return values;
}

} // namespace

std::string
ProfileChange::ToString() const
{
  if (!mBefore) {
    return fmt::format("{}: added {}", mPath, mAfter.value_or(""));
  }
  if (!mAfter) {
    return fmt::format("{}: removed {}", mPath, *mBefore);
  }
  return fmt::format("{}: {} -> {}", mPath, *mBefore, *mAfter);
}

std::vector<ProfileChange>
DifferenceOf(const ProfileSet& aBefore, const ProfileSet& aAfter)
{
  std::map<std::string, ProfileChange> changes;
  for (const auto& [path, value] : ValuesOf(aBefore)) {
    changes[path] = { path, value, {} };
  }
  for (const auto& [path, value] : ValuesOf(aAfter)) {
    changes[path].mPath = path;
    changes[path].mAfter = value;
  }
  std::vector<ProfileChange> differences;
  for (const auto& [path, change] : changes) {
    if (change.mBefore != change.mAfter) {
      differences.push_back(change);
    }
  }
  return differences;
}

} // namespace nutmegrock::profiles
