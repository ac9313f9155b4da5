#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::http {

class EventLoop;

/// @brief A request to a target.
struct Request
{
    std::string method = "GET";
    std::string path = "/";
    /// Value of the Host header; the endpoint if empty.
    std::string authority;
    Headers headers;
    std::string body;
};

/// @brief Which connection a call goes over.
enum class ConnectionUse {
    /// A kept connection if one is idle.
    Pooled,
    /// A new connection. An idle one may have been closed, or have gone silent for good.
    Fresh,
};

/// @brief How a call ended.
enum class CallOutcome {
    /// The whole answer arrived.
    Complete,
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The connection broke or timed out after the request may have been sent.
    Broken,
};

/// @brief Status and headers of an answer.
struct ResponseHead
{
    int status = 0;
    Headers headers;
};

/// @brief What a call reports. Exactly one onEnd follows unless the call is cancelled.
struct CallHandlers
{
    /// Optional; runs just before the first byte is handed to the connection. It must not destroy
    /// the call. Unlike the others it may run inside start().
    std::function<void()> onSent;
    /// Optional; tells whether an answer is that of this request. Targets may send a stray answer
    /// before it, which is read over.
    std::function<bool(const ResponseHead &)> matchesRequest;
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onData;
    std::function<void(CallOutcome)> onEnd;
};

/// @brief A call under way. Destroying it cancels the call and closes its connection.
class Call
{
public:
    ~Call();
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    /// @brief Stops reading, so that the target is slowed down.
    void pause();

    /// @brief Goes on after pause().
    void resume();

    /// @brief Whether bytes of the request may have reached the target.
    [[nodiscard]] bool maybeSent() const;

    /// Access for the client.
    struct Impl;
    explicit Call(std::unique_ptr<Impl> impl);

private:
    std::unique_ptr<Impl> m_impl;
};

/// @brief How a client connects.
struct ClientOptions
{
    Duration connectTimeout = 1s;
    /// Longest time without a byte of the answer; 0 for no bound.
    Duration ioTimeout = 60s;
    /// How long an idle connection is kept, unless the target announces a shorter time.
    Duration keepAlive = 5s;
    /// Idle connections kept for each endpoint.
    size_t maxIdle = 64;
    /// Time in which a peer must acknowledge what was sent or answer a keep-alive probe; a
    /// connection that has gone silent for good is closed after it. 0 leaves it to ioTimeout.
    Duration ackTimeout{0};
};

/// @brief An HTTP/1.1 client on one event loop.
class Client
{
public:
    Client(EventLoop &loop, ClientOptions options);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// @brief Sends a request.
    /// @return the call; handlers but onSent run on the loop, never inside start()
    [[nodiscard]] std::unique_ptr<Call> start(const Endpoint &endpoint, Request request,
                                              ConnectionUse use, CallHandlers handlers);

    /// @brief Drops the kept connections of an endpoint.
    void closeIdleConnections(const Endpoint &endpoint);

    /// Access for the calls.
    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace teaseldrift::http
