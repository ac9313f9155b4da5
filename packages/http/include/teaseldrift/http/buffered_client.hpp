#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

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
    /// Bytes of the body that arrived, also if the call failed.
    size_t receivedBytes = 0;

    /// @brief No connection was established, so nothing was sent.
    [[nodiscard]] bool notSent() const
    {
        return failure == CallFailure::Refused || failure == CallFailure::NoConnection;
    }
};

/// @brief Makes small calls, each with its own time-out, and buffers their responses.
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

    /// @brief Starts a call. The handler is called once, never inside start(). A call that times
    /// out may still take effect; its connection is closed.
    /// @param matchesRequest optional; see CallHandlers
    void start(const Endpoint &endpoint, Request request, Duration timeout, Handler handler,
               std::function<bool(const ResponseHead &)> matchesRequest = nullptr);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::http
