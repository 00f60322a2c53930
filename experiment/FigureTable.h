#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::experiment {

enum class Comparison : std::uint8_t
{
  AtMost,
  AtLeast
};

struct Target
{
  Comparison mComparison = Comparison::AtMost;
  double mValue = 0.0;

  bool operator==(const Target&) const = default;
};

/// One measured value, with an optional target.
struct Figure
{
  std::string mName;
  double mValue = 0.0;
  std::string mUnit;
  std::optional<Target> mTarget;

  /// True if the value meets the target; empty without a target.
  std::optional<bool> MeetsTarget() const;

  bool operator==(const Figure&) const = default;
};

/// Results of one experiment, in the order of measurement.
struct FigureTable
{
  std::string mExperiment;
  std::string mDeployment;
  std::uint64_t mSeed = 0;
  std::vector<Figure> mFigures;

  void Add(std::string aName,
           double aValue,
           std::string aUnit,
           std::optional<Target> aTarget = std::nullopt);
  /// The JSON object of section 11; `target` and `ok` are null without a
  /// target.
  std::string Json() const;
  std::string ToString() const;
  /// Returns false if any figure misses its target.
  bool AllTargetsMet() const;
};

/// Formats rows as text columns, the first left-aligned and the others
/// right-aligned. The first row is the header.
std::string
FormatColumns(const std::vector<std::vector<std::string>>& aRows);

/// Formats a number with three significant decimals, or none if it is large.
std::string
FormatNumber(double aValue);

} // namespace nutmegrock::experiment
