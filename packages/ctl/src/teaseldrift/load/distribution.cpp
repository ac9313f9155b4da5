#include "teaseldrift/load/distribution.hpp"

#include <algorithm>
#include <cmath>

namespace teaseldrift::load {

double Distribution::percentile(double percent) const
{
    constexpr double whole = 100.0;
    if (m_samples.empty()) {
        return 0;
    }
    std::vector<float> samples = m_samples;
    const double rank = std::ceil(percent / whole * static_cast<double>(samples.size()));
    const size_t index = std::min(samples.size() - 1, static_cast<size_t>(std::max(rank, 1.0)) - 1);
    const auto nth = samples.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(samples.begin(), nth, samples.end());
    return *nth;
}

} // namespace teaseldrift::load
