#include "gateway/ServerLoad.h"

#include "gateway/TextFields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <vector>

namespace nutmegrock::gateway {

namespace {

/// Work that takes more than a hundred times as long as usual is a wrong
/// report.
constexpr double kMaxWorkPercent = 10'000;

std::optional<std::uint32_t>
ParsePercent(std::string_view aText)
{
  double value = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  // Comparisons with a value that is not a number are false.
  if (error != std::errc() || stop != end || !(value > 0) ||
      !(value <= kMaxWorkPercent)) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(std::max(1L, std::lround(value)));
}

} // namespace

ServerLoad
ParseServerLoad(std::string_view aText)
{
  const std::vector<std::string_view> fields = SplitText(aText, ',');
  const auto number = [&fields](std::size_t aIndex) {
    return aIndex < fields.size() ? ParseNumber<std::uint32_t>(fields[aIndex])
                                  : std::optional<std::uint32_t>();
  };
  ServerLoad load;
  load.mRunning = number(0);
  load.mWaiting = number(1);
  load.mSlots = number(2);
  if (fields.size() > 3) {
    load.mWorkPercent = ParsePercent(fields[3]);
  }
  return load;
}

} // namespace nutmegrock::gateway
