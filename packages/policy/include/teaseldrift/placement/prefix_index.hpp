#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
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

struct PrefixIndexOptions
{
    /// Blocks remembered at most; rounded up to a power of two.
    size_t capacityBlocks = 1U << 17U;
    /// Time a block lives in a cache while nothing is known of the target.
    Duration initialBlockLife = 20s;
    /// Bounds of the life that is learned for each target.
    Duration minBlockLife = 1s;
    Duration maxBlockLife = 300s;
    /// Time without an event after which a target's event stream counts as silent.
    Duration streamSilence = 3s;
};

/// @brief Number of a target inside a PrefixIndex.
using TargetSlot = uint16_t;

/// @brief A target that may hold a block.
struct Holder
{
    TargetSlot slot = 0;
    /// Probability that the block is still there.
    float belief = 0.0F;
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
    TargetSlot observeTarget(std::string_view targetId, uint64_t incarnation,
                             std::string_view weightsVersion);

    /// @brief The target holds the blocks since it is computing or has computed them.
    void recordUse(TargetSlot slot, std::span<const hashing::BlockHash> chain, Instant now);

    /// @brief An answer showed that of a chain's blocks only the first `cached` were there.
    /// @param believedAge age of the belief in the first block that was or was not there
    void recordAnswer(TargetSlot slot, bool wasCached, Duration believedAge);

    /// @brief Applies an event; a gap in the sequence ends trust in what events had said before.
    void onCacheEvent(const CacheEvent &event, Instant now);

    void forgetTarget(std::string_view targetId);

    /// @brief Targets that may hold a block of the given weights.
    /// @return number of holders written
    size_t holders(const hashing::BlockHash &block, const hashing::VersionSalt &version,
                   Instant now, std::span<Holder, holdersPerBlock> out) const;

    /// @brief Life of a block that has been learned for a target.
    Duration blockLife(TargetSlot slot) const;

    size_t memoryBytes() const;

private:
    struct Record
    {
        TargetSlot slot = 0;
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
        uint64_t formerIncarnation = 0;
        std::string weightsVersion;
        hashing::VersionSalt salt;
        uint16_t generation = 0;
        bool known = false;
        bool streaming = false;
        uint64_t nextSequence = 0;
        Instant lastEvent{};
        /// Events before this tick are no longer trusted beyond their age.
        uint32_t trustedSince = 0;
        double lifeSeconds = 0.0;
    };

    Entry *find(const hashing::BlockHash &block);
    const Entry *find(const hashing::BlockHash &block) const;
    Entry &findOrReplace(const hashing::BlockHash &block, uint32_t tick);
    void store(TargetSlot slot, const hashing::BlockHash &block, Instant now, bool byEvent);
    void remove(TargetSlot slot, const hashing::BlockHash &block);
    void restart(Target &target);
    float belief(const Record &record, const Target &target, Instant now) const;
    size_t bucketOf(const hashing::BlockHash &block) const;

    PrefixIndexOptions m_options;
    size_t m_buckets;
    std::vector<uint16_t> m_tags;
    std::vector<Entry> m_entries;
    std::vector<Target> m_targets;
    std::unordered_map<std::string, TargetSlot> m_slots;
};

} // namespace teaseldrift::placement
