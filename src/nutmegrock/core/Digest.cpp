#include "core/Digest.h"

#include <array>
#include <openssl/sha.h>

namespace nutmegrock::core {

std::string
Sha256Hex(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  // Does not allocate, unlike the EVP interface; called for each request.
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xfU];
  }
  return text;
}

} // namespace nutmegrock::core
