#pragma once

#include "core/Error.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace nutmegrock::core {

/// Importance of a request. Requests of lower importance are shed first.
enum class Importance : std::uint8_t
{
  Background,
  Low,
  Normal,
  High,
  Critical
};

constexpr std::size_t kImportances = 5;

constexpr std::array<std::string_view, kImportances>
  kImportanceNames = { "background", "low", "normal", "high", "critical" };

/// The name used in profile documents.
inline std::string_view
NameOf(Importance aImportance)
{
  return kImportanceNames.at(static_cast<std::size_t>(aImportance));
}

/// Parses a name of kImportanceNames. Fails with InvalidProfiles.
Expected<Importance>
ParseImportance(std::string_view aName);

} // namespace nutmegrock::core
