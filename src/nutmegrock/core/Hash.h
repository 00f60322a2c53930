#pragma once

#include <cstdint>
#include <string_view>

namespace nutmegrock::core {

/// 64-bit xxHash; the same on every node.
std::uint64_t
HashOf(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace nutmegrock::core
