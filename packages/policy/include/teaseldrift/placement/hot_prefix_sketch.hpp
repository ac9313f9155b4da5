#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::placement {

/// @brief A prefix and how often it is asked for.
struct HotPrefix
{
    uint64_t hash = 0;
    double requestsPerSecond = 0.0;
};

struct HotPrefixOptions
{
    /// Counters of one row, a power of two.
    size_t width = 1U << 14U;
    /// Time over which rates are averaged.
    Duration window = 8s;
    /// Entries of the table that peers fetch.
    size_t maxHotPrefixes = 128;
};

/// @brief Request rate of every prefix in bounded memory: a count-min sketch over two windows.
///
/// Estimates err upwards only. The hottest prefixes are kept by name as well, so that a VM that
/// has just started can fetch them from a peer.
///
/// ```cpp
/// sketch.record(chain, now);
/// double rate = sketch.requestsPerSecond(chain[3], now);
/// ```
class HotPrefixSketch
{
public:
    explicit HotPrefixSketch(const HotPrefixOptions &options = {});

    /// @brief Counts one request for each block of its chain.
    void record(std::span<const hashing::BlockHash> chain, Instant now);

    double requestsPerSecond(const hashing::BlockHash &block, Instant now) const;

    /// @brief Time over which rates are known, at most the window.
    Duration observedTime(Instant now) const;

    /// @brief The hottest prefixes, hottest first.
    std::vector<HotPrefix> hottest(Instant now) const;

    /// @brief Raises rates to a peer's where they are lower. Merging a table twice changes nothing.
    void merge(std::span<const HotPrefix> peerPrefixes, Instant now);

    size_t memoryBytes() const;

    /// @brief What one count of each window adds to a rate at a moment.
    struct Weights
    {
        double current = 0.0;
        double previous = 0.0;
    };

    Weights weightsAt(Instant now) const;

    /// @brief The rate of a prefix, for callers that ask for many at the same moment.
    double rate(uint64_t hash, const Weights &weights) const;

private:
    static constexpr double maxMergedCount = 1e9;

    struct Window
    {
        std::vector<uint32_t> counters;
        uint32_t minimum(uint64_t hash, size_t width) const;
        uint32_t add(uint64_t hash, size_t width);
        void raise(uint64_t hash, size_t width, uint32_t count);
    };

    void rotateWindows(Instant now);
    void trackHottest(uint64_t hash, uint32_t count);

    HotPrefixOptions m_options;
    bool m_started = false;
    Instant m_startedAt{};
    Instant m_windowStart{};
    Window m_current;
    Window m_previous;
    std::vector<HotPrefix> m_hottest;
};

} // namespace teaseldrift::placement
