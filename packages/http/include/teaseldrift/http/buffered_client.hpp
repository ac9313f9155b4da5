#pragma once

#include <functional>
#include <memory>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::http {

/// @brief The answer of a call, read whole.
struct BufferedResponse
{
    /// 0 if no whole answer came in time.
    int status = 0;
    std::string body;
    /// No connection was made, so nothing was sent.
    bool notSent = false;
};

/// @brief Small calls whose answers are taken as a whole, each within a time of its own.
///
/// ```cpp
/// BufferedClient calls(loop, client);
/// calls.start(endpoint, {.path = "/"}, 1s, [](const BufferedResponse &answer) { ... });
/// ```
class BufferedClient
{
public:
    using Handler = std::function<void(const BufferedResponse &)>;

    BufferedClient(EventLoop &loop, Client &client);
    ~BufferedClient();
    BufferedClient(const BufferedClient &) = delete;
    BufferedClient &operator=(const BufferedClient &) = delete;

    /// @brief Starts a call. The handler runs once, never inside start(); a call that is out of
    /// time may still take effect, and its connection is closed.
    void start(const Endpoint &endpoint, Request request, Duration timeout, Handler handler);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::http
