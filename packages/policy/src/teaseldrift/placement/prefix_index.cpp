#include "teaseldrift/placement/prefix_index.hpp"

#include <algorithm>
#include <bit>

namespace teaseldrift::placement {

namespace {

/// Resolution of the times in the index; 31 bits of ticks cover four years.
constexpr Duration tickLength = 64ms;
constexpr uint32_t fromEventBit = 1U;
constexpr size_t maxTargets = 65535;
constexpr uint16_t emptyTag = 0;
/// Probability of a block that an event stream without gaps has stored and not removed.
constexpr float eventProbability = 0.98F;
/// Ages, in learned lifetimes, between which the probability of a block falls from 1 to 0.
constexpr double certainUntilLifetimes = 0.7;
constexpr double absentFromLifetimes = 1.4;
/// Weight of one response in a target's learned lifetime.
constexpr double lifetimeLearningRate = 0.1;

uint32_t tickOf(Instant now)
{
    return static_cast<uint32_t>(now.time_since_epoch() / tickLength) + 1;
}

uint32_t tickOf(uint32_t seen)
{
    return seen >> 1U;
}

double secondsSince(uint32_t seen, uint32_t nowTick)
{
    const uint32_t then = tickOf(seen);
    return nowTick > then ? toSeconds(tickLength) * (nowTick - then) : 0.0;
}

uint16_t tagOf(const hashing::BlockHash &block)
{
    const uint16_t tag = static_cast<uint16_t>(block.high);
    return tag == emptyTag ? uint16_t{1} : tag;
}

} // namespace

PrefixIndex::PrefixIndex(const PrefixIndexOptions &options)
    : m_options(options),
      m_buckets(std::bit_ceil(std::max(options.capacityBlocks / waysPerBucket, size_t{1}))),
      m_tags(m_buckets * waysPerBucket), m_entries(m_buckets * waysPerBucket)
{ }

TargetHandle PrefixIndex::registerTarget(std::string_view targetId, uint64_t incarnation,
                                         std::string_view weightsVersion)
{
    const auto known = m_handles.find(targetId);
    if (known != m_handles.end()) {
        Target &target = m_targets[known->second];
        if (target.incarnation != incarnation || target.weightsVersion != weightsVersion) {
            invalidateRecords(known->second);
            target.incarnation = incarnation;
            target.weightsVersion = weightsVersion;
            target.salt = hashing::VersionSalt(weightsVersion);
        }
        return known->second;
    }
    TargetHandle handle = 0;
    if (!m_freeHandles.empty()) {
        handle = m_freeHandles.back();
        m_freeHandles.pop_back();
    } else if (m_targets.size() < maxTargets) {
        handle = static_cast<TargetHandle>(m_targets.size());
        m_targets.emplace_back();
    } else {
        return invalidHandle;
    }
    Target &target = m_targets[handle];
    target.id = targetId;
    target.incarnation = incarnation;
    target.weightsVersion = weightsVersion;
    target.salt = hashing::VersionSalt(weightsVersion);
    target.lifetimeSeconds = toSeconds(m_options.initialBlockLifetime);
    m_handles.emplace(target.id, handle);
    return handle;
}

void PrefixIndex::forgetTarget(std::string_view targetId)
{
    const auto known = m_handles.find(targetId);
    if (known == m_handles.end()) {
        return;
    }
    const TargetHandle handle = known->second;
    m_handles.erase(known);
    invalidateRecords(handle);
    m_freeHandles.push_back(handle);
}

std::optional<TargetHandle> PrefixIndex::handleOf(std::string_view targetId) const
{
    const auto known = m_handles.find(targetId);
    return known == m_handles.end() ? std::nullopt : std::optional<TargetHandle>(known->second);
}

void PrefixIndex::invalidateRecords(TargetHandle handle)
{
    Target &target = m_targets[handle];
    ++target.generation;
    if (target.generation == 0) {
        // The generation wrapped around: records of its previous use would become current again.
        eraseRecords(handle);
    }
    target.streaming = false;
    target.unconfirmedIncarnation = 0;
    target.trustedSince = 0;
}

void PrefixIndex::eraseRecords(TargetHandle handle)
{
    for (Entry &entry : m_entries) {
        for (Record &record : entry.records) {
            if (record.handle == handle) {
                record = {};
            }
        }
    }
}

void PrefixIndex::recordUse(TargetHandle handle, std::span<const hashing::BlockHash> chain,
                            Instant now)
{
    if (handle >= m_targets.size()) {
        return;
    }
    for (const hashing::BlockHash &block : chain) {
        store(handle, m_targets[handle].salt.apply(block), tickOf(now), false);
    }
}

void PrefixIndex::recordAbsence(TargetHandle handle, std::span<const hashing::BlockHash> chain)
{
    if (handle >= m_targets.size()) {
        return;
    }
    for (const hashing::BlockHash &block : chain) {
        remove(handle, m_targets[handle].salt.apply(block));
    }
}

void PrefixIndex::onCacheEvent(const CacheEvent &event, Instant now)
{
    const auto known = m_handles.find(event.targetId);
    if (known == m_handles.end()) {
        return;
    }
    const TargetHandle handle = known->second;
    Target &target = m_targets[handle];
    if (event.incarnation != target.incarnation) {
        // The target has restarted and its new incarnation is not registered yet, or the event is
        // late. Invalidating the records is safe in both cases.
        if (event.incarnation != target.unconfirmedIncarnation) {
            invalidateRecords(handle);
            target.unconfirmedIncarnation = event.incarnation;
        }
        return;
    }
    const uint32_t tick = tickOf(now);
    if (target.streaming && event.sequence < target.nextSequence) {
        return;
    }
    if (!target.streaming || event.sequence != target.nextSequence) {
        target.trustedSince = tick;
    }
    target.streaming = true;
    target.nextSequence = event.sequence + 1;
    target.lastEvent = now;
    if (event.kind == CacheEventKind::Cleared) {
        const uint64_t next = target.nextSequence;
        invalidateRecords(handle);
        target.streaming = true;
        target.nextSequence = next;
        target.trustedSince = tick;
        return;
    }
    for (const hashing::BlockHash &block : event.blocks) {
        if (event.kind == CacheEventKind::Stored) {
            store(handle, target.salt.apply(block), tick, true);
        } else {
            remove(handle, target.salt.apply(block));
        }
    }
}

void PrefixIndex::store(TargetHandle handle, const hashing::BlockHash &block, uint32_t tick,
                        bool fromEvent)
{
    Entry &entry = findOrReplace(block);
    const Target &target = m_targets[handle];
    Record *victim = &entry.records.front();
    for (Record &record : entry.records) {
        if (record.seen != 0 && record.handle == handle) {
            victim = &record;
            break;
        }
        const uint32_t seen = isCurrent(record) ? record.seen : 0;
        const uint32_t victimSeen = isCurrent(*victim) ? victim->seen : 0;
        if (seen < victimSeen) {
            victim = &record;
        }
    }
    const bool wasFromEvent = victim->handle == handle && isCurrent(*victim)
                              && (victim->seen & fromEventBit) != 0
                              && tickOf(victim->seen) >= target.trustedSince;
    *victim = {
            .handle = handle,
            .generation = target.generation,
            .seen = (tick << 1U) | (fromEvent || wasFromEvent ? fromEventBit : 0U),
    };
}

void PrefixIndex::remove(TargetHandle handle, const hashing::BlockHash &block)
{
    const Entry *found = find(block);
    if (found == nullptr) {
        return;
    }
    Entry &entry = m_entries[static_cast<size_t>(found - m_entries.data())];
    for (Record &record : entry.records) {
        if (record.handle == handle) {
            record = {};
        }
    }
}

const PrefixIndex::Entry *PrefixIndex::find(const hashing::BlockHash &block) const
{
    const size_t first = (block.low & (m_buckets - 1)) * waysPerBucket;
    const uint16_t tag = tagOf(block);
    for (size_t way = first; way < first + waysPerBucket; ++way) {
        if (m_tags[way] == tag && m_entries[way].block == block) {
            return &m_entries[way];
        }
    }
    return nullptr;
}

PrefixIndex::Entry &PrefixIndex::findOrReplace(const hashing::BlockHash &block)
{
    const Entry *found = find(block);
    if (found != nullptr) {
        return m_entries[static_cast<size_t>(found - m_entries.data())];
    }
    const size_t first = (block.low & (m_buckets - 1)) * waysPerBucket;
    size_t oldest = first;
    uint32_t oldestSeen = UINT32_MAX;
    for (size_t way = first; way < first + waysPerBucket; ++way) {
        uint32_t seen = 0;
        for (const Record &record : m_entries[way].records) {
            seen = std::max(seen, isCurrent(record) ? record.seen : 0);
        }
        if (m_tags[way] == emptyTag) {
            seen = 0;
        }
        if (seen < oldestSeen) {
            oldest = way;
            oldestSeen = seen;
        }
    }
    m_tags[oldest] = tagOf(block);
    m_entries[oldest] = {.block = block};
    return m_entries[oldest];
}

bool PrefixIndex::isCurrent(const Record &record) const
{
    return record.seen != 0 && record.generation == m_targets[record.handle].generation;
}

bool PrefixIndex::isStreamTrusted(const Target &target, Instant now) const
{
    return target.streaming && now - target.lastEvent < m_options.eventStreamTimeout;
}

float PrefixIndex::residencyProbability(const Record &record, const Target &target, uint32_t tick,
                                        bool trusted) const
{
    const bool fromEvent = (record.seen & fromEventBit) != 0;
    if (trusted && fromEvent && tickOf(record.seen) >= target.trustedSince) {
        return eventProbability;
    }
    const double age = secondsSince(record.seen, tick);
    const double fullUntil = certainUntilLifetimes * target.lifetimeSeconds;
    if (age <= fullUntil) {
        return 1.0F;
    }
    const double noneFrom = absentFromLifetimes * target.lifetimeSeconds;
    return static_cast<float>(std::max(0.0, (noneFrom - age) / (noneFrom - fullUntil)));
}

size_t PrefixIndex::holders(const hashing::BlockHash &block, const hashing::VersionSalt &version,
                            Instant now, std::span<Holder, holdersPerBlock> out) const
{
    const Entry *entry = find(version.apply(block));
    if (entry == nullptr) {
        return 0;
    }
    const uint32_t tick = tickOf(now);
    size_t count = 0;
    for (const Record &record : entry->records) {
        if (!isCurrent(record)) {
            continue;
        }
        const Target &target = m_targets[record.handle];
        const float probability
                = residencyProbability(record, target, tick, isStreamTrusted(target, now));
        if (probability > 0.0F) {
            out[count++] = {.handle = record.handle, .probability = probability};
        }
    }
    return count;
}

const PrefixIndex::Record *PrefixIndex::findRecord(TargetHandle handle,
                                                   const hashing::BlockHash &block) const
{
    const Entry *entry = find(m_targets[handle].salt.apply(block));
    if (entry == nullptr) {
        return nullptr;
    }
    for (const Record &record : entry->records) {
        if (record.handle == handle && isCurrent(record)) {
            return &record;
        }
    }
    return nullptr;
}

std::optional<Duration> PrefixIndex::ageOf(TargetHandle handle, const hashing::BlockHash &block,
                                           Instant now) const
{
    const Record *record = handle < m_targets.size() ? findRecord(handle, block) : nullptr;
    if (record == nullptr) {
        return std::nullopt;
    }
    return tickLength * (tickOf(now) - std::min(tickOf(now), tickOf(record->seen)));
}

void PrefixIndex::updateLifetime(TargetHandle handle, bool wasCached, Duration age)
{
    if (handle >= m_targets.size()) {
        return;
    }
    double &lifetimeSeconds = m_targets[handle].lifetimeSeconds;
    const double seconds = toSeconds(age);
    const bool contradicts = wasCached ? seconds > lifetimeSeconds * certainUntilLifetimes
                                       : seconds < lifetimeSeconds;
    if (contradicts) {
        const double evidence = wasCached ? seconds / certainUntilLifetimes : seconds;
        lifetimeSeconds += lifetimeLearningRate * (evidence - lifetimeSeconds);
    }
    lifetimeSeconds = std::clamp(lifetimeSeconds, toSeconds(m_options.minBlockLifetime),
                                 toSeconds(m_options.maxBlockLifetime));
}

Duration PrefixIndex::blockLifetime(TargetHandle handle) const
{
    const double seconds = handle < m_targets.size() ? m_targets[handle].lifetimeSeconds
                                                     : toSeconds(m_options.initialBlockLifetime);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

size_t PrefixIndex::memoryBytes() const
{
    return sizeof(*this) + m_tags.size() * sizeof(uint16_t) + m_entries.size() * sizeof(Entry)
           + m_targets.capacity() * sizeof(Target);
}

} // namespace teaseldrift::placement
