#include "once/IdempotencyKey.h"

#include <array>
#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <spdlog/fmt/fmt.h>
#include <vector>

namespace nutmegrock::once {

namespace {

constexpr std::string_view kFormat = "nk1";
constexpr std::size_t kFieldCount = 5;
constexpr std::size_t kMaxTextLength = 128;
constexpr int kHexBase = 16;
/// Separates the fields; no address contains it.
constexpr char kSeparator = '_';

std::string
SignatureOf(std::string_view aText, std::string_view aSecret)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       digest.data(),
       &size);
  std::string code;
  for (std::size_t i = 0; i < sizeof(std::uint64_t); ++i) {
    code += fmt::format("{:02x}", digest.at(i));
  }
  return code;
}

bool
ParseHex(std::string_view aText, std::uint64_t& aValue)
{
  const char* const last = aText.data() + aText.size();
  const auto [end, status] =
    std::from_chars(aText.data(), last, aValue, kHexBase);
  return status == std::errc{} && end == last && !aText.empty();
}

std::vector<std::string_view>
Split(std::string_view aText)
{
  std::vector<std::string_view> fields;
  std::size_t from = 0;
  while (from <= aText.size()) {
    const auto to = std::min(aText.find(kSeparator, from), aText.size());
    fields.push_back(aText.substr(from, to - from));
    from = to + 1;
  }
  return fields;
}

bool
IsEqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

std::string
IdempotencyKey::ToString(std::string_view aSecret) const
{
  const std::string text = fmt::format("{}{}{}{}{}{}{:x}",
                                       kFormat,
                                       kSeparator,
                                       mOwner.ToString(),
                                       kSeparator,
                                       mAddress.ToString(),
                                       kSeparator,
                                       mSequence);
  return text + kSeparator + SignatureOf(text, aSecret);
}

core::Expected<IdempotencyKey>
IdempotencyKey::Parse(std::string_view aText, std::string_view aSecret)
{
  const auto invalid = [] {
    return core::Fail(core::ErrorKind::KeyInvalid,
                      "the key was not issued by a node of this mesh");
  };
  if (aText.size() > kMaxTextLength) {
    return invalid();
  }
  const auto fields = Split(aText);
  if (fields.size() != kFieldCount || fields[0] != kFormat) {
    return invalid();
  }
  const auto signed_part = aText.substr(0, aText.rfind(kSeparator));
  if (!IsEqualConstantTime(fields[4], SignatureOf(signed_part, aSecret))) {
    return invalid();
  }
  IdempotencyKey key;
  auto address = core::Address::Parse(fields[2]);
  if (!ParseHex(fields[1], key.mOwner.mBits) || !address ||
      !ParseHex(fields[3], key.mSequence)) {
    return invalid();
  }
  key.mAddress = std::move(*address);
  return key;
}

} // namespace nutmegrock::once
