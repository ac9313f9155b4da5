#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/relay/cache_event_exchange.hpp"
#include "teaseldrift/relay/fleet_state.hpp"

namespace teaseldrift::relay {

/// @brief Events that a cache reports.
struct CacheEvents
{
    /// Changes with each restart of the cache.
    uint64_t incarnation = 0;
    /// Sequence number to continue from.
    uint64_t next = 0;
    /// Earlier events have been discarded.
    bool hasGap = false;
    std::vector<SegmentEvent> events;
};

/// @brief Requests events from caches.
template <typename C>
concept CacheEventChannel
        = requires(C &channel, std::string_view address, uint64_t since,
                   std::function<void(std::optional<CacheEvents>, const TargetNotice &)> onResponse)
{
    channel.requestCacheEvents(address, since, onResponse);
};

/// @brief Polls the events of all engines' caches and of the KV cache store.
///
/// In a small fleet, each VM polls each cache. If that would exceed `maxFleetPollRate`, one VM of
/// each availability zone polls a cache, and the others query that VM.
template <CacheEventChannel Channel>
class CacheEventsTask
{
public:
    struct Options
    {
        /// Interval between polls of one cache. A short one gains little, since caches report
        /// events with a delay.
        Duration pollInterval = 1s;
        /// Polls per second of all VMs together up to which each VM polls the caches itself;
        /// bounded because each poll costs a target work.
        double maxFleetPollRate = 150.0;
        Duration tick = 100ms;
    };

    CacheEventsTask(http::EventLoop &loop, Channel &channel, CacheEventExchange &exchange,
                    FleetState &fleet, Options options = {})
        : m_loop(loop), m_channel(channel), m_exchange(exchange), m_fleet(fleet), m_options(options)
    { }

    ~CacheEventsTask() { m_loop.cancelTimer(m_timer); }
    CacheEventsTask(const CacheEventsTask &) = delete;
    CacheEventsTask &operator=(const CacheEventsTask &) = delete;

    void start() { tick(); }

private:
    struct PolledCache
    {
        std::string address;
        uint64_t startedAtMs = 0;
        uint64_t incarnation = 0;
        uint64_t next = 0;
        Instant nextPoll;
        bool isPolling = false;
        /// Address of the VM that `incarnation` and `next` refer to; empty if they are the cache's
        /// own.
        std::string poller;
    };

    void tick()
    {
        const Instant now = http::EventLoop::now();
        updateCaches(now);
        const std::set<std::string, std::less<>> limited = limitedAddresses();
        std::map<std::string, std::vector<std::string>> byPoller;
        for (std::pair<const std::string, PolledCache> &cache : m_caches) {
            if (cache.second.isPolling || now < cache.second.nextPoll || isQuiet(cache.first, now)
                || limited.contains(cache.second.address)) {
                continue;
            }
            const schema::VmRecord *poller
                    = usesPollers() ? m_fleet.cachePoller(cache.first) : nullptr;
            setPoller(cache.first, cache.second,
                      poller == nullptr ? std::string() : poller->peer_address());
            if (poller == nullptr) {
                pollCache(cache.first, cache.second, now);
            } else {
                byPoller[cache.second.poller].push_back(cache.first);
            }
        }
        for (const std::pair<const std::string, std::vector<std::string>> &poller : byPoller) {
            queryPoller(poller.first, poller.second, now);
        }
        m_timer = m_loop.startTimer(m_options.tick, [this] { tick(); });
    }

    [[nodiscard]] bool isQuiet(const std::string &id, Instant now) const
    {
        const TargetEntry *target = m_fleet.directory().find(id);
        return target != nullptr && m_fleet.targetSelector().isQuiet(*target, now);
    }

    /// Addresses of targets that name a limit: polls of all VMs would exceed a low limit without
    /// any request of a caller. A former target may still be registered at the same address.
    [[nodiscard]] std::set<std::string, std::less<>> limitedAddresses() const
    {
        std::set<std::string, std::less<>> addresses;
        if (m_fleet.targetLimits().count() == 0) {
            return addresses;
        }
        for (const std::pair<const std::string, TargetEntry> &target : m_fleet.directory().all()) {
            if (m_fleet.targetLimits().of(limitKeyOf(target.first, target.second.startedAtMs))) {
                addresses.insert(target.second.address);
            }
        }
        return addresses;
    }

    [[nodiscard]] bool usesPollers() const
    {
        const double calls = static_cast<double>(m_caches.size() * m_fleet.vmCount());
        return calls > m_options.maxFleetPollRate * toSeconds(m_options.pollInterval);
    }

    /// Sequence numbers start over with a different source.
    void setPoller(const std::string &id, PolledCache &cache, const std::string &poller)
    {
        if (cache.poller == poller) {
            return;
        }
        cache.poller = poller;
        cache.incarnation = 0;
        cache.next = 0;
        m_exchange.clear(id);
    }

