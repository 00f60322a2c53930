#pragma once

#include "profiles/Profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::profiles {

/// Profiles that outside callers of a service may choose.
struct ServiceRule
{
  /// Profile of calls that name none.
  std::string mDefaultProfile;
  /// Profiles that an outside caller may name; empty allows only the default.
  std::vector<std::string> mAllowed;

  bool operator==(const ServiceRule&) const = default;
};

/// A published version of all profiles. Immutable once in force.
struct ProfileSet
{
  /// 1 for the first publication; 0 for none.
  std::uint64_t mVersion = 0;
  std::map<std::string, Profile, std::less<>> mProfiles;
  std::map<std::string, ServiceRule, std::less<>> mServices;

  /// The profile with a name, or null.
  const Profile* Find(std::string_view aName) const
  {
    const auto found = mProfiles.find(aName);
    return found == mProfiles.end() ? nullptr : &found->second;
  }
  /// The rule of a service, or null.
  const ServiceRule* FindService(std::string_view aService) const
  {
    const auto found = mServices.find(aService);
    return found == mServices.end() ? nullptr : &found->second;
  }

  bool operator==(const ProfileSet&) const = default;
};

} // namespace nutmegrock::profiles
