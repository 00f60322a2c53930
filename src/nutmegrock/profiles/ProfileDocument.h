#pragma once

#include "core/Error.h"
#include "profiles/DocumentFault.h"
#include "profiles/ProfileSet.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::profiles {

/// Reads and writes the YAML document that operators publish: a map `profiles`
/// of importance, timeout_ms, max_wait_ms, idempotent and retry_budget, and a
/// map `services` of default and allowed.
class ProfileDocument
{
public:
  /// Maximum size of a document in bytes.
  static constexpr std::size_t kMaxBytes = std::size_t{ 1024 } * 1024;

  /// Result of reading a document.
  struct Outcome
  {
    /// Complete only if there are no faults; its version is 0.
    ProfileSet mSet;
    std::vector<DocumentFault> mFaults;
  };

  /// Reads a document and lists all its faults in line order.
  static Outcome Check(std::string_view aText);
  /// Reads a document as version aVersion. Fails with InvalidProfiles, listing
  /// the faults, if there are any.
  static core::Expected<ProfileSet> Parse(std::string_view aText,
                                          std::uint64_t aVersion);
  /// Writes a set as a document, from which Parse() restores the set.
  static std::string Write(const ProfileSet& aSet);
};

} // namespace nutmegrock::profiles
