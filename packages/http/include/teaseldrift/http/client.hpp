#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::http {

class BufferBudget;
class EventLoop;

/// @brief A request to a target.
struct Request
{
    std::string method = "GET";
    std::string path = "/";
    /// Value of the Host header; if empty, the endpoint is used.
    std::string authority;
    Headers headers;
    std::string body;
    /// Largest body of the response; a call whose response is larger ends as Broken, at its head if
    /// that announces the length. 0 for no limit.
    size_t maxResponseBytes = 0;
};

/// @brief Which connection a call goes over.
enum class ConnectionUse {
    /// An idle connection if there is one, else a new one.
    Pooled,
    /// A new connection; an idle one may already be closed or dead.
    Fresh,
};

/// @brief How a call ended.
enum class CallOutcome {
    /// The response is complete.
    Complete,
    /// No connection was established, or the request is invalid, so nothing was sent.
    NotSent,
    /// The connection failed or timed out when the request may already have been sent.
    Broken,
};

/// @brief Status and headers of a response.
struct ResponseHead
{
    int status = 0;
    Headers headers;
};

/// @brief Callbacks of a call. onEnd is called exactly once unless the call is cancelled.
struct CallHandlers
{
    /// Optional; called just before the first byte is handed to the connection. It must not
    /// destroy the call. Unlike the others it may be called inside start().
    std::function<void()> onSent;
    /// Optional; returns whether a response belongs to this request. Targets may send a stray
    /// response first; responses that do not match are discarded.
    std::function<bool(const ResponseHead &)> matchesRequest;
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onData;
    std::function<void(CallOutcome)> onEnd;
};

/// @brief A call in progress. Destroying it cancels the call and closes its connection.
class Call
{
public:
    ~Call();
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    /// @brief Stops reading, so that TCP flow control slows the target down.
    void pause();

    /// @brief Continues reading after pause().
    void resume();

    /// @brief The target is sending its response: from now on its silence is noticed at the shorter
    /// interval of KeepAliveProbes.
    void expectData();

    /// @brief Whether bytes of the request may have reached the target.
    [[nodiscard]] bool maybeSent() const;

    /// @brief Whether the peer's host refused the connection: no process listens at the endpoint.
    [[nodiscard]] bool wasRefused() const;

    /// @brief Whether the call ended as NotSent because its request is invalid, see
    /// Client::start().
    [[nodiscard]] bool wasInvalid() const;

    /// @brief Whether the call ended as Broken because ClientOptions::buffers was exhausted.
    [[nodiscard]] bool wasGivenUp() const;

    /// @brief Whether the call ended as Broken because its response exceeds
    /// Request::maxResponseBytes.
    [[nodiscard]] bool wasTooLarge() const;

    /// @brief Whether bytes were sent that the peer's host has not acknowledged, and none of any
    /// has been for `time`: the host or the network is silent, not only the process. Empty if the
    /// kernel does not report it.
    [[nodiscard]] std::optional<bool> isUnacknowledgedFor(Duration time) const;

    /// Implementation; public for Client only.
    struct Impl;
    explicit Call(std::unique_ptr<Impl> impl);

private:
    std::unique_ptr<Impl> m_impl;
};

/// @brief TCP keep-alive probes, by which the kernel finds that the peer's host is unreachable.
///
/// A connection on which nothing arrives is probed after `idle`, and closed `interval` later if the
/// time since anything arrived is then at least ClientOptions::ackTimeout.
struct KeepAliveProbes
{
    std::chrono::seconds idle{1};
    std::chrono::seconds interval{1};
    /// Interval while a response is being received, see Call::expectData().
    std::chrono::seconds receivingInterval{1};
};

/// @brief Time-outs and connection limits of a client.
struct ClientOptions
{
    Duration connectTimeout = 1s;
    /// The time-out follows the time that connections take, up to this; 0 for a fixed one.
    Duration maxConnectTimeout{0};
    /// Longest time without receiving a byte of the response; 0 for no limit.
    Duration ioTimeout = 60s;
    /// Longest time that an idle connection is kept; shorter if the target announces so.
    Duration keepAlive = 5s;
    /// Most idle connections kept for each endpoint.
    size_t maxIdle = 64;
    /// Time within which a peer must acknowledge sent data or a TCP keep-alive probe; after it a
    /// dead connection is closed. 0 disables the check, so that only ioTimeout applies.
    Duration ackTimeout{0};
    KeepAliveProbes probes;
    /// IPv4 address that connections come from; empty for the one that the kernel selects.
    std::string sourceAddress = {};
    /// Budget for what is buffered of responses; null for no limit. Must outlive the client.
    BufferBudget *buffers = nullptr;
};

/// @brief An HTTP/1.1 client on one event loop.
class Client
{
public:
    Client(EventLoop &loop, ClientOptions options);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// @brief Sends a request. One whose method, path, authority or headers hold a character that
    /// would end them, such as a line feed, ends as NotSent: what follows it would be taken for
    /// another header or request.
    /// @return the call; all handlers except onSent run on the loop, never inside start()
    [[nodiscard]] std::unique_ptr<Call> start(const Endpoint &endpoint, Request request,
                                              ConnectionUse use, CallHandlers handlers);

    /// @brief Opens a connection and keeps it as an idle one.
    /// @param onEnd is told whether it was established, as Complete or NotSent; runs on the loop,
    /// never inside connect()
    /// @return the attempt; destroying it cancels it
    [[nodiscard]] std::unique_ptr<Call> connect(const Endpoint &endpoint,
                                                std::function<void(CallOutcome)> onEnd);

    /// @brief By how much the time-out of connections exceeds ClientOptions::connectTimeout at
    /// present, because packets are delayed.
    [[nodiscard]] Duration connectDelay() const;

    /// @brief ClientOptions::buffers.
    [[nodiscard]] BufferBudget *buffers() const;

    /// @brief Closes the idle connections to an endpoint.
    void closeIdleConnections(const Endpoint &endpoint);

    /// Implementation; public for Call only.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace teaseldrift::http
