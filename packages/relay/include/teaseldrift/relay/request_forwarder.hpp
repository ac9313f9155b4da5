#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/targets/target_notice.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

struct RequestForwarderOptions
{
    /// Most requests that are passed on at once, so that this VM's own callers are still served.
    size_t maxRequests = 96;
    /// Whether a response belongs to a request with these headers; see http::CallHandlers.
    std::function<bool(const http::Headers &request, const http::ResponseHead &response)>
            matchesRequest;
    /// Reads what a response states about its target.
    std::function<TargetNotice(const http::ResponseHead &response)> readNotice;
    /// Whether this process was suspended a moment ago. What has waited meanwhile is refused: the
    /// VM that sent it may have given up.
    std::function<bool()> wasSuspended;
};

/// @brief Passes requests on to targets for VMs that cannot connect to them, see TargetConnector.
///
/// The other VM has decided everything about the request. It is sent to the target that it names
/// and never through a third VM. What the response states about the target, such as that it is
/// leaving, applies to both VMs.
class RequestForwarder
{
public:
    RequestForwarder(http::EventLoop &loop, http::Client &targets, FleetState &fleet,
                     telemetry::EventLog &log, telemetry::Metrics &metrics,
                     RequestForwarderOptions options);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    /// @brief Handles a message of another VM. Every status but 200 states that nothing is sent.
    void handle(const std::shared_ptr<http::Exchange> &exchange);

    /// @brief Ends the requests of VMs that have disconnected; call it several times per second.
    void checkCallers();

    /// @brief Number of requests without a complete response.
    [[nodiscard]] size_t openRequests() const;

    /// Path of the messages between VMs.
    static constexpr std::string_view path = "/teaseldrift/forwarded-request";

    /// Body of a refusal: this VM is known not to reach the target either.
    static constexpr std::string_view cutOff = "cut_off";

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
