#include "teaseldrift/placement/hot_prefix_sketch.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace teaseldrift::placement {

namespace {

constexpr size_t rows = 2;
/// Minimum time over which rates are averaged right after start-up.
constexpr Duration minObservedTime = 500ms;

size_t cellOf(uint64_t hash, size_t row, size_t width)
{
    constexpr unsigned rowBits = 32;
    const uint64_t half = hash >> (row * rowBits);
    return row * width + static_cast<size_t>(half & (width - 1));
}

} // namespace

uint32_t HotPrefixSketch::Window::minimum(uint64_t hash, size_t width) const
{
    return std::min(counters[cellOf(hash, 0, width)], counters[cellOf(hash, 1, width)]);
}

uint32_t HotPrefixSketch::Window::add(uint64_t hash, size_t width)
{
    const uint32_t count = minimum(hash, width) + 1;
    raise(hash, width, count);
    return count;
}

void HotPrefixSketch::Window::raise(uint64_t hash, size_t width, uint32_t count)
{
    for (size_t row = 0; row < rows; ++row) {
        uint32_t &counter = counters[cellOf(hash, row, width)];
        counter = std::max(counter, count);
    }
}

HotPrefixSketch::HotPrefixSketch(const HotPrefixOptions &options) : m_options(options)
{
    m_options.width = std::bit_ceil(std::max<size_t>(options.width, 1));
    m_current.counters.resize(rows * m_options.width);
    m_previous.counters.resize(rows * m_options.width);
}

void HotPrefixSketch::rotateWindows(Instant now)
{
    if (!m_started) {
        m_started = true;
        m_startedAt = now;
        m_windowStart = now;
    }
    if (now - m_windowStart < m_options.window) {
        return;
    }
    const bool adjacent = now - m_windowStart < 2 * m_options.window;
    if (adjacent) {
        std::swap(m_previous, m_current);
        m_windowStart += m_options.window;
    } else {
        std::ranges::fill(m_previous.counters, 0);
        m_windowStart = now;
    }
    std::ranges::fill(m_current.counters, 0);
    for (HotPrefix &prefix : m_hottest) {
        prefix.requestsPerSecond /= 2.0;
    }
}

void HotPrefixSketch::record(std::span<const hashing::BlockHash> chain, Instant now)
{
    rotateWindows(now);
    for (const hashing::BlockHash &block : chain) {
        const uint32_t count = m_current.add(block.low, m_options.width);
        if (count > 1) {
            trackHottest(block.low, count);
        }
    }
}

void HotPrefixSketch::trackHottest(uint64_t hash, uint32_t count)
{
    const auto known = std::ranges::find(m_hottest, hash, &HotPrefix::hash);
    if (known != m_hottest.end()) {
        known->requestsPerSecond = count;
        return;
    }
    if (m_hottest.size() < m_options.maxHotPrefixes) {
        m_hottest.push_back({.hash = hash, .requestsPerSecond = static_cast<double>(count)});
        return;
    }
    const auto coldest = std::ranges::min_element(m_hottest, {}, &HotPrefix::requestsPerSecond);
    if (coldest != m_hottest.end() && coldest->requestsPerSecond < count) {
        *coldest = {.hash = hash, .requestsPerSecond = static_cast<double>(count)};
    }
}

HotPrefixSketch::Weights HotPrefixSketch::weightsAt(Instant now) const
{
    const Duration window = m_options.window;
    const Duration elapsed = now - m_windowStart;
    if (!m_started || elapsed >= 2 * window) {
        return {};
    }
    const double overlap = std::max(0.0, 1.0 - toSeconds(elapsed) / toSeconds(window));
    const Duration observed = std::clamp<Duration>(now - m_startedAt, minObservedTime, window);
    return {.current = 1.0 / toSeconds(observed), .previous = overlap / toSeconds(observed)};
}

double HotPrefixSketch::rate(uint64_t hash, const Weights &weights) const
{
    return m_current.minimum(hash, m_options.width) * weights.current
           + m_previous.minimum(hash, m_options.width) * weights.previous;
}

double HotPrefixSketch::requestsPerSecond(const hashing::BlockHash &block, Instant now) const
{
    return rate(block.low, weightsAt(now));
}

Duration HotPrefixSketch::observedTime(Instant now) const
{
    return m_started ? std::min<Duration>(now - m_startedAt, m_options.window) : Duration{};
}

std::vector<HotPrefix> HotPrefixSketch::hottest(Instant now) const
{
    std::vector<HotPrefix> result;
    const Weights weights = weightsAt(now);
    for (const HotPrefix &prefix : m_hottest) {
        const double requestsPerSecond = rate(prefix.hash, weights);
        if (requestsPerSecond > 0.0) {
            result.push_back({.hash = prefix.hash, .requestsPerSecond = requestsPerSecond});
        }
    }
    std::ranges::sort(result, std::ranges::greater{}, &HotPrefix::requestsPerSecond);
    return result;
}

void HotPrefixSketch::merge(std::span<const HotPrefix> peerPrefixes, Instant now)
{
    rotateWindows(now);
    const size_t taken = std::min(peerPrefixes.size(), m_options.maxHotPrefixes);
    for (const HotPrefix &prefix : peerPrefixes.first(taken)) {
        const double count = prefix.requestsPerSecond * toSeconds(m_options.window);
        if (!(count >= 1.0) || count > maxMergedCount) {
            continue;
        }
        m_previous.raise(prefix.hash, m_options.width, static_cast<uint32_t>(count));
        trackHottest(prefix.hash, static_cast<uint32_t>(count));
    }
    m_startedAt = std::min(m_startedAt, now - m_options.window);
}

size_t HotPrefixSketch::memoryBytes() const
{
    return sizeof(*this)
           + (m_current.counters.size() + m_previous.counters.size()) * sizeof(uint32_t)
           + m_hottest.capacity() * sizeof(HotPrefix);
}

} // namespace teaseldrift::placement
