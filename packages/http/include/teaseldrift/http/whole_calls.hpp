#pragma once

#include <functional>
#include <memory>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::http {

/// @brief The answer of a call, read whole.
struct WholeAnswer
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
/// WholeCalls calls(loop, client);
/// calls.start(endpoint, {.path = "/"}, 1s, [](const WholeAnswer &answer) { ... });
/// ```
class WholeCalls
{
public:
    using Handler = std::function<void(const WholeAnswer &)>;

    WholeCalls(EventLoop &loop, Client &client);
    ~WholeCalls();
    WholeCalls(const WholeCalls &) = delete;
    WholeCalls &operator=(const WholeCalls &) = delete;

    /// @brief Starts a call. The handler runs once, never inside start(); a call that is out of
    /// time may still take effect, and its connection is closed.
    void start(const Endpoint &endpoint, Request request, Duration timeout, Handler handler);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::http
