#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/schema/vm_record.pb.h"
#include "teaseldrift/segments/segment_event_log.hpp"

namespace teaseldrift::relay {

/// @brief Forwards cache events between VMs, so that not every VM of a large fleet polls every
/// cache.
class CacheEventExchange
{
public:
    using Handler = std::function<void(const schema::CacheEventsAnswer &)>;

    CacheEventExchange(http::EventLoop &loop, http::Client &peers);
    ~CacheEventExchange();
    CacheEventExchange(const CacheEventExchange &) = delete;
    CacheEventExchange &operator=(const CacheEventExchange &) = delete;

    /// @brief Appends events of a cache that this VM polls.
    void append(const std::string &cache, std::span<const SegmentEvent> events);

    /// @brief Discards a cache's events because the cache has restarted or has another poller.
    void clear(const std::string &cache);

    /// @brief Queries another VM. The handler receives an empty response if the query fails or
    /// times out.
    void query(const http::Endpoint &poller, const schema::CacheEventsAsk &query, Handler handler);

    /// @brief Handles another VM's query.
    void handle(http::Exchange &exchange);

    /// Path of the queries between VMs.
    static constexpr std::string_view path = "/teaseldrift/cache-events";

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
