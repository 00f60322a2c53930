#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace nutmegrock::settings {

/// Errors found in one document, each "line N: key: error".
class ErrorList
{
public:
  /// aLine counts from 1; 0 if unknown.
  void Add(int aLine, std::string_view aKey, std::string_view aText);
  bool IsEmpty() const { return mLines.empty(); }
  const std::vector<std::string>& Lines() const { return mLines; }
  /// All errors, one per line.
  std::string ToString() const;

private:
  std::vector<std::string> mLines;
};

/// Reads one YAML map key by key and records every error: a wrong type, a
/// missing or out-of-range value, and, in Finish(), each key that was not read.
class YamlReader
{
public:
  /// aPath is the dotted name of the map, empty for the document.
  YamlReader(const YAML::Node& aNode, std::string aPath, ErrorList& aErrors);

  /// The text of a required key, or empty after an error.
  std::string Text(const std::string& aKey);
  /// The text of an optional key.
  std::string Text(const std::string& aKey, std::string_view aDefault);
  /// A required integer in [aMin, aMax]; aMin after an error.
  std::uint64_t Number(const std::string& aKey,
                       std::uint64_t aMin,
                       std::uint64_t aMax);
  std::uint64_t Number(const std::string& aKey,
                       std::uint64_t aMin,
                       std::uint64_t aMax,
                       std::uint64_t aDefault);
  /// An optional number in [aMin, aMax], which may have a fractional part.
  double Fraction(const std::string& aKey,
                  double aMin,
                  double aMax,
                  double aDefault);
  bool Boolean(const std::string& aKey, bool aDefault);
  /// A list of strings; empty if the key is absent.
  std::vector<std::string> TextList(const std::string& aKey);
  /// A nested map; empty if absent, which is an error if aRequired.
  YamlReader Map(const std::string& aKey, bool aRequired);
  /// Records an error of aKey found by the caller.
  void AddError(const std::string& aKey, std::string_view aText);
  /// Records an error for each key that was not read.
  void Finish();

private:
  YAML::Node ReadValue(const std::string& aKey, bool aRequired);
  std::string PathOf(const std::string& aKey) const;
  std::uint64_t ToNumber(const YAML::Node& aValue,
                         const std::string& aKey,
                         std::uint64_t aMin,
                         std::uint64_t aMax);

  YAML::Node mNode;
  std::string mPath;
  ErrorList& mErrors;
  std::set<std::string> mReadKeys;
};

} // namespace nutmegrock::settings
