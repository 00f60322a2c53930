#pragma once

// Boost 1.74's extended_p_square_quantile.hpp uses std::ostringstream without
// including it, so this include has to come first.
#include <sstream>

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegrock::metrics {

/// Label names and values of one series.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Monotonic counter. Adding is one relaxed atomic operation.
class Counter
{
public:
  void Add(std::uint64_t aCount = 1)
  {
    mValue.fetch_add(aCount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> mValue{ 0 };
};

/// Quantiles that a summary estimates.
constexpr std::array kQuantiles = { 0.5, 0.9, 0.99 };

/// Snapshot of a summary.
struct SummaryValues
{
  std::uint64_t mCount = 0;
  double mSum = 0;
  double mMax = 0;
  std::array<double, kQuantiles.size()> mQuantiles{};
};

/// Running quantiles in constant memory by the extended P-square method (Jain
/// and Chlamtac, CACM 1985; Raatikainen 1987) of Boost.Accumulators.
class Summary
{
public:
  Summary();
  /// Adds a value; locks only this summary.
  void Add(double aValue);
  SummaryValues Values() const;

private:
  using Accumulators = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
      boost::accumulators::tag::count,
      boost::accumulators::tag::sum,
      boost::accumulators::tag::max,
      boost::accumulators::tag::extended_p_square_quantile>>;

  mutable std::mutex mMutex;
  Accumulators mAccumulators;
};

/// Registry of all series of a process, sharded by name, each shard with its
/// own lock. The number of series is bounded: beyond kMaxSeriesPerName a new
/// combination of label values is counted in one series whose values are all
/// "other".
class Registry
{
public:
  static constexpr std::size_t kMaxSeriesPerName = 512;

  /// The counter of that name and labels, created at first use. The reference
  /// is valid for the lifetime of the registry.
  Counter& CounterOf(std::string_view aName, const Labels& aLabels = {});
  /// The summary of that name and labels, created at first use.
  Summary& SummaryOf(std::string_view aName, const Labels& aLabels = {});

  /// All series in the Prometheus text format.
  std::string PrometheusText() const;
  /// Calls the function with the name including labels and the value of each
  /// counter.
  template<class Function>
  void ForEachCounter(Function aFunction) const;

private:
  template<class Series>
  using Family = std::map<std::string, std::unique_ptr<Series>>;

  struct Shard
  {
    mutable std::mutex mMutex;
    std::map<std::string, Family<Counter>, std::less<>> mCounters;
    std::map<std::string, Family<Summary>, std::less<>> mSummaries;
  };

  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(std::string_view aName);

  std::array<Shard, kShards> mShards;
};

template<class Function>
void
Registry::ForEachCounter(Function aFunction) const
{
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    for (const auto& [name, family] : shard.mCounters) {
      for (const auto& [labels, counter] : family) {
        aFunction(name + labels, counter->Value());
      }
    }
  }
}

} // namespace nutmegrock::metrics
