#include "profiles/DocumentFault.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::profiles {

std::string
DocumentFault::ToString() const
{
  if (mKey.empty()) {
    return fmt::format("line {}: {}", mLine, mMessage);
  }
  return fmt::format("line {}: {}: {}", mLine, mKey, mMessage);
}

} // namespace nutmegrock::profiles
