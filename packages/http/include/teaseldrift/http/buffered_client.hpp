#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::http {

/// @brief Why a call has no complete response.
enum class CallFailure {
    None,
    /// No process listens at the endpoint.
    Refused,
    /// No connection was established in time.
    NoConnection,
    /// Nothing of a response arrived in time.
    NoResponse,
    /// A part of the response arrived in time.
    Incomplete,
    /// The connection ended, or what arrived is not a valid response.
    Broken,
    /// ClientOptions::buffers was exhausted.
    BufferBudget,
    /// The response exceeds Request::maxResponseBytes.
    TooLarge,
    /// The request cannot be sent, see Client::start().
    InvalidRequest,
};

/// @brief Name of a failure for logs.
std::string_view toString(CallFailure failure);

/// @brief The complete response of a call.
struct BufferedResponse
{
    /// 0 if no complete response arrived in time.
    int status = 0;
    Headers headers;
    std::string body;
    CallFailure failure = CallFailure::None;
    /// Time from start() to the end of the call.
    Duration elapsed{0};
    /// When the head arrived: what the response says was decided before, also if its body took
    /// long.
    Instant headAt{};
    /// Bytes of the body that arrived, also if the call failed.
    size_t receivedBytes = 0;

    /// @brief No connection was established, or the request is invalid, so nothing was sent.
    [[nodiscard]] bool notSent() const
    {
        return failure == CallFailure::Refused || failure == CallFailure::NoConnection
               || failure == CallFailure::InvalidRequest;
    }
};

/// @brief Time-outs of a buffered call.
struct CallTimeouts
{
    /// Time in which the response must be complete, unless it is being received.
    Duration response{0};
    /// Time in which a response that is being received must be complete: what has arrived over a
    /// slow link is not dropped and requested again. 0 for `response`.
    Duration receiving{0};
};

/// @brief Makes small calls, each with its own time-outs, and buffers their responses.
///
/// ```cpp
/// BufferedClient calls(loop, client);
/// calls.start(endpoint, {.path = "/"}, 1s, [](const BufferedResponse &response) { ... });
/// ```
class BufferedClient
{
public:
    using Handler = std::function<void(const BufferedResponse &)>;

    BufferedClient(EventLoop &loop, Client &client);
    ~BufferedClient();
    BufferedClient(const BufferedClient &) = delete;
    BufferedClient &operator=(const BufferedClient &) = delete;

    /// Largest response body, unless the request sets another limit.
    static constexpr size_t defaultMaxResponseBytes = 16U << 20U;

    /// A response is being received if bytes of it have arrived within this time.
    static constexpr Duration longestPause = 300ms;

    /// @brief Starts a call. The handler is called once, never inside start(). A call that times
    /// out may still take effect; its connection is closed.
    /// @param matchesRequest optional; see CallHandlers
    /// @return number of the call
    uint64_t start(const Endpoint &endpoint, Request request, CallTimeouts timeouts,
                   Handler handler,
                   std::function<bool(const ResponseHead &)> matchesRequest = nullptr);
    uint64_t start(const Endpoint &endpoint, Request request, Duration timeout, Handler handler,
                   std::function<bool(const ResponseHead &)> matchesRequest = nullptr)
    {
        return start(endpoint, std::move(request), CallTimeouts{.response = timeout},
                     std::move(handler), std::move(matchesRequest));
    }

    /// @brief Client::connectDelay(), for the time-outs of calls that are answered at once.
    [[nodiscard]] Duration connectDelay() const;

    /// @brief Whether the response to a call is being received.
    [[nodiscard]] bool isReceiving(uint64_t call) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::http
