#include "metrics/Registry.h"

#include "core/Hash.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::metrics {

namespace {

std::string
EscapeLabelValue(std::string_view aValue)
{
  std::string text;
  for (const char character : aValue) {
    if (character == '\\' || character == '"') {
      text += '\\';
    }
    text += character == '\n' ? ' ' : character;
  }
  return text;
}

std::string
FormatLabels(const Labels& aLabels)
{
  if (aLabels.empty()) {
    return {};
  }
  std::string text = "{";
  for (const auto& [name, value] : aLabels) {
    text += fmt::format(
      "{}{}=\"{}\"", text.size() > 1 ? "," : "", name, EscapeLabelValue(value));
  }
  return text + "}";
}

Labels
OtherLabels(Labels aLabels)
{
  for (auto& label : aLabels) {
    label.second = "other";
  }
  return aLabels;
}

template<class Series>
Series&
FindOrCreate(std::map<std::string, std::unique_ptr<Series>>& aFamily,
             const Labels& aLabels)
{
  auto found = aFamily.find(FormatLabels(aLabels));
  if (found == aFamily.end()) {
    const bool full = aFamily.size() >= Registry::kMaxSeriesPerName;
    found = aFamily
              .try_emplace(full ? FormatLabels(OtherLabels(aLabels))
                                : FormatLabels(aLabels))
              .first;
    if (found->second == nullptr) {
      found->second = std::make_unique<Series>();
    }
  }
  return *found->second;
}

/// Adds a quantile label to formatted labels.
std::string
AddQuantile(const std::string& aLabels, double aQuantile)
{
  const std::string quantile = fmt::format("quantile=\"{}\"", aQuantile);
  if (aLabels.empty()) {
    return "{" + quantile + "}";
  }
  return aLabels.substr(0, aLabels.size() - 1) + "," + quantile + "}";
}

} // namespace

Summary::Summary()
  : mAccumulators(boost::accumulators::tag::extended_p_square::probabilities =
                    kQuantiles)
{
}

void
Summary::Add(double aValue)
{
  const std::lock_guard lock(mMutex);
  mAccumulators(aValue);
}

SummaryValues
Summary::Values() const
{
  namespace acc = boost::accumulators;
  const std::lock_guard lock(mMutex);
  SummaryValues values;
  values.mCount = acc::count(mAccumulators);
  if (values.mCount == 0) {
    return values;
  }
  values.mSum = acc::sum(mAccumulators);
  values.mMax = acc::max(mAccumulators);
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    values.mQuantiles.at(i) = acc::quantile(
      mAccumulators, acc::quantile_probability = kQuantiles.at(i));
  }
  return values;
}

Registry::Shard&
Registry::ShardOf(std::string_view aName)
{
  return mShards.at(core::HashOf(aName) % kShards);
}

Counter&
Registry::CounterOf(std::string_view aName, const Labels& aLabels)
{
  Shard& shard = ShardOf(aName);
  const std::lock_guard lock(shard.mMutex);
  return FindOrCreate(shard.mCounters[std::string(aName)], aLabels);
}

Summary&
Registry::SummaryOf(std::string_view aName, const Labels& aLabels)
{
  Shard& shard = ShardOf(aName);
  const std::lock_guard lock(shard.mMutex);
  return FindOrCreate(shard.mSummaries[std::string(aName)], aLabels);
}

std::string
Registry::PrometheusText() const
{
  std::string text;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    for (const auto& [name, family] : shard.mCounters) {
      text += fmt::format("# TYPE {} counter\n", name);
      for (const auto& [labels, counter] : family) {
        text += fmt::format("{}{} {}\n", name, labels, counter->Value());
      }
    }
    for (const auto& [name, family] : shard.mSummaries) {
      text += fmt::format("# TYPE {} summary\n", name);
      for (const auto& [labels, summary] : family) {
        const SummaryValues values = summary->Values();
        for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
          text += fmt::format("{}{} {}\n",
                              name,
                              AddQuantile(labels, kQuantiles.at(i)),
                              values.mQuantiles.at(i));
        }
        text += fmt::format("{}_sum{} {}\n", name, labels, values.mSum);
        text += fmt::format("{}_count{} {}\n", name, labels, values.mCount);
      }
    }
  }
  return text;
}

} // namespace nutmegrock::metrics
