#include "experiment/FigureTable.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cpprest/json.h>
#include <cstdio>

namespace nutmegrock::experiment {

std::optional<bool>
Figure::MeetsTarget() const
{
  if (!mTarget) {
    return std::nullopt;
  }
  // NaN stands for a figure that was not measured; it meets no target.
  return mTarget->mComparison == Comparison::AtMost ? mValue <= mTarget->mValue
                                                    : mValue >= mTarget->mValue;
}

void
FigureTable::Add(std::string aName,
                 double aValue,
                 std::string aUnit,
                 std::optional<Target> aTarget)
{
  mFigures.push_back({ std::move(aName), aValue, std::move(aUnit), aTarget });
}

std::string
FigureTable::Json() const
{
  using web::json::value;
  auto figures = value::object(true);
  for (const Figure& figure : mFigures) {
    auto entry = value::object(true);
    entry["value"] =
      std::isfinite(figure.mValue) ? value::number(figure.mValue) : value();
    entry["unit"] = value::string(figure.mUnit);
    entry["target"] =
      figure.mTarget ? value::number(figure.mTarget->mValue) : value();
    const auto ok = figure.MeetsTarget();
    entry["ok"] = ok ? value::boolean(*ok) : value();
    figures[figure.mName] = entry;
  }
  auto object = value::object(true);
  object["experiment"] = value::string(mExperiment);
  object["deployment"] = value::string(mDeployment);
  object["seed"] = value::number(mSeed);
  object["figures"] = figures;
  return object.serialize();
}

std::string
FigureTable::ToString() const
{
  std::vector<std::vector<std::string>> rows{
    { "figure", "value", "unit", "target", "ok" }
  };
  for (const Figure& figure : mFigures) {
    std::string target = "-";
    std::string ok = "-";
    if (figure.mTarget) {
      target =
        figure.mTarget->mComparison == Comparison::AtMost ? "<= " : ">= ";
      target += FormatNumber(figure.mTarget->mValue);
      ok = figure.MeetsTarget().value_or(false) ? "yes" : "NO";
    }
    rows.push_back(
      { figure.mName, FormatNumber(figure.mValue), figure.mUnit, target, ok });
  }
  return mExperiment + ", " + mDeployment + ", seed " + std::to_string(mSeed) +
         "\n" + FormatColumns(rows);
}

bool
FigureTable::AllTargetsMet() const
{
  return std::all_of(
    mFigures.begin(), mFigures.end(), [](const Figure& aFigure) {
      return aFigure.MeetsTarget().value_or(true);
    });
}

std::string
FormatColumns(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string fill(widths[i] - row[i].size(), ' ');
      line += i == 0 ? row[i] + fill : "  " + fill + row[i];
    }
    while (!line.empty() && line.back() == ' ') {
      line.pop_back();
    }
    text += line + '\n';
  }
  return text;
}

std::string
FormatNumber(double aValue)
{
  if (!std::isfinite(aValue)) {
    return "n/a";
  }
  int decimals = 3;
  if (aValue == std::floor(aValue) || std::abs(aValue) >= 1000.0) {
    decimals = 0;
  } else if (std::abs(aValue) >= 10.0) {
    decimals = 1;
  }
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", decimals, aValue);
  return text.data();
}

} // namespace nutmegrock::experiment
