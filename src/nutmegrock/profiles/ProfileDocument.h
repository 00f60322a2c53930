#pragma once

#include "core/Error.h"
#include "profiles/DocumentFault.h"
#include "profiles/ProfileSet.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::profiles {

/// Reads and writes the YAML document operators publish: a map `profiles` of
/// importance, timeout_ms, max_wait_ms, idempotent and retry_budget, and a map
/// `services` of default and allowed.
class ProfileDocument
{
public:
  /// Longest document accepted, in bytes.
  static constexpr std::size_t kMaxBytes = std::size_t{ 1024 } * 1024;

  /// What reading a document gave.
  struct Outcome
  {
    /// Complete only when there are no faults; its version is 0.
    ProfileSet mSet;
    std::vector<DocumentFault> mFaults;
  };

  /// Reads a document and lists every fault in it, in line order.
  static Outcome Check(std::string_view aText);
  /// Reads a document without faults as aVersion. Fails with InvalidProfiles,
  /// naming the faults.
  static core::Expected<ProfileSet> Parse(std::string_view aText,
                                          std::uint64_t aVersion);
  /// The document of a set; Parse() of it gives the set again.
  static std::string Write(const ProfileSet& aSet);
};

} // namespace nutmegrock::profiles
