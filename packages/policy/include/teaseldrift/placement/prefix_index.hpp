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

/// @brief Hash of a target's id that also takes views.
struct TargetIdHash
{
    using is_transparent = void;
    size_t operator()(std::string_view id) const { return std::hash<std::string_view>{}(id); }
};

struct PrefixIndexOptions
{
    /// Blocks remembered at most; rounded up to a power of two.
    size_t capacityBlocks = 1U << 17U;
    /// Time a block lives in a cache while nothing is known of the target.
    Duration initialBlockLifetime = 20s;
    /// Bounds of the life that is learned for each target.
    Duration minBlockLifetime = 1s;
    Duration maxBlockLifetime = 300s;
    /// Time without an event after which a target's event stream counts as silent.
    Duration eventStreamTimeout = 3s;
};

/// @brief Number of a target inside a PrefixIndex.
using TargetHandle = uint16_t;

/// @brief Slot of a target for which the index has no place; nothing is believed of it.
constexpr TargetHandle invalidHandle = UINT16_MAX;

/// @brief A target that may hold a block.
struct Holder
{
    TargetHandle handle = 0;
    /// Probability that the block is still there.
    float probability = 0.0F;
};

/// @brief What this VM believes of the targets' caches, in bounded memory.
///
/// A block takes one entry of entryBytes; when the index is full, new blocks replace those that
/// were seen longest ago. Every belief belongs to one incarnation of one target and to one version
/// of the weights, and fades with age.
class PrefixIndex
{
public:
    static constexpr size_t holdersPerBlock = 6;
    static constexpr size_t waysPerBucket = 8;
    /// Memory of one block: its entry and its tag.
    static constexpr size_t entryBytes = 64 + sizeof(uint16_t);

    explicit PrefixIndex(const PrefixIndexOptions &options = {});

    /// @brief Makes a target known, or voids what was believed of its former incarnation or
    /// weights.
    TargetHandle registerTarget(std::string_view targetId, uint64_t incarnation,
                                std::string_view weightsVersion);

    /// @brief The target holds the blocks since it is computing or has computed them.
    void recordUse(TargetHandle handle, std::span<const hashing::BlockHash> chain, Instant now);

    /// @brief The blocks are not in the target's cache after all.
    void recordAbsence(TargetHandle handle, std::span<const hashing::BlockHash> chain);

    /// @brief An answer showed whether a block was still cached at an age, which tells how long
    /// blocks live there.
    void updateLifetime(TargetHandle handle, bool wasCached, Duration age);

    /// @brief Time since the last sign of a block on a target; empty if nothing is believed.
    std::optional<Duration> ageOf(TargetHandle handle, const hashing::BlockHash &block,
                                  Instant now) const;

    /// @brief Applies an event; a gap in the sequence ends trust in what events had said before.
    void onCacheEvent(const CacheEvent &event, Instant now);

    void forgetTarget(std::string_view targetId);

    /// @brief Slot of a target; empty if it is not known.
    std::optional<TargetHandle> handleOf(std::string_view targetId) const;

    /// @brief Targets that may hold a block of the given weights.
    /// @return number of holders written
    size_t holders(const hashing::BlockHash &block, const hashing::VersionSalt &version,
                   Instant now, std::span<Holder, holdersPerBlock> out) const;

    /// @brief Life of a block that has been learned for a target.
    Duration blockLifetime(TargetHandle handle) const;

    size_t memoryBytes() const;

private:
    struct Record
    {
        TargetHandle handle = 0;
        uint16_t generation = 0;
        /// Time of the last sign of the block in ticks, and in the lowest bit whether an event gave
        /// it.
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
        /// Incarnation that an event named and no view has confirmed yet.
        uint64_t unconfirmedIncarnation = 0;
        std::string weightsVersion;
        hashing::VersionSalt salt;
        uint16_t generation = 0;
        bool streaming = false;
        uint64_t nextSequence = 0;
        Instant lastEvent{};
        /// What events said before this tick is no longer trusted beyond its age.
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
