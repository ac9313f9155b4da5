#pragma once

#include <cstddef>
#include <vector>

namespace teaseldrift::load {

/// @brief Samples of one metric and their percentiles.
class Distribution
{
public:
    void add(double value) { m_samples.push_back(static_cast<float>(value)); }

    [[nodiscard]] size_t count() const { return m_samples.size(); }

    /// @brief Nearest-rank percentile: the smallest sample such that at least `percent` of all
    /// samples are less than or equal to it; 0 without samples.
    [[nodiscard]] double percentile(double percent) const;

private:
    /// Stored as float, since a run keeps millions of samples.
    std::vector<float> m_samples;
};

} // namespace teaseldrift::load
