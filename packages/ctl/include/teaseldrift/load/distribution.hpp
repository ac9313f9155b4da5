#pragma once

#include <cstddef>
#include <vector>

namespace teaseldrift::load {

/// @brief Samples of one figure and their percentiles.
class Distribution
{
public:
    void add(double value) { m_samples.push_back(static_cast<float>(value)); }

    [[nodiscard]] size_t count() const { return m_samples.size(); }

    /// @brief The smallest sample that is not below `percent` of all samples; 0 without samples.
    [[nodiscard]] double percentile(double percent) const;

private:
    /// Millions of samples are kept, so they are small.
    std::vector<float> m_samples;
};

} // namespace teaseldrift::load
