#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"
#include "teaseldrift/usage/concurrency_limiter.hpp"

namespace teaseldrift::relay {

/// @brief A request for the permit to have a request at a target.
struct ConcurrencyPermitQuery
{
    /// limitName() of the target.
    std::string limit;
    uint32_t priority = 0;
    Duration maxWait{0};
    /// The permit lapses after this time.
    Duration term{0};
    /// Returns whether the sender does not wait for the decision any more.
    std::function<bool()> isSenderGone;
};

/// @brief Decision about such a permit.
struct ConcurrencyPermitDecision
{
    /// 0 if it was refused.
    uint64_t permit = 0;
    Duration retryAfter{0};
};

/// @brief Grants the permits of the brittle targets whose limits this VM owns.
class ConcurrencyOwner
{
public:
    using Handler = std::function<void(const ConcurrencyPermitDecision &)>;

    ConcurrencyOwner(http::EventLoop &loop, FleetState &fleet, telemetry::EventLog &log,
                     telemetry::Metrics &metrics);
    ~ConcurrencyOwner();
    ConcurrencyOwner(const ConcurrencyOwner &) = delete;
    ConcurrencyOwner &operator=(const ConcurrencyOwner &) = delete;

    /// @brief Decides as the owner of the limit. The handler may run within the call, and otherwise
    /// within `maxWait`.
    void acquire(const ConcurrencyPermitQuery &query, Handler handler);

    /// @brief The request with a permit has ended.
    void release(std::string_view limit, uint64_t permit, const ConcurrencyFeedback &feedback);

    /// @brief A permit will not be used.
    void cancel(std::string_view limit, uint64_t permit);

private:
    struct WaitingQuery
    {
        std::function<bool()> isSenderGone;
        Handler handler;
    };

    struct Target
    {
        ConcurrencyLimiter limiter;
        std::map<uint64_t, WaitingQuery> waiting;
        Instant lastUsedAt;
    };

    Target &targetOf(const std::string &limit, Instant now);
    void decide(const std::string &limit);
    void refuseAll(Target &target);
    void decideDue();
    void armTimer();
    void removeUnused(Instant now);

    http::EventLoop &m_loop;
    FleetState &m_fleet;
    telemetry::EventLog &m_log;
    telemetry::Metrics &m_metrics;
    std::map<std::string, Target, std::less<>> m_targets;
    /// Higher than the ids of an earlier process of this VM, whose permits may still be released.
    uint64_t m_lastId;
    http::EventLoop::TimerId m_timer = 0;
};

} // namespace teaseldrift::relay
