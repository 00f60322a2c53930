#include "core/Importance.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::core {

Expected<Importance>
ParseImportance(std::string_view aName)
{
  for (std::size_t i = 0; i < kImportances; ++i) {
    if (kImportanceNames.at(i) == aName) {
      return static_cast<Importance>(i);
    }
  }
  return Fail(ErrorKind::InvalidProfiles,
              fmt::format("importance must be background, low, normal, high or "
                          "critical, not \"{}\"",
                          aName));
}

} // namespace nutmegrock::core
