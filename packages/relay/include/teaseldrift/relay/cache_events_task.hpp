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
#include "teaseldrift/relay/cache_event_exchange.hpp"
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
    std::vector<SegmentEvent> events;
};

/// @brief Asks caches for their events.
template <typename C>
concept CacheEventChannel = requires(C &channel, std::string_view address, uint64_t since,
                                     std::function<void(std::optional<CacheEvents>)> onAnswer)
{
    channel.askCacheEvents(address, since, onAnswer);
};

/// @brief Follows the caches of all engines and of the kept store.
///
/// In a small fleet each VM asks each cache. Where that would be too many questions, one VM of each
/// availability zone asks a cache, and the others ask that VM.
template <CacheEventChannel Channel>
class CacheEventsTask
{
public:
    struct Options
    {
        /// Pace of questions to one cache. Events come late anyway.
        Duration interval = 1s;
        /// Questions a second of all VMs together up to which each VM asks for itself: they cost
        /// the targets work.
        double fleetRate = 150.0;
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
    struct Followed
    {
        std::string address;
        uint64_t startedAtMs = 0;
        uint64_t incarnation = 0;
        uint64_t next = 0;
        Instant nextAsk;
        bool isAsking = false;
        /// The VM that the numbers are of; empty for the cache itself.
        std::string reader;
    };

    void tick()
    {
        const Instant now = http::EventLoop::now();
        updateCaches(now);
        std::map<std::string, std::vector<std::string>> byReader;
        for (std::pair<const std::string, Followed> &cache : m_caches) {
            if (cache.second.isAsking || now < cache.second.nextAsk) {
                continue;
            }
            const schema::VmRecord *reader
                    = isShared() ? m_fleet.cachePoller(cache.first) : nullptr;
            setReader(cache.first, cache.second,
                      reader == nullptr ? std::string() : reader->peer_address());
            if (reader == nullptr) {
                ask(cache.first, cache.second, now);
            } else {
                byReader[cache.second.reader].push_back(cache.first);
            }
        }
        for (const std::pair<const std::string, std::vector<std::string>> &reader : byReader) {
            askReader(reader.first, reader.second, now);
        }
        m_timer = m_loop.startTimer(m_options.tick, [this] { tick(); });
    }

    [[nodiscard]] bool isShared() const
    {
        const double calls = static_cast<double>(m_caches.size() * m_fleet.vmCount());
        return calls > m_options.fleetRate * toSeconds(m_options.interval);
    }

    /// Another source counts from anew.
    void setReader(const std::string &id, Followed &cache, const std::string &reader)
    {
        if (cache.reader == reader) {
            return;
        }
        cache.reader = reader;
        cache.incarnation = 0;
        cache.next = 0;
        m_exchange.drop(id);
    }

    void askReader(const std::string &reader, const std::vector<std::string> &ids, Instant now)
    {
        http::Endpoint endpoint;
        if (!http::parseEndpoint(reader, endpoint)) {
            return;
        }
        schema::CacheEventsAsk question;
        for (const std::string &id : ids) {
            Followed &cache = m_caches[id];
            cache.isAsking = true;
            cache.nextAsk = now + m_options.interval;
            schema::CacheEventsAsk::Cache &asked = *question.add_caches();
            asked.set_cache(id);
            asked.set_since(cache.next);
        }
        m_exchange.ask(endpoint, question,
                       [this, reader, ids](const schema::CacheEventsAnswer &answer) {
                           for (const std::string &id : ids) {
                               const auto found = m_caches.find(id);
                               if (found != m_caches.end() && found->second.reader == reader) {
                                   found->second.isAsking = false;
                               }
                           }
                           for (const schema::CacheEventsAnswer::Cache &cache : answer.caches()) {
                               takeFromReader(reader, cache);
                           }
                       });
    }

    void takeFromReader(const std::string &reader, const schema::CacheEventsAnswer::Cache &answer)
    {
        CacheEvents events{.incarnation = answer.incarnation(),
                           .next = answer.next(),
                           .hasGap = answer.has_gap()};
        for (int i = 0; i < std::min(answer.part_keys_size(), answer.tokens_size()); ++i) {
            events.events.push_back(
                    {.segmentKey = answer.part_keys(i), .tokens = answer.tokens(i)});
        }
        const auto found = m_caches.find(answer.cache());
        if (found != m_caches.end() && found->second.reader == reader) {
            apply(answer.cache(), found->second, events);
        }
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
        cache.nextAsk = now + m_options.interval;
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
        if (found == m_caches.end() || found->second.address != address
            || !found->second.reader.empty()) {
            return;
        }
        found->second.isAsking = false;
        if (answer && apply(id, found->second, *answer) && isShared()) {
            m_exchange.keep(id, answer->events);
        }
    }

    /// @return false if the events are of an incarnation that has to be asked from its beginning
    bool apply(const std::string &id, Followed &cache, const CacheEvents &answer)
    {
        const bool isOther = cache.incarnation != 0 && cache.incarnation != answer.incarnation;
        if (isOther || (answer.hasGap && cache.next != 0)) {
            m_fleet.targetSelector().clearCache(id);
            m_exchange.drop(id);
        }
        cache.incarnation = answer.incarnation;
        if (isOther) {
            // The numbers of the new incarnation begin anew.
            cache.next = 0;
            return false;
        }
        cache.next = answer.next;
        m_fleet.targetSelector().applyCacheEvents(id, answer.events);
        return true;
    }

    http::EventLoop &m_loop;
    Channel &m_channel;
    CacheEventExchange &m_exchange;
    FleetState &m_fleet;
    Options m_options;
    std::map<std::string, Followed> m_caches;
    http::EventLoop::TimerId m_timer = 0;
};

} // namespace teaseldrift::relay
