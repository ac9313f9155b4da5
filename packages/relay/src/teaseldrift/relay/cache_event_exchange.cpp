#include "teaseldrift/relay/cache_event_exchange.hpp"

#include <utility>

#include "teaseldrift/http/buffered_client.hpp"

namespace teaseldrift::relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

/// Longest wait for another VM: later events are of little use.
constexpr Duration responseTimeout = 500ms;

} // namespace

struct CacheEventExchange::Impl
{
    http::BufferedClient calls;
    std::map<std::string, SegmentEventLog, std::less<>> logs;
};

CacheEventExchange::CacheEventExchange(http::EventLoop &loop, http::Client &peers)
    : m_impl(new Impl{.calls = http::BufferedClient(loop, peers)})
{ }

CacheEventExchange::~CacheEventExchange() = default;

void CacheEventExchange::append(const std::string &cache, std::span<const SegmentEvent> events)
{
    auto found = m_impl->logs.find(cache);
    if (found == m_impl->logs.end()) {
        // The creation time distinguishes this log from earlier ones of this or another VM.
        const uint64_t incarnation
                = static_cast<uint64_t>(http::EventLoop::now().time_since_epoch().count()) | 1U;
        found = m_impl->logs.emplace(cache, SegmentEventLog(incarnation)).first;
    }
    found->second.append(events);
}

void CacheEventExchange::clear(const std::string &cache)
{
    m_impl->logs.erase(cache);
}

void CacheEventExchange::query(const http::Endpoint &poller, const schema::CacheEventsAsk &query,
                               Handler handler)
{
    m_impl->calls.start(
            poller,
            {.method = "POST", .path = std::string(path), .body = query.SerializeAsString()},
            responseTimeout,
            [handler = std::move(handler)](const http::BufferedResponse &response) {
                schema::CacheEventsAnswer events;
                if (response.status != statusOk || !events.ParseFromString(response.body)) {
                    events.Clear();
                }
                handler(events);
            });
}

void CacheEventExchange::handle(http::Exchange &exchange)
{
    schema::CacheEventsAsk query;
    if (!query.ParseFromArray(exchange.body().data(), static_cast<int>(exchange.body().size()))) {
        exchange.respond({.status = statusBadRequest});
        return;
    }
    schema::CacheEventsAnswer response;
    for (const schema::CacheEventsAsk::Cache &requested : query.caches()) {
        const auto found = m_impl->logs.find(requested.cache());
        if (found == m_impl->logs.end()) {
            continue;
        }
        const SegmentEventLog &log = found->second;
        schema::CacheEventsAnswer::Cache &cache = *response.add_caches();
        cache.set_cache(requested.cache());
        cache.set_incarnation(log.incarnation());
        cache.set_next(log.next());
        cache.set_has_gap(!log.covers(requested.since()));
        for (const SegmentEvent &event : log.since(requested.since())) {
            cache.add_part_keys(event.segmentKey);
            cache.add_tokens(event.tokens);
        }
    }
    exchange.respond({.body = response.SerializeAsString()});
}

} // namespace teaseldrift::relay
