#pragma once

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace nutmegrock::gateway {

/// Splits the text at a separator.
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

/// Parses an integer that spans the whole text; returns nothing otherwise.
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

/// Fractions are written in thousandths.
inline std::int64_t
ToThousandths(double aValue)
{
  constexpr double kThousandth = 1000.0;
  return std::llround(aValue * kThousandth);
}

/// Parses a fraction of at least zero; returns nothing otherwise. Clamps values
/// above 1000, which only a fault can produce.
inline std::optional<double>
FromThousandths(std::string_view aText)
{
  constexpr double kThousandth = 1000.0;
  constexpr std::int64_t kMaxThousandths = 1'000'000;
  const auto value = ParseNumber<std::int64_t>(aText);
  if (!value || *value < 0) {
    return std::nullopt;
  }
  return static_cast<double>(std::min(*value, kMaxThousandths)) / kThousandth;
}

} // namespace nutmegrock::gateway
