#pragma once

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
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

/// Escapes the characters that separate fields and all that are not printable
/// as "%XX", so that any text can be a field of a header value.
inline std::string
EscapeText(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned char kDelete = 0x7f;
  std::string text;
  text.reserve(aText.size());
  for (const unsigned char byte : aText) {
    if (byte <= ' ' || byte >= kDelete || byte == '%' || byte == ';' ||
        byte == ',') {
      text += '%';
      text += kDigits[byte >> 4U];
      text += kDigits[byte & 0xfU];
    } else {
      text += static_cast<char>(byte);
    }
  }
  return text;
}

/// Reverts EscapeText(); returns nothing for a text that it does not produce.
inline std::optional<std::string>
UnescapeText(std::string_view aText)
{
  std::string text;
  text.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      text += aText[i];
      continue;
    }
    constexpr std::size_t kHexDigits = 2;
    constexpr int kHexBase = 16;
    const std::string_view digits = aText.substr(i + 1, kHexDigits);
    const auto byte = ParseNumber<unsigned>(digits, kHexBase);
    if (!byte || digits.size() != kHexDigits) {
      return std::nullopt;
    }
    text += static_cast<char>(*byte);
    i += kHexDigits;
  }
  return text;
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
