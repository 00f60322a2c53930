#pragma once

#include <string>
#include <string_view>

namespace nutmegrock::core {

/// Returns the SHA-256 digest of the text in lower-case hexadecimal.
std::string
Sha256Hex(std::string_view aText);

} // namespace nutmegrock::core
