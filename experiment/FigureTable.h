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

/// One measured value, with its target if it has one.
struct Figure
{
  std::string mName;
  double mValue = 0.0;
  std::string mUnit;
  std::optional<Target> mTarget;

  /// Whether the target is met; empty without a target.
  std::optional<bool> Ok() const;

  bool operator==(const Figure&) const = default;
};

/// The result of one experiment, in the order in which it was measured.
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
  /// The JSON object of section 11; target and ok are null without a target.
  std::string Json() const;
  std::string ToString() const;
  /// False if a figure misses its target.
  bool AllOk() const;
};

/// Text columns, the first aligned left and the others right. The first row is
/// the header.
std::string
FormatColumns(const std::vector<std::vector<std::string>>& aRows);

/// A number with three significant decimals, or none for large values.
std::string
FormatNumber(double aValue);

} // namespace nutmegrock::experiment
