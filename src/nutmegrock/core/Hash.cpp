#include "core/Hash.h"

#include <xxhash.h>

namespace nutmegrock::core {

std::uint64_t
HashOf(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace nutmegrock::core
