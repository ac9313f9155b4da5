#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/hashing/block_chain.hpp"
#include "teaseldrift/hashing/block_hash.hpp"
#include "teaseldrift/placement/cache_event.hpp"

namespace teaseldrift::placement {

/// @brief Transparent hash of target ids, for lookup by std::string_view.
struct TargetIdHash
{
    using is_transparent = void;
    size_t operator()(std::string_view id) const { return std::hash<std::string_view>{}(id); }
};

struct PrefixIndexOptions
{
    /// Maximum number of blocks; rounded up to a power of two.
    size_t capacityBlocks = 1U << 17U;
    /// Lifetime of cached blocks assumed for a target before any has been observed.
    Duration initialBlockLifetime = 20s;
    /// Bounds of the lifetime learned for each target.
    Duration minBlockLifetime = 1s;
    Duration maxBlockLifetime = 300s;
    /// Time without an event after which a target's event stream is not trusted.
    Duration eventStreamTimeout = 3s;
};

/// @brief Identifies a target within a PrefixIndex.
using TargetHandle = uint16_t;

/// @brief Handle of a target that does not fit into the index, which keeps no records of it.
constexpr TargetHandle invalidHandle = UINT16_MAX;

/// @brief A target that may hold a block.
struct Holder
{
    TargetHandle handle = 0;
    /// Probability that the block is still cached.
    float probability = 0.0F;
};

/// @brief Estimates in bounded memory which blocks the targets' caches hold.
///
/// A set-associative table: a block takes one entry of entryBytes, and a new block replaces the
/// least recently seen one of its bucket. Each record belongs to one incarnation of a target and to
/// one version of the weights, and its probability decreases with age.
class PrefixIndex
{
public:
    static constexpr size_t holdersPerBlock = 6;
    static constexpr size_t waysPerBucket = 8;
    /// Memory per block: its entry and its tag.
    static constexpr size_t entryBytes = 64 + sizeof(uint16_t);

    explicit PrefixIndex(const PrefixIndexOptions &options = {});

    /// @brief Registers a target; invalidates its records if its incarnation or weights have
    /// changed.
    TargetHandle registerTarget(std::string_view targetId, uint64_t incarnation,
                                std::string_view weightsVersion);

    /// @brief Records that the target holds the blocks, which it is computing or has computed.
    void recordUse(TargetHandle handle, std::span<const hashing::BlockHash> chain, Instant now);

    /// @brief Records that the target's cache does not hold the blocks.
    void recordAbsence(TargetHandle handle, std::span<const hashing::BlockHash> chain);

    /// @brief Updates the lifetime of a target's blocks from a response that showed whether a block
    /// of the given age was still cached.
    void updateLifetime(TargetHandle handle, bool wasCached, Duration age);

    /// @brief Time since a block was last seen on a target; empty if there is no record of it.
    std::optional<Duration> ageOf(TargetHandle handle, const hashing::BlockHash &block,
                                  Instant now) const;

    /// @brief Applies an event. After a gap in the sequence, the probability of blocks reported by
    /// earlier events depends on their age only.
    void onCacheEvent(const CacheEvent &event, Instant now);

    void forgetTarget(std::string_view targetId);

    /// @brief Handle of a target; empty if it is not registered.
    std::optional<TargetHandle> handleOf(std::string_view targetId) const;

    /// @brief Targets that may hold a block computed by a version of the weights.
    /// @return number of holders written to `out`
    size_t holders(const hashing::BlockHash &block, const hashing::VersionSalt &version,
                   Instant now, std::span<Holder, holdersPerBlock> out) const;

    /// @brief Lifetime of blocks learned for a target.
    Duration blockLifetime(TargetHandle handle) const;

    size_t memoryBytes() const;

private:
    struct Record
    {
        TargetHandle handle = 0;
        uint16_t generation = 0;
        /// Tick at which the block was last seen, shifted left by one; the lowest bit tells whether
        /// a cache event reported it.
        uint32_t seen = 0;
    };
    struct Entry
    {
        hashing::BlockHash block;
        std::array<Record, holdersPerBlock> records;
    };
    static_assert(sizeof(Entry) == 64);

    struct Target
    {
        std::string id;
        uint64_t incarnation = 0;
        /// Incarnation in an event that has not been confirmed by registerTarget() yet.
        uint64_t unconfirmedIncarnation = 0;
        std::string weightsVersion;
        hashing::VersionSalt salt;
        uint16_t generation = 0;
        bool streaming = false;
        uint64_t nextSequence = 0;
        Instant lastEvent{};
        /// Tick before which events are not trusted: the probability of their blocks depends on
        /// age.
        uint32_t trustedSince = 0;
        double lifetimeSeconds = 0.0;
    };

    const Entry *find(const hashing::BlockHash &block) const;
    Entry &findOrReplace(const hashing::BlockHash &block);
    void store(TargetHandle handle, const hashing::BlockHash &block, uint32_t tick, bool fromEvent);
    void remove(TargetHandle handle, const hashing::BlockHash &block);
    void invalidateRecords(TargetHandle handle);
    void eraseRecords(TargetHandle handle);
    bool isCurrent(const Record &record) const;
    const Record *findRecord(TargetHandle handle, const hashing::BlockHash &block) const;
    float residencyProbability(const Record &record, const Target &target, uint32_t tick,
                               bool trusted) const;
    bool isStreamTrusted(const Target &target, Instant now) const;

    PrefixIndexOptions m_options;
    size_t m_buckets;
    std::vector<uint16_t> m_tags;
    std::vector<Entry> m_entries;
    std::vector<Target> m_targets;
    std::vector<TargetHandle> m_freeHandles;
    std::unordered_map<std::string, TargetHandle, TargetIdHash, std::equal_to<>> m_handles;
};

} // namespace teaseldrift::placement
