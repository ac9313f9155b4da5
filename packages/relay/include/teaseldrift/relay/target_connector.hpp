#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

/// @brief How this VM connects to targets itself.
struct TargetTransport
{
    /// As http::Client::start().
    std::function<std::unique_ptr<http::Call>(const http::Endpoint &, http::Request,
                                              http::ConnectionUse, http::CallHandlers)>
            start;
    /// As http::Client::connect().
    std::function<std::unique_ptr<http::Call>(const http::Endpoint &,
                                              std::function<void(http::CallOutcome)>)>
            connect;
};

struct TargetConnectorOptions
{
    /// Most VMs that try to pass one request on.
    size_t maxVms = 3;
    /// Most VMs that refuse to pass one request on, because they are known to lack the path, too.
    size_t maxRefusals = 12;
    /// Time after which a request without any answer counts as silence on its path.
    Duration silenceTime = 400ms;
    /// Time without an acknowledgement of anything that was sent, after which such silence is that
    /// of the path and not of the target. A host acknowledges within 40 ms, also for a process that
    /// is suspended; less than `silenceTime`, as the last acknowledgement may precede the request.
    Duration ackSilence = 300ms;
    /// Time for which a VM that has passed a request on is asked before unknown ones.
    Duration helperMemory = 2s;
    /// Time in which a VM must report that it has sent a request; covers its connection attempt.
    Duration forwardingTimeout = 700ms;
    /// Time for which a VM is not asked again that did not pass a request on.
    Duration vmCooldown = 500ms;
};

/// @brief The target and the properties of a call to it.
struct TargetCallOptions
{
    std::string targetId;
    /// IP:port.
    std::string targetAddress;
    http::ConnectionUse use = http::ConnectionUse::Pooled;
    /// The request may run twice, so that it need not wait for a VM that may still pass it on.
    bool isRepeatable = false;
    /// For the log.
    std::string requestId;
    /// Optional; called if the request was sent to the target and hangs, as this VM is cut off.
    std::function<void()> onPathLost = nullptr;
};

/// @brief A call to a target, directly or through another VM. Destroying it cancels it.
class RoutedCall
{
public:
    ~RoutedCall();
    RoutedCall(const RoutedCall &) = delete;
    RoutedCall &operator=(const RoutedCall &) = delete;

    /// @brief See http::Call.
    void pause();
    void resume();
    void expectData();

    /// @brief See http::Call.
    [[nodiscard]] bool wasGivenUp() const;

    /// @brief The VM through which the request was sent; empty if it was sent directly.
    [[nodiscard]] std::string_view vmId() const;

    /// @brief Other VMs reach the target, or this VM reaches none, so that its failure to answer
    /// says nothing about it.
    [[nodiscard]] bool isPathCut() const;

    /// @brief The request was sent directly and hangs or broke off as this VM is cut off.
    [[nodiscard]] bool isPathLost() const;

    /// Implementation; public for TargetConnector only.
    struct Impl;
    explicit RoutedCall(std::shared_ptr<Impl> impl);

private:
    std::shared_ptr<Impl> m_impl;
};

/// @brief Sends requests to targets, through other VMs where this one cannot connect.
///
/// A request is sent through another VM only while no byte of it can have reached the target.
/// Docs: docs/design/cut-paths.md.
class TargetConnector
{
public:
    TargetConnector(http::EventLoop &loop, http::Client &targets, http::Client &peers,
                    FleetState &fleet, telemetry::EventLog &log, telemetry::Metrics &metrics,
                    TargetConnectorOptions options = {});
    TargetConnector(http::EventLoop &loop, TargetTransport transport, http::Client &peers,
                    FleetState &fleet, telemetry::EventLog &log, telemetry::Metrics &metrics,
                    TargetConnectorOptions options = {});
    ~TargetConnector();
    TargetConnector(const TargetConnector &) = delete;
    TargetConnector &operator=(const TargetConnector &) = delete;

    /// @brief Sends a request.
    ///
    /// The handlers are called as by http::Client, except that NotSent may follow onSent: another
    /// VM was handed the request and states that it has sent nothing.
    [[nodiscard]] std::unique_ptr<RoutedCall>
    start(TargetCallOptions options, http::Request request, http::CallHandlers handlers);

    /// Implementation; public for RoutedCall only.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
