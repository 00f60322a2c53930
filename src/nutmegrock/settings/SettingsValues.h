#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "settings/YamlReader.h"

#include <string>

namespace nutmegrock::settings {

/// An address under the key; empty after a fault.
core::Address
ReadAddress(YamlReader& aReader, const std::string& aKey);

/// A name of at most 64 characters without '/'.
std::string
ReadName(YamlReader& aReader, const std::string& aKey);

/// An http:// URL.
std::string
ReadUrl(YamlReader& aReader, const std::string& aKey);

/// The level under the key "level" of a log map.
std::string
ReadLogLevel(YamlReader aReader);

/// InvalidSettings with one line for each fault, each with the file's name.
core::Error
FaultError(const FaultList& aFaults, const std::string& aName);

} // namespace nutmegrock::settings
