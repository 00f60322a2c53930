#include "core/RequestId.h"

#include "core/Hash.h"

#include <algorithm>
#include <cctype>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::core {

namespace {

bool
IsAllowed(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         std::string_view("-_.:").find(aCharacter) != std::string_view::npos;
}

} // namespace

RequestId::RequestId(std::string aText)
  : mText(std::move(aText))
  , mHash(HashOf(mText))
{
}

Expected<RequestId>
RequestId::Parse(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxLength) {
    return Fail(ErrorKind::BadRequest,
                fmt::format("request identity must have 1 to {} characters, "
                            "not {}",
                            kMaxLength,
                            aText.size()));
  }
  if (!std::all_of(aText.begin(), aText.end(), IsAllowed)) {
    return Fail(ErrorKind::BadRequest,
                "request identity may hold only letters, digits and '-_.:'");
  }
  return RequestId(std::string(aText));
}

RequestId
RequestId::FromBits(std::uint64_t aHigh, std::uint64_t aLow)
{
  return RequestId(fmt::format("{:016x}{:016x}", aHigh, aLow));
}

} // namespace nutmegrock::core
