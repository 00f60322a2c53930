#include "metrics/Registry.h"

#include <doctest/doctest.h>
#include <thread>

using namespace nutmegrock::metrics;

TEST_SUITE("metrics/Registry")
{
  TEST_CASE("counters and summaries are written in the Prometheus format")
  {
    Registry registry;
    registry.CounterOf("refused_total", { { "reason", "queue\"full" } }).Add(3);
    Summary& summary = registry.SummaryOf("latency_ms");
    for (int i = 1; i <= 1000; ++i) {
      summary.Add(i);
    }
    const std::string text = registry.PrometheusText();
    CHECK(text.find("refused_total{reason=\"queue\\\"full\"} 3\n") !=
          std::string::npos);
    CHECK(text.find("latency_ms_count 1000\n") != std::string::npos);
    const SummaryValues values = summary.Values();
    CHECK(values.mQuantiles[0] == doctest::Approx(500).epsilon(0.05));
    CHECK(values.mMax == 1000);
  }

  // Otherwise label values from callers would grow memory without bound.
  TEST_CASE("the number of series of one name is bounded")
  {
    Registry registry;
    for (std::size_t i = 0; i < 3 * Registry::kMaxSeriesPerName; ++i) {
      registry.CounterOf("calls_total", { { "service", std::to_string(i) } })
        .Add();
    }
    std::size_t series = 0;
    std::uint64_t total = 0;
    registry.ForEachCounter([&](const std::string&, std::uint64_t aValue) {
      ++series;
      total += aValue;
    });
    CHECK(series == Registry::kMaxSeriesPerName + 1);
    CHECK(total == 3 * Registry::kMaxSeriesPerName);
  }

  TEST_CASE("counting from several threads loses nothing")
  {
    Registry registry;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
      threads.emplace_back([&registry] {
        for (int i = 0; i < 1000; ++i) {
          registry.CounterOf("x").Add();
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    CHECK(registry.CounterOf("x").Value() == 4000);
  }
}
