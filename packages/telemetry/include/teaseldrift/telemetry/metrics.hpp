#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace teaseldrift::telemetry {

/// @brief A figure that only grows.
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

/// @brief Count, sum and quantiles of a figure, in bounded memory.
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
    /// @return an estimate, 0 before the first observation
    [[nodiscard]] double quantile(double probability) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @brief A metric's name and its one label.
struct MetricId
{
    std::string_view name;
    std::string_view label = {};
    std::string_view value = {};
};

/// @brief All figures of one task. Not shared between threads.
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

    /// @brief The counter of this id, made at the first call. The reference stays valid.
    Counter &counter(const MetricId &id);

    /// @brief The distribution of this id, made at the first call. The reference stays valid.
    Distribution &distribution(const MetricId &id);

    /// @brief Sets a figure that goes up and down.
    void setGauge(const MetricId &id, double value);

    /// @brief All figures in Prometheus' text format.
    [[nodiscard]] std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::telemetry
