#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::testing {

/// @brief The part of a response that has been received.
struct ReceivedResponse
{
    int status = 0;
    http::Headers headers;
    std::string body;
    http::CallOutcome end = http::CallOutcome::NotSent;
    bool ended = false;

    [[nodiscard]] bool isComplete() const { return ended && end == http::CallOutcome::Complete; }
};

/// @brief HTTP client with its own event loop that can wait for responses.
class TestClient
{
public:
    /// @brief Sends a request and waits for the end of the response.
    ReceivedResponse fetch(const http::Endpoint &endpoint, http::Request request,
                           Duration timeout = 20s);

    /// @brief The same over a pooled connection.
    ReceivedResponse fetchPooled(const http::Endpoint &endpoint, http::Request request);

    /// @brief Sends a request; the returned response is filled in while the loop runs.
    std::shared_ptr<ReceivedResponse> start(const http::Endpoint &endpoint, http::Request request,
                                            http::ConnectionUse use = http::ConnectionUse::Fresh);

    /// @brief Cancels a request and closes its connection.
    void cancel(const std::shared_ptr<ReceivedResponse> &response);

    /// @brief Runs the loop until a condition is true or the timeout expires.
    /// @return whether the condition became true before the timeout
    bool waitFor(const std::function<bool()> &condition, Duration timeout = 20s);

    http::EventLoop &loop() { return m_loop; }

private:
    http::EventLoop m_loop;
    http::Client m_client{m_loop, {.connectTimeout = 2s, .ioTimeout = 120s}};
    std::map<ReceivedResponse *, std::unique_ptr<http::Call>> m_calls;

    void poll(const std::function<bool()> &condition, Instant deadline, bool &fulfilled);
};

} // namespace teaseldrift::testing
