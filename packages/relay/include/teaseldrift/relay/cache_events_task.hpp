#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/relay/fleet_state.hpp"

namespace teaseldrift::relay {

/// @brief What a cache says of its changes.
struct CacheEvents
{
    /// Changes when the cache restarts.
    uint64_t incarnation = 0;
    /// Where to go on.
    uint64_t next = 0;
    /// Some events before these are no longer kept.
    bool hasGap = false;
    std::vector<PartEvent> events;
};

/// @brief Asks caches for their events.
template <typename C>
concept CacheEventChannel = requires(C &channel, std::string_view address, uint64_t since,
                                     std::function<void(std::optional<CacheEvents>)> onAnswer)
{
    channel.askCacheEvents(address, since, onAnswer);
};

/// @brief Follows the caches of all engines and of the kept store.
template <CacheEventChannel Channel>
class CacheEventsTask
{
public:
    struct Options
    {
        /// Pace of questions to one cache. Events come late anyway.
        Duration interval = 1s;
        /// Questions a second of all VMs together: they cost the targets work.
        double fleetRate = 150.0;
        Duration tick = 100ms;
    };

    CacheEventsTask(http::EventLoop &loop, Channel &channel, FleetState &fleet,
                    Options options = {})
        : m_loop(loop), m_channel(channel), m_fleet(fleet), m_options(options)
    { }

    ~CacheEventsTask() { m_loop.cancelTimer(m_timer); }
    CacheEventsTask(const CacheEventsTask &) = delete;
    CacheEventsTask &operator=(const CacheEventsTask &) = delete;

    void start() { tick(); }

private:
    struct Followed
    {
        std::string address;
        uint64_t startedAtMs = 0;
        uint64_t incarnation = 0;
        uint64_t next = 0;
        Instant nextAsk;
        bool isAsking = false;
    };

    void tick()
    {
        const Instant now = http::EventLoop::now();
        updateCaches(now);
        for (std::pair<const std::string, Followed> &cache : m_caches) {
            if (!cache.second.isAsking && now >= cache.second.nextAsk) {
                ask(cache.first, cache.second, now);
            }
        }
        m_timer = m_loop.startTimer(m_options.tick, [this] { tick(); });
    }

    [[nodiscard]] Duration interval() const
    {
        const double calls = static_cast<double>(m_caches.size() * m_fleet.vmCount());
        const Duration paced = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(calls / m_options.fleetRate));
        return std::max(m_options.interval, paced);
    }

    /// Brings the list of caches in line with the directory. The kept store has an empty id.
    void updateCaches(Instant now)
    {
        std::map<std::string, Followed> wanted;
        const RouteTable *table = m_fleet.table().get();
        if (table != nullptr && table->cacheStore() != nullptr) {
            wanted[""] = {.address = table->cacheStore()->cacheStoreAddress};
        }
        for (const std::pair<const std::string, TargetEntry> &target : m_fleet.directory().all()) {
            if (!target.second.weights.empty() && !target.second.isLeaving) {
                wanted[target.first] = {.address = target.second.address,
                                        .startedAtMs = target.second.startedAtMs};
            }
        }
        std::erase_if(m_caches, [&wanted](const std::pair<const std::string, Followed> &known) {
            const auto found = wanted.find(known.first);
            return found == wanted.end() || found->second.address != known.second.address
                   || found->second.startedAtMs != known.second.startedAtMs;
        });
        for (std::pair<const std::string, Followed> &cache : wanted) {
            cache.second.nextAsk = now;
            m_caches.insert(cache);
        }
    }

    void ask(const std::string &id, Followed &cache, Instant now)
    {
        cache.isAsking = true;
        cache.nextAsk = now + interval();
        m_channel.askCacheEvents(
                cache.address, cache.next,
                [this, id, address = cache.address](const std::optional<CacheEvents> &answer) {
                    take(id, address, answer);
                });
    }

    void take(const std::string &id, const std::string &address,
              const std::optional<CacheEvents> &answer)
    {
        const auto found = m_caches.find(id);
        if (found == m_caches.end() || found->second.address != address) {
            return;
        }
        Followed &cache = found->second;
        cache.isAsking = false;
        if (!answer) {
            return;
        }
        const bool isOther = cache.incarnation != 0 && cache.incarnation != answer->incarnation;
        if (isOther || (answer->hasGap && cache.next != 0)) {
            m_fleet.book().forgetCache(id);
        }
        cache.incarnation = answer->incarnation;
        if (isOther) {
            // The numbers of the new incarnation begin anew.
            cache.next = 0;
            return;
        }
        cache.next = answer->next;
        m_fleet.book().applyEvents(id, answer->events);
    }

    http::EventLoop &m_loop;
    Channel &m_channel;
    FleetState &m_fleet;
    Options m_options;
    std::map<std::string, Followed> m_caches;
    http::EventLoop::TimerId m_timer = 0;
};

} // namespace teaseldrift::relay
