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

/// @brief Passes cache events on between VMs, so that in a large fleet not every VM asks every
/// cache.
class CacheEventExchange
{
public:
    using Handler = std::function<void(const schema::CacheEventsAnswer &)>;

    CacheEventExchange(http::EventLoop &loop, http::Client &peers);
    ~CacheEventExchange();
    CacheEventExchange(const CacheEventExchange &) = delete;
    CacheEventExchange &operator=(const CacheEventExchange &) = delete;

    /// @brief Keeps events of a cache that this VM reads.
    void append(const std::string &cache, std::span<const SegmentEvent> events);

    /// @brief The cache begins anew, or is read by another VM from now on.
    void clear(const std::string &cache);

    /// @brief Asks another VM. The handler gets an empty answer if none comes in time.
    void query(const http::Endpoint &poller, const schema::CacheEventsAsk &query, Handler handler);

    /// @brief Answers another VM's question.
    void handle(http::Exchange &exchange);

    /// Path of the questions between VMs.
    static constexpr std::string_view path = "/teaseldrift/cache-events";

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
