#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace teaseldrift::telemetry {

/// @brief A monotonically increasing counter.
class Counter
{
public:
    Counter();
    ~Counter();
    Counter(const Counter &) = delete;
    Counter &operator=(const Counter &) = delete;

    void add(double amount = 1.0);
    [[nodiscard]] double value() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @brief Count, sum and estimated quantiles of observed values, in constant memory.
class Distribution
{
public:
    Distribution();
    ~Distribution();
    Distribution(const Distribution &) = delete;
    Distribution &operator=(const Distribution &) = delete;

    void observe(double value);
    [[nodiscard]] uint64_t count() const;
    [[nodiscard]] double sum() const;

    /// @param probability 0.5, 0.95 or 0.99
    /// @return an estimate; 0 before the first observation
    [[nodiscard]] double quantile(double probability) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @brief Name of a metric and its optional label.
struct MetricId
{
    std::string_view name;
    std::string_view label = {};
    std::string_view value = {};
};

/// @brief Registry of the metrics of one task. Not thread-safe.
///
/// ```cpp
/// Counter &refusals = metrics.counter({"teaseldrift_refusals_total", "reason", "rate_exceeded"});
/// refusals.add();
/// ```
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// @brief Returns the counter with this id and creates it if needed. The reference stays valid.
    Counter &counter(const MetricId &id);

    /// @brief Returns the distribution with this id and creates it if needed. The reference stays
    /// valid.
    Distribution &distribution(const MetricId &id);

    /// @brief Sets the value of a gauge.
    void setGauge(const MetricId &id, double value);

    /// @brief Serializes all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::telemetry
