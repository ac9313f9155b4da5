#include "engine_model.hpp"

#include <algorithm>

namespace teaseldrift::bench {

namespace {

/// Fixed part of the time of a prefill.
constexpr Duration prefillOverhead = 5ms;
/// Fraction of the prefill speed that is lost to decoding when all slots are in use.
constexpr double decodeInterference = 0.4;

} // namespace

EngineModel::EngineModel(Timeline &timeline, const Site &site, uint32_t number, EngineHooks hooks)
    : m_timeline(timeline), m_site(site), m_hooks(std::move(hooks)),
      m_id("engine-" + std::to_string(number)),
      m_zone("zone-" + std::to_string(number % site.zones))
{ }

void EngineModel::submit(EngineJob job)
{
    if (!m_up) {
        m_hooks.onFailed(job);
        return;
    }
    for (const hashing::BlockHash &block : job.request->chain) {
        ++m_pendingBlocks[block];
    }
    m_active.emplace(job.attempt, job);
    m_waiting.push_back(job);
    startNext();
}

void EngineModel::startNext()
{
    if (!m_up || m_isPrefilling || m_waiting.empty() || m_running >= m_site.slots) {
        return;
    }
    EngineJob job = m_waiting.front();
    m_waiting.pop_front();
    job.cachedBlocks = matchedBlocks(job.request->chain);
    for (uint32_t level = job.cachedBlocks; level > 0; --level) {
        const Lru::iterator place = m_cache.at(job.request->chain[level - 1]);
        m_lru.splice(m_lru.begin(), m_lru, place);
    }
    m_hooks.onPrefillStarted(job);
    m_isPrefilling = true;
    ++m_running;
    m_prefillTokens = job.request->promptTokens - m_site.blockTokens * job.cachedBlocks;
    m_prefillStart = m_timeline.now();
    m_prefillDuration = prefillTime(job);
    m_timeline.after(m_prefillDuration, [this, job, incarnation = m_incarnation] {
        if (incarnation == m_incarnation) {
            onPrefillFinished(job);
        }
    });
}

Duration EngineModel::prefillTime(const EngineJob &job) const
{
    const double tokens = job.request->promptTokens
                          - static_cast<double>(job.cachedBlocks) * m_site.blockTokens;
    const double busy = static_cast<double>(m_running) / m_site.slots;
    const double seconds
            = tokens / (m_site.prefillTokensPerSecond * (1.0 - decodeInterference * busy));
    return prefillOverhead
           + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration EngineModel::decodeTime(const EngineJob &job) const
{
    const Duration token = m_site.decodeTimePerToken + m_site.decodeTimePerRunning * m_running;
    return token * job.request->outputTokens;
}

void EngineModel::onPrefillFinished(EngineJob job)
{
    m_isPrefilling = false;
    insert(job.request->chain);
    for (const hashing::BlockHash &block : job.request->chain) {
        const auto pending = m_pendingBlocks.find(block);
        if (--pending->second == 0) {
            m_pendingBlocks.erase(pending);
        }
    }
    m_hooks.onFirstToken(job);
    m_timeline.after(decodeTime(job), [this, job, incarnation = m_incarnation] {
        if (incarnation != m_incarnation) {
            return;
        }
        --m_running;
        m_active.erase(job.attempt);
        m_hooks.onFinished(job);
        startNext();
    });
    startNext();
}

void EngineModel::insert(std::span<const hashing::BlockHash> chain)
{
    // Inserts the deepest block first, so that a parent is always used more recently than its
    // children and is evicted after them.
    for (size_t level = chain.size(); level > 0; --level) {
        const hashing::BlockHash &block = chain[level - 1];
        const auto known = m_cache.find(block);
        if (known != m_cache.end()) {
            m_lru.splice(m_lru.begin(), m_lru, known->second);
            continue;
        }
        m_lru.push_front(block);
        m_cache.emplace(block, m_lru.begin());
        recordChange(placement::CacheEventKind::Stored, block);
    }
    while (m_lru.size() > m_site.cacheBlocks) {
        recordChange(placement::CacheEventKind::Removed, m_lru.back());
        m_cache.erase(m_lru.back());
        m_lru.pop_back();
    }
}

void EngineModel::importBlocks(std::span<const hashing::BlockHash> chain)
{
    insert(chain);
}

void EngineModel::recordChange(placement::CacheEventKind kind, const hashing::BlockHash &block)
{
    if (m_changes.empty() || m_changes.back().kind != kind) {
        m_changes.push_back({.kind = kind});
    }
    m_changes.back().blocks.push_back(block);
}

std::vector<CacheChange> EngineModel::takeChanges()
{
    return std::exchange(m_changes, {});
}

uint32_t EngineModel::matchedBlocks(std::span<const hashing::BlockHash> chain) const
{
    uint32_t matched = 0;
    while (matched < chain.size() && m_cache.contains(chain[matched])) {
        ++matched;
    }
    return matched;
}

uint32_t EngineModel::matchedOrPendingBlocks(std::span<const hashing::BlockHash> chain) const
{
    uint32_t matched = 0;
    while (matched < chain.size()
           && (m_cache.contains(chain[matched]) || m_pendingBlocks.contains(chain[matched]))) {
        ++matched;
    }
    return matched;
}

placement::LoadReport EngineModel::load() const
{
    uint64_t backlog = 0;
    if (m_isPrefilling) {
        const double done
                = toSeconds(m_timeline.now() - m_prefillStart) / toSeconds(m_prefillDuration);
        backlog = static_cast<uint64_t>(m_prefillTokens * (1.0 - done));
    }
    for (const EngineJob &job : m_waiting) {
        backlog += job.request->promptTokens
                   - uint64_t{m_site.blockTokens} * matchedBlocks(job.request->chain);
    }
    return {
            .running = m_running,
            .queued = static_cast<uint32_t>(m_waiting.size()),
            .prefillBacklogTokens = backlog,
            .reportedAt = m_timeline.now(),
    };
}

void EngineModel::clearCache()
{
    m_cache.clear();
    m_lru.clear();
    m_pendingBlocks.clear();
    m_changes.clear();
}

void EngineModel::crash()
{
    m_up = false;
    ++m_incarnation;
    m_running = 0;
    m_isPrefilling = false;
    m_waiting.clear();
    clearCache();
    std::vector<EngineJob> lost;
    for (const auto &[attempt, job] : m_active) {
        lost.push_back(job);
    }
    m_active.clear();
    std::ranges::sort(lost, {}, &EngineJob::attempt);
    for (const EngineJob &job : lost) {
        m_hooks.onFailed(job);
    }
}

void EngineModel::restart()
{
    m_up = true;
}

void EngineModel::loadWeights(std::string version)
{
    clearCache();
    ++m_incarnation;
    m_version = std::move(version);
}

} // namespace teaseldrift::bench
