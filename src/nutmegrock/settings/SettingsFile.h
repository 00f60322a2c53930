#pragma once

#include "core/Error.h"
#include "settings/NodeSettings.h"

#include <string>

namespace nutmegrock::settings {

/// Reads node settings from YAML text. Fails with InvalidSettings, whose
/// message has one line for each fault: "NAME: line N: key: what is wrong".
core::Expected<NodeSettings>
ParseNodeSettings(const std::string& aYaml, const std::string& aName);

/// The same from a file.
core::Expected<NodeSettings>
LoadNodeSettings(const std::string& aPath);

/// The whole content of a file of at most 1 MiB. Fails with InvalidSettings.
core::Expected<std::string>
ReadTextFile(const std::string& aPath);

} // namespace nutmegrock::settings
