#pragma once

#include "core/Error.h"

#include <cstdint>
#include <string>

namespace nutmegrock::node {

/// Capacity that a backend server announces.
struct Announcement
{
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;

  /// Parses {"slots":N,"connections":N}. Fails with BadRequest.
  static core::Expected<Announcement> Parse(const std::string& aJson);

  bool operator==(const Announcement&) const = default;
};

/// Load that a backend server reports. Only shown to operators: reports can be
/// late or wrong, so no decision uses them.
struct LoadReport
{
  std::uint32_t mInUse = 0;
  std::uint32_t mWaiting = 0;

  /// Parses {"in_use":N,"waiting":N}. Fails with BadRequest.
  static core::Expected<LoadReport> Parse(const std::string& aJson);

  bool operator==(const LoadReport&) const = default;
};

} // namespace nutmegrock::node
