#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "teaseldrift/attempts/retry_budget.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/router/target_pool.hpp"
#include "teaseldrift/schema/configuration.pb.h"
#include "teaseldrift/streams/stream_relay.hpp"

namespace teaseldrift::http {
class Client;
class EventLoop;
class Exchange;
} // namespace teaseldrift::http

namespace teaseldrift::router {

class RouterMetrics;

/// @brief What request tasks use of their VM.
struct RequestServices
{
    http::EventLoop &loop;
    http::Client &client;
    TargetPool &targets;
    RouterMetrics &metrics;
    /// Bytes held for a slow caller before the target is no longer read.
    size_t streamBufferBytes = 65536;
    /// Longest time that a caller may take no data.
    Duration callerIdleTimeout = 30s;
    /// Largest answer that is held back until it is whole.
    size_t maxResponseBytes = 64U << 20U;
    bool debugHeaders = false;
};

/// @brief An admitted request.
struct RequestSpec
{
    std::string requestId;
    std::string organisation;
    schema::RouteClass routeClass = schema::IDEMPOTENT;
    schema::Defaults defaults;
    /// From the caller's own timeout, or the default.
    Duration deadline = 30s;
    std::shared_ptr<const TargetQuery> query;
    /// The request as every whole attempt sends it.
    std::string method;
    std::string path;
    http::Headers headers;
    std::string body;
    bool isCompletion = false;
    bool isChat = false;
    bool streams = false;
    /// The caller wants the stream's chunk with token counts.
    bool includeUsage = false;
    /// Granted claim of an Idempotency-Key: not to be handed to a connection after this time.
    std::optional<Instant> sendDeadline;
};

/// @brief How a request ended.
struct RequestOutcome
{
    schema::ResultCode code = schema::INTERNAL;
    schema::Ran ran = schema::RAN_UNKNOWN;
    int status = 0;
    std::string target;
    uint32_t attempts = 0;
    uint64_t positions = 0;
    std::optional<StreamUsage> usage;
    /// The whole answer of a request that was held back, for a claim to keep.
    http::Response response;
};

/// @brief Carries one admitted request through its attempts to its one final outcome.
///
/// Drives a RequestStateMachine: takes targets from the pool, sends attempts, passes streams on
/// whole event by whole event, and slows the target down when the caller is slow.
class RequestTask : public std::enable_shared_from_this<RequestTask>
{
public:
    /// @param onDone called once, after the caller has its final outcome
    static std::shared_ptr<RequestTask> start(const RequestServices &services,
                                              std::shared_ptr<http::Exchange> exchange,
                                              RequestSpec spec, RetryBudget &budget,
                                              std::function<void(const RequestOutcome &)> onDone);

    ~RequestTask();
    RequestTask(const RequestTask &) = delete;
    RequestTask &operator=(const RequestTask &) = delete;

    /// @brief The time that open requests get at shutdown is over.
    void drainDeadlineExpired();

    struct Impl;
    explicit RequestTask(std::unique_ptr<Impl> impl);

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
