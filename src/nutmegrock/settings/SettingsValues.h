#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "settings/YamlReader.h"

#include <string>

namespace nutmegrock::settings {

/// Reads an address; empty after an error.
core::Address
ReadAddress(YamlReader& aReader, const std::string& aKey);

/// Reads a name of at most 64 characters without '/'.
std::string
ReadName(YamlReader& aReader, const std::string& aKey);

/// Reads an http:// URL.
std::string
ReadUrl(YamlReader& aReader, const std::string& aKey);

/// Reads the key "level" of a log map.
std::string
ReadLogLevel(YamlReader aReader);

/// Makes an InvalidSettings error with one line per entry, each with the file
/// name.
core::Error
MakeSettingsError(const ErrorList& aErrors, const std::string& aName);

} // namespace nutmegrock::settings
