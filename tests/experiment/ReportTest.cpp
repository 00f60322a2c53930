#include "experiment/ArrivalProcess.h"
#include "experiment/FigureTable.h"
#include "experiment/LatencyHistogram.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::experiment;
using doctest::Approx;

TEST_SUITE("experiment/Report")
{
  TEST_CASE("arrivals depend only on the seed and have the mean and variance "
            "of a Poisson process")
  {
    const core::TimePoint start{};
    ArrivalProcess one(7, start);
    ArrivalProcess two(7, start);
    CHECK(one.Next() == core::TimePoint::max());
    one.SetRate(1000.0, start);
    two.SetRate(1000.0, start);
    constexpr int kArrivals = 50000;
    double squares = 0.0;
    core::TimePoint last = start;
    for (int i = 0; i < kArrivals; ++i) {
      REQUIRE(one.Next() == two.Next());
      const double gap =
        std::chrono::duration<double>(one.Next() - last).count();
      squares += gap * gap;
      last = one.Next();
      one.Advance();
      two.Advance();
    }
    const double mean =
      std::chrono::duration<double>(last - start).count() / kArrivals;
    CHECK(mean == Approx(0.001).epsilon(0.03));
    // The mean square of an exponential interval is twice its squared mean.
    CHECK(squares / kArrivals == Approx(2e-6).epsilon(0.06));
    one.SetRate(0.0, last);
    CHECK(one.Next() == core::TimePoint::max());
  }

  TEST_CASE("quantiles are accurate to the width of a bin")
  {
    LatencyHistogram histogram;
    CHECK(histogram.QuantileMs(0.5) == 0.0);
    for (int i = 1; i <= 1000; ++i) {
      histogram.Add(std::chrono::microseconds(i * 100));
    }
    CHECK(histogram.QuantileMs(0.5) == Approx(50.0).epsilon(0.006));
    CHECK(histogram.QuantileMs(0.99) == Approx(99.0).epsilon(0.006));
  }

  TEST_CASE("a figure is compared in the direction of its target and fails if "
            "missing")
  {
    struct Case
    {
      double mValue;
      std::optional<Target> mTarget;
      std::optional<bool> mExpected;
    };
    for (const Case& c : {
           Case{ 1.0, std::nullopt, std::nullopt },
           Case{ 1.0, Target{ Comparison::AtMost, 1.0 }, true },
           Case{ 1.1, Target{ Comparison::AtMost, 1.0 }, false },
           Case{ 0.9, Target{ Comparison::AtLeast, 1.0 }, false },
           Case{ std::nan(""), Target{ Comparison::AtMost, 1.0 }, false },
         }) {
      const Figure figure{ "f", c.mValue, "ms", c.mTarget };
      CHECK(figure.MeetsTarget() == c.mExpected);
    }
  }

  TEST_CASE("the JSON and text forms contain every figure")
  {
    FigureTable table{ "latency", "haufiku", 3, {} };
    table.Add("added_p99", 0.25, "ms", Target{ Comparison::AtMost, 0.5 });
    table.Add("rate", 1234.5, "1/s");
    CHECK(table.AllTargetsMet());
    CHECK(table.Json() ==
          R"({"experiment":"latency","deployment":"haufiku","seed":3,)"
          R"("figures":{"added_p99":{"value":0.25,"unit":"ms","target":0.5,)"
          R"("ok":true},"rate":{"value":1234.5,"unit":"1/s","target":null,)"
          R"("ok":null}}})");
    table.Add("lost", 1, "", Target{ Comparison::AtMost, 0 });
    CHECK_FALSE(table.AllTargetsMet());
    CHECK(table.ToString() == "latency, haufiku, seed 3\n"
                              "figure     value  unit    target   ok\n"
                              "added_p99  0.250    ms  <= 0.500  yes\n"
                              "rate        1234   1/s         -    -\n"
                              "lost           1            <= 0   NO\n");
  }
}
