#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <vector>

namespace nutmegrock::gateway {

/// The parts of a text between separators.
inline std::vector<std::string_view>
SplitText(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  std::size_t begin = 0;
  while (begin <= aText.size()) {
    const std::size_t end = aText.find(aSeparator, begin);
    parts.push_back(
      aText.substr(begin, end == std::string_view::npos ? end : end - begin));
    if (end == std::string_view::npos) {
      break;
    }
    begin = end + 1;
  }
  return parts;
}

/// A whole number that is the whole text, or nothing.
template<class Number>
std::optional<Number>
ParseNumber(std::string_view aText, int aBase = 10)
{
  Number value{};
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value, aBase);
  if (aText.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace nutmegrock::gateway
