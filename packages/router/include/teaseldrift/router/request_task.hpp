#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaseldrift/attempts/retry_budget.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/buffer_budget.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/router/target_pool.hpp"
#include "teaseldrift/schema/configuration.pb.h"
#include "teaseldrift/segments/prompt_segments.hpp"
#include "teaseldrift/streams/stream_relay.hpp"

namespace teaseldrift::http {
class Client;
class EventLoop;
class Exchange;
} // namespace teaseldrift::http

namespace teaseldrift::router {

class RouterMetrics;
class QuarantineTask;
class TargetPermits;

/// @brief Services and limits of this VM that request tasks use.
struct RequestServices
{
    http::EventLoop &loop;
    http::Client &client;
    TargetPool &targets;
    RouterMetrics &metrics;
    QuarantineTask &quarantine;
    TargetPermits &permits;
    /// For what requests hold of responses; null for no limit.
    http::BufferBudget *buffers = nullptr;
    /// Bytes buffered for a slow caller before reading from the target is paused.
    size_t streamBufferBytes = 65536;
    /// Time without progress after which a caller with pending data is disconnected.
    Duration callerIdleTimeout = 30s;
    /// Maximum size of a buffered response.
    size_t maxResponseBytes = 64U << 20U;
    bool debugHeaders = false;
};

/// @brief An admitted request and its limits.
struct RequestSpec
{
    std::string requestId;
    std::string organisation;
    schema::RouteClass routeClass = schema::IDEMPOTENT;
    schema::Defaults defaults;
    /// The caller's timeout, or the configured default.
    Duration deadline = 30s;
    std::shared_ptr<const TargetQuery> query;
    /// See CompletionRequest::segments.
    std::vector<PromptSegment> segments;
    /// The first attempt is sent although its prompt holds quarantined segments.
    bool isTrial = false;
    /// Request line, headers and body, as sent by every attempt that repeats the full request.
    std::string method;
    std::string path;
    http::Headers headers;
    std::string body;
    bool isCompletion = false;
    bool isChat = false;
    bool streams = false;
    /// The caller requested the stream's chunk with token counts.
    bool includeUsage = false;
    /// Deadline set by a granted claim of an Idempotency-Key: no attempt may be sent after it.
    std::optional<Instant> sendDeadline;
};

/// @brief Final outcome of a request.
struct RequestOutcome
{
    schema::ResultCode code = schema::INTERNAL;
    schema::Ran ran = schema::RAN_UNKNOWN;
    int status = 0;
    std::string target;
    uint32_t attempts = 0;
    uint64_t positions = 0;
    std::optional<StreamUsage> usage;
    /// The complete buffered response, stored with the idempotency claim.
    http::Response response;
};

/// @brief Executes an admitted request: makes attempts until there is exactly one final outcome.
///
/// Drives a RequestStateMachine: acquires targets from the pool, sends attempts, forwards streams
/// in complete events only, and applies backpressure to the target when the caller reads slowly.
class RequestTask : public std::enable_shared_from_this<RequestTask>
{
public:
    /// @param onDone called once from the event loop, after the response to the caller has been
    /// ended
    static std::shared_ptr<RequestTask> start(const RequestServices &services,
                                              std::shared_ptr<http::Exchange> exchange,
                                              RequestSpec spec, RetryBudget &budget,
                                              std::function<void(const RequestOutcome &)> onDone);

    ~RequestTask();
    RequestTask(const RequestTask &) = delete;
    RequestTask &operator=(const RequestTask &) = delete;

    /// @brief Ends the request because the drain period of a shutdown has expired.
    void drainDeadlineExpired();

    struct Impl;
    explicit RequestTask(std::unique_ptr<Impl> impl);

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
