#pragma once

#include <cstddef>
#include <string>

namespace nutmegrock::profiles {

/// One fault of a profile document.
struct DocumentFault
{
  /// Line of the document, from 1.
  std::size_t mLine = 1;
  /// Path of the key, such as "profiles.deposit.timeout_ms".
  std::string mKey;
  std::string mMessage;

  /// "line 4: profiles.deposit.timeout_ms: must be at least 1".
  std::string ToString() const;

  bool operator==(const DocumentFault&) const = default;
};

} // namespace nutmegrock::profiles
