#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace nutmegrock::settings {

/// Faults found in one document, each "line N: key: what is wrong".
class FaultList
{
public:
  /// aLine counts from 1; 0 when no line is known.
  void Add(int aLine, std::string_view aKey, std::string_view aText);
  bool IsEmpty() const { return mLines.empty(); }
  const std::vector<std::string>& Lines() const { return mLines; }
  /// All faults, one a line.
  std::string Text() const;

private:
  std::vector<std::string> mLines;
};

/// Reads one YAML map key by key and records every fault: a wrong type, a
/// missing or out-of-range value, and on Finish() each key nobody asked for.
class YamlReader
{
public:
  /// aPath is the dotted name of the map, empty for the document.
  YamlReader(const YAML::Node& aNode, std::string aPath, FaultList& aFaults);

  /// The text of a required key, or empty after a fault.
  std::string Text(const std::string& aKey);
  /// The text of an optional key.
  std::string Text(const std::string& aKey, std::string_view aDefault);
  /// A required whole number within [aMin, aMax]; aMin after a fault.
  std::uint64_t Number(const std::string& aKey,
                       std::uint64_t aMin,
                       std::uint64_t aMax);
  std::uint64_t Number(const std::string& aKey,
                       std::uint64_t aMin,
                       std::uint64_t aMax,
                       std::uint64_t aDefault);
  /// An optional number within [aMin, aMax], which may be a fraction.
  double Fraction(const std::string& aKey,
                  double aMin,
                  double aMax,
                  double aDefault);
  bool Flag(const std::string& aKey, bool aDefault);
  /// A list of texts; empty when the key is absent.
  std::vector<std::string> TextList(const std::string& aKey);
  /// A map below this one; an empty map after a fault when aRequired.
  YamlReader Map(const std::string& aKey, bool aRequired);
  /// Records a fault of aKey found by the caller.
  void Reject(const std::string& aKey, std::string_view aText);
  /// Records a fault for each key that was not read.
  void Finish();

private:
  YAML::Node Take(const std::string& aKey, bool aRequired);
  std::string PathOf(const std::string& aKey) const;
  std::uint64_t ToNumber(const YAML::Node& aValue,
                         const std::string& aKey,
                         std::uint64_t aMin,
                         std::uint64_t aMax);

  YAML::Node mNode;
  std::string mPath;
  FaultList& mFaults;
  std::set<std::string> mTaken;
};

} // namespace nutmegrock::settings
