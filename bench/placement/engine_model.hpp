#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaseldrift/placement/cache_event.hpp"
#include "teaseldrift/placement/views.hpp"
#include "timeline.hpp"
#include "workload.hpp"

namespace teaseldrift::bench {

/// @brief One attempt of a request at an engine.
struct EngineJob
{
    const ModelRequest *request = nullptr;
    uint32_t router = 0;
    uint64_t attempt = 0;
    uint32_t importedBlocks = 0;
    uint32_t cachedBlocks = 0;
};

/// @brief Consecutive blocks that were all stored or all removed.
struct CacheChange
{
    placement::CacheEventKind kind = placement::CacheEventKind::Stored;
    std::vector<hashing::BlockHash> blocks;
};

/// @brief Callbacks from an engine to the simulation.
struct EngineHooks
{
    std::function<void(const EngineJob &)> onPrefillStarted;
    std::function<void(const EngineJob &)> onFirstToken;
    std::function<void(const EngineJob &)> onFinished;
    std::function<void(const EngineJob &)> onFailed;
};

/// @brief Model of an engine in virtual time, with a limited number of slots, one prefill at a time
/// and an LRU prefix cache.
class EngineModel
{
public:
    EngineModel(Timeline &timeline, const Site &site, uint32_t number, EngineHooks hooks);

    void submit(EngineJob job);
    void crash();
    void restart();
    /// @brief Loads other weights, which clears the cache.
    void loadWeights(std::string version);

    uint32_t matchedBlocks(std::span<const hashing::BlockHash> chain) const;
    /// @brief Blocks that will match once the prefills of all accepted requests have finished.
    uint32_t matchedOrPendingBlocks(std::span<const hashing::BlockHash> chain) const;
    void importBlocks(std::span<const hashing::BlockHash> chain);

    bool isUp() const { return m_up; }
    bool isIdle() const { return m_running == 0 && m_waiting.empty(); }
    uint64_t incarnation() const { return m_incarnation; }
    const std::string &id() const { return m_id; }
    const std::string &zone() const { return m_zone; }
    const std::string &weightsVersion() const { return m_version; }
    placement::LoadReport load() const;
    std::vector<CacheChange> takeChanges();

private:
    using Lru = std::list<hashing::BlockHash>;

    void startNext();
    void onPrefillFinished(EngineJob job);
    void insert(std::span<const hashing::BlockHash> chain);
    void recordChange(placement::CacheEventKind kind, const hashing::BlockHash &block);
    Duration prefillTime(const EngineJob &job) const;
    Duration decodeTime(const EngineJob &job) const;
    void clearCache();

    Timeline &m_timeline;
    const Site &m_site;
    EngineHooks m_hooks;
    std::string m_id;
    std::string m_zone;
    std::string m_version = "1";
    uint64_t m_incarnation = 1;
    bool m_up = true;
    bool m_isPrefilling = false;
    uint32_t m_running = 0;
    /// Uncached prompt tokens of the current prefill.
    uint32_t m_prefillTokens = 0;
    Instant m_prefillStart{};
    Duration m_prefillDuration{};
    std::deque<EngineJob> m_waiting;
    std::unordered_map<uint64_t, EngineJob> m_active;
    Lru m_lru;
    std::unordered_map<hashing::BlockHash, Lru::iterator> m_cache;
    /// Blocks of accepted requests whose prefill has not finished, with the number of requests that
    /// contain each.
    std::unordered_map<hashing::BlockHash, uint32_t> m_pendingBlocks;
    std::vector<CacheChange> m_changes;
};

} // namespace teaseldrift::bench
