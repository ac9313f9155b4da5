#include "teaseldrift/telemetry/metrics.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift::telemetry {

TEST_CASE("counters are identified by name and label")
{
    Metrics metrics;
    metrics.counter({"refusals_total", "reason", "a"}).add();
    metrics.counter({"refusals_total", "reason", "a"}).add(2);
    metrics.counter({"refusals_total", "reason", "b"}).add();
    CHECK(metrics.counter({"refusals_total", "reason", "a"}).value() == 3.0);
    const std::string text = metrics.text();
    CHECK_THAT(text, Catch::Contains("refusals_total{reason=\"a\"} 3"));
    CHECK_THAT(text, Catch::Contains("refusals_total{reason=\"b\"} 1"));
}

TEST_CASE("a distribution estimates its quantiles")
{
    Distribution distribution;
    CHECK(distribution.quantile(0.99) == 0.0);
    for (int i = 1; i <= 1000; ++i) {
        distribution.observe((i * 37) % 1000);
    }
    CHECK(distribution.count() == 1000);
    CHECK(distribution.quantile(0.5) == Approx(500).margin(25));
    CHECK(distribution.quantile(0.99) == Approx(990).margin(15));
}

TEST_CASE("a gauge has the last value set")
{
    Metrics metrics;
    metrics.setGauge({"open_streams"}, 4);
    metrics.setGauge({"open_streams"}, 2);
    CHECK_THAT(metrics.text(), Catch::Contains("open_streams 2"));
}

} // namespace teaseldrift::telemetry