    void queryPoller(const std::string &poller, const std::vector<std::string> &ids, Instant now)
    {
        http::Endpoint endpoint;
        if (!http::parseEndpoint(poller, endpoint)) {
            return;
        }
        schema::CacheEventsAsk query;
        for (const std::string &id : ids) {
            PolledCache &cache = m_caches[id];
            cache.isPolling = true;
            cache.nextPoll = now + m_options.pollInterval;
            schema::CacheEventsAsk::Cache &cacheQuery = *query.add_caches();
            cacheQuery.set_cache(id);
            cacheQuery.set_since(cache.next);
        }
        m_exchange.query(
                endpoint, query, [this, poller, ids](const schema::CacheEventsAnswer &response) {
                    for (const std::string &id : ids) {
                        const auto found = m_caches.find(id);
                        if (found != m_caches.end() && found->second.poller == poller) {
                            found->second.isPolling = false;
                        }
                    }
                    for (const schema::CacheEventsAnswer::Cache &cache : response.caches()) {
                        applyFromPoller(poller, cache);
                    }
                });
    }

    void applyFromPoller(const std::string &poller,
                         const schema::CacheEventsAnswer::Cache &response)
    {
        CacheEvents events{.incarnation = response.incarnation(),
                           .next = response.next(),
                           .hasGap = response.has_gap()};
        for (int i = 0; i < std::min(response.part_keys_size(), response.tokens_size()); ++i) {
            events.events.push_back(
                    {.segmentKey = response.part_keys(i), .tokens = response.tokens(i)});
        }
        const auto found = m_caches.find(response.cache());
        if (found != m_caches.end() && found->second.poller == poller) {
            apply(response.cache(), found->second, events);
        }
    }

    /// Updates the list of caches from the target directory. The KV cache store has an empty id.
    void updateCaches(Instant now)
    {
        std::map<std::string, PolledCache> current;
        const RouteTable *table = m_fleet.table().get();
        if (table != nullptr && table->cacheStore() != nullptr) {
            current[""] = {.address = table->cacheStore()->cacheStoreAddress};
        }
        for (const std::pair<const std::string, TargetEntry> &target : m_fleet.directory().all()) {
            if (!target.second.weights.empty() && !target.second.isLeaving) {
                current[target.first] = {.address = target.second.address,
                                         .startedAtMs = target.second.startedAtMs};
            }
        }
        std::erase_if(m_caches, [&current](const std::pair<const std::string, PolledCache> &known) {
            const auto found = current.find(known.first);
            return found == current.end() || found->second.address != known.second.address
                   || found->second.startedAtMs != known.second.startedAtMs;
        });
        for (std::pair<const std::string, PolledCache> &cache : current) {
            cache.second.nextPoll = now;
            m_caches.insert(cache);
        }
    }

    void pollCache(const std::string &id, PolledCache &cache, Instant now)
    {
        cache.isPolling = true;
        cache.nextPoll = now + m_options.pollInterval;
        m_fleet.countTargetCall(id, cache.startedAtMs, TargetCall::CacheEvents);
        m_channel.requestCacheEvents(
                cache.address, cache.next,
                [this, id, address = cache.address, startedAtMs = cache.startedAtMs](
                        const std::optional<CacheEvents> &response, const TargetNotice &notice) {
                    m_fleet.applyNotice(id, startedAtMs, notice, http::EventLoop::now());
                    onCacheResponse(id, address, response);
                });
    }

    void onCacheResponse(const std::string &id, const std::string &address,
                         const std::optional<CacheEvents> &response)
    {
        const auto found = m_caches.find(id);
        if (found == m_caches.end() || found->second.address != address
            || !found->second.poller.empty()) {
            return;
        }
        found->second.isPolling = false;
        if (response && apply(id, found->second, *response) && usesPollers()) {
            m_exchange.append(id, response->events);
        }
    }

    /// @return false if the cache has a new incarnation, which has to be polled from its start
    bool apply(const std::string &id, PolledCache &cache, const CacheEvents &response)
    {
        const bool isNewIncarnation
                = cache.incarnation != 0 && cache.incarnation != response.incarnation;
        if (isNewIncarnation || (response.hasGap && cache.next != 0)) {
            m_fleet.targetSelector().clearCache(id);
            m_exchange.clear(id);
        }
        cache.incarnation = response.incarnation;
        if (isNewIncarnation) {
            // The sequence numbers of the new incarnation start over.
            cache.next = 0;
            return false;
        }
        cache.next = response.next;
        m_fleet.targetSelector().applyCacheEvents(id, response.events);
        return true;
    }

    http::EventLoop &m_loop;
    Channel &m_channel;
    CacheEventExchange &m_exchange;
    FleetState &m_fleet;
    Options m_options;
    std::map<std::string, PolledCache> m_caches;
    http::EventLoop::TimerId m_timer = 0;
};

} // namespace teaseldrift::relay
