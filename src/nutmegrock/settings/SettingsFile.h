#pragma once

#include "core/Error.h"
#include "settings/NodeSettings.h"

#include <string>

namespace nutmegrock::settings {

/// Parses node settings from YAML. Fails with InvalidSettings, whose message
/// has one line per error: "NAME: line N: key: error".
core::Expected<NodeSettings>
ParseNodeSettings(const std::string& aYaml, const std::string& aName);

/// Reads node settings from a file. Fails with InvalidSettings.
core::Expected<NodeSettings>
LoadNodeSettings(const std::string& aPath);

/// Reads a whole file of at most 1 MiB. Fails with InvalidSettings.
core::Expected<std::string>
ReadTextFile(const std::string& aPath);

} // namespace nutmegrock::settings
