#include "teaseldrift/telemetry/metrics.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>
#include <tuple>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace teaseldrift::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

using SumAccumulator = acc::accumulator_set<double, acc::stats<acc::tag::sum>>;
using DistributionAccumulator = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

/// Ordered by name first, so that the metrics of a family are adjacent.
struct Key
{
    std::string name;
    std::string label;
    std::string value;

    bool operator<(const Key &other) const
    {
        return std::tie(name, label, value) < std::tie(other.name, other.label, other.value);
    }
};

Key keyOf(const MetricId &id)
{
    return {std::string(id.name), std::string(id.label), std::string(id.value)};
}

prometheus::ClientMetric metricOf(const Key &key)
{
    prometheus::ClientMetric metric;
    if (!key.label.empty()) {
        metric.label.push_back({key.label, key.value});
    }
    return metric;
}

prometheus::MetricFamily &familyOf(std::vector<prometheus::MetricFamily> &families, const Key &key,
                                   prometheus::MetricType type)
{
    if (families.empty() || families.back().name != key.name) {
        families.push_back({.name = key.name, .help = "", .type = type, .metric = {}});
    }
    return families.back();
}

} // namespace

struct Counter::Impl
{
    SumAccumulator sum;
};

Counter::Counter() : m_impl(std::make_unique<Impl>()) { }

Counter::~Counter() = default;

void Counter::add(double amount)
{
    m_impl->sum(amount);
}

double Counter::value() const
{
    return acc::sum(m_impl->sum);
}

struct Distribution::Impl
{
    DistributionAccumulator values{acc::tag::extended_p_square::probabilities = quantiles};
};

Distribution::Distribution() : m_impl(std::make_unique<Impl>()) { }

Distribution::~Distribution() = default;

void Distribution::observe(double value)
{
    m_impl->values(value);
}

uint64_t Distribution::count() const
{
    return acc::count(m_impl->values);
}

double Distribution::sum() const
{
    return acc::sum(m_impl->values);
}

double Distribution::quantile(double probability) const
{
    if (count() == 0) {
        return 0.0;
    }
    const auto found = std::find(quantiles.begin(), quantiles.end(), probability);
    const std::ptrdiff_t index = std::distance(quantiles.begin(), found);
    return acc::extended_p_square(m_impl->values)[index];
}

struct Metrics::Impl
{
    std::map<Key, Counter> counters;
    std::map<Key, Distribution> distributions;
    std::map<Key, double> gauges;
};

Metrics::Metrics() : m_impl(std::make_unique<Impl>()) { }

Metrics::~Metrics() = default;

Counter &Metrics::counter(const MetricId &id)
{
    return m_impl->counters[keyOf(id)];
}

Distribution &Metrics::distribution(const MetricId &id)
{
    return m_impl->distributions[keyOf(id)];
}

void Metrics::setGauge(const MetricId &id, double value)
{
    m_impl->gauges[keyOf(id)] = value;
}

std::string Metrics::text() const
{
    std::vector<prometheus::MetricFamily> families;
    for (auto it = m_impl->counters.begin(); it != m_impl->counters.end(); ++it) {
        prometheus::ClientMetric metric = metricOf(it->first);
        metric.counter.value = it->second.value();
        familyOf(families, it->first, prometheus::MetricType::Counter).metric.push_back(metric);
    }
    for (auto it = m_impl->gauges.begin(); it != m_impl->gauges.end(); ++it) {
        prometheus::ClientMetric metric = metricOf(it->first);
        metric.gauge.value = it->second;
        familyOf(families, it->first, prometheus::MetricType::Gauge).metric.push_back(metric);
    }
    for (auto it = m_impl->distributions.begin(); it != m_impl->distributions.end(); ++it) {
        prometheus::ClientMetric metric = metricOf(it->first);
        metric.summary.sample_count = it->second.count();
        metric.summary.sample_sum = it->second.sum();
        for (const double probability : quantiles) {
            metric.summary.quantile.push_back({probability, it->second.quantile(probability)});
        }
        familyOf(families, it->first, prometheus::MetricType::Summary).metric.push_back(metric);
    }
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, families);
    return out.str();
}

} // namespace teaseldrift::telemetry
