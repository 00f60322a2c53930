#pragma once

#include <cstddef>
#include <string>

namespace nutmegrock::profiles {

/// A fault in a profile document.
struct DocumentFault
{
  /// Line in the document, starting at 1.
  std::size_t mLine = 1;
  /// Path of the key, such as "profiles.deposit.timeout_ms".
  std::string mKey;
  std::string mMessage;

  /// "line 4: profiles.deposit.timeout_ms: must be at least 1".
  std::string ToString() const;

  bool operator==(const DocumentFault&) const = default;
};

} // namespace nutmegrock::profiles
