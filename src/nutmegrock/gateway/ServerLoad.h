#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace nutmegrock::gateway {

/// Load that a backend server reports with its responses, in the format
/// "running,waiting,slots,work time". It is a hint that may be stale or wrong.
struct ServerLoad
{
  std::optional<std::uint32_t> mRunning;
  std::optional<std::uint32_t> mWaiting;
  std::optional<std::uint32_t> mSlots;
  /// How long work takes on its machine at the moment, in percent of the usual
  /// time. Not set if the value is missing or impossible.
  std::optional<std::uint32_t> mWorkPercent;

  bool operator==(const ServerLoad&) const = default;
};

/// Parses the value of the header. Values that are missing or cannot be parsed
/// are not set.
ServerLoad
ParseServerLoad(std::string_view aText);

} // namespace nutmegrock::gateway
