#pragma once

#include "profiles/Profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::profiles {

/// What one service lets outside callers choose.
struct ServiceRule
{
  /// Profile of a call that names none.
  std::string mDefaultProfile;
  /// Profiles an outside caller may name; empty stands for the default only.
  std::vector<std::string> mAllowed;

  bool operator==(const ServiceRule&) const = default;
};

/// One published version of all profiles. Immutable once in force.
struct ProfileSet
{
  /// 1 for the first publication; 0 stands for none.
  std::uint64_t mVersion = 0;
  std::map<std::string, Profile, std::less<>> mProfiles;
  std::map<std::string, ServiceRule, std::less<>> mServices;

  /// The profile of that name, or null.
  const Profile* Find(std::string_view aName) const
  {
    const auto found = mProfiles.find(aName);
    return found == mProfiles.end() ? nullptr : &found->second;
  }
  /// The rule of that service, or null.
  const ServiceRule* FindService(std::string_view aService) const
  {
    const auto found = mServices.find(aService);
    return found == mServices.end() ? nullptr : &found->second;
  }

  bool operator==(const ProfileSet&) const = default;
};

} // namespace nutmegrock::profiles
