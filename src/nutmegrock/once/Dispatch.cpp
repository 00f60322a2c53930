#include "once/Dispatch.h"

#include <charconv>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::once {

std::string
Dispatch::ToString(std::string_view aSecret) const
{
  return fmt::format("{}#{}", mKey.ToString(aSecret), mNumber);
}

core::Expected<Dispatch>
Dispatch::Parse(std::string_view aText, std::string_view aSecret)
{
  const auto separator = aText.rfind('#');
  const std::string_view digits =
    separator == std::string_view::npos ? "" : aText.substr(separator + 1);
  Dispatch dispatch;
  const char* const last = digits.data() + digits.size();
  const auto [end, status] =
    std::from_chars(digits.data(), last, dispatch.mNumber);
  if (digits.empty() || status != std::errc{} || end != last) {
    return core::Fail(core::ErrorKind::KeyInvalid,
                      "the dispatch key has no valid number");
  }
  auto key = IdempotencyKey::Parse(aText.substr(0, separator), aSecret);
  if (!key) {
    return tl::make_unexpected(key.error());
  }
  dispatch.mKey = std::move(*key);
  return dispatch;
}

} // namespace nutmegrock::once
