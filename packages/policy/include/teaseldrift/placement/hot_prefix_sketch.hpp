#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/hashing/block_hash.hpp"

namespace teaseldrift::placement {

/// @brief A prefix, identified by the hash of its last block, and its request rate.
struct HotPrefix
{
    uint64_t hash = 0;
    double requestsPerSecond = 0.0;
};

struct HotPrefixOptions
{
    /// Counters per row; rounded up to a power of two.
    size_t width = 1U << 14U;
    /// Length of a counting window, over which rates are averaged.
    Duration window = 8s;
    /// Maximum number of hottest prefixes kept for the peers.
    size_t maxHotPrefixes = 128;
};

/// @brief Estimates the request rate of every prefix in bounded memory, with a count-min sketch
/// over the current and the previous window.
///
/// Hash collisions can only raise an estimate. The hottest prefixes are also stored by hash, so
/// that a VM that has just started can merge those of a peer.
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

    /// @brief Time over which requests have been counted, at most one window.
    Duration observedTime(Instant now) const;

    /// @brief The hottest prefixes in descending order of rate.
    std::vector<HotPrefix> hottest(Instant now) const;

    /// @brief Raises rates to those of a peer where they are lower. Merging twice changes nothing.
    void merge(std::span<const HotPrefix> peerPrefixes, Instant now);

    size_t memoryBytes() const;

    /// @brief Contribution of one count of each window to a rate at a given time.
    struct Weights
    {
        double current = 0.0;
        double previous = 0.0;
    };

    Weights weightsAt(Instant now) const;

    /// @brief Rate of a prefix; the weights are computed once for many prefixes at the same time.
    double rate(uint64_t hash, const Weights &weights) const;

private:
    /// Larger counts from peers are ignored, which keeps counts within uint32_t.
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
