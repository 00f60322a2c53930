#include "core/Incarnation.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::core {

std::string
Incarnation::ToString() const
{
  return fmt::format("{:016x}", mBits);
}

} // namespace nutmegrock::core
