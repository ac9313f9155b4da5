#include "processes/test_client.hpp"

namespace teaseldrift::testing {

std::shared_ptr<ReceivedResponse> TestClient::start(const http::Endpoint &endpoint,
                                                    http::Request request, http::ConnectionUse use)
{
    const std::shared_ptr<ReceivedResponse> response = std::make_shared<ReceivedResponse>();
    m_calls[response.get()] = m_client.start(
            endpoint, std::move(request), use,
            {
                    .onHead =
                            [response](const http::ResponseHead &head) {
                                response->status = head.status;
                                response->headers = head.headers;
                            },
                    .onData = [response](std::string_view data) { response->body += data; },
                    .onEnd =
                            [response](http::CallOutcome end) {
                                response->end = end;
                                response->ended = true;
                            },
            });
    return response;
}

ReceivedResponse TestClient::fetch(const http::Endpoint &endpoint, http::Request request,
                                   Duration timeout)
{
    const std::shared_ptr<ReceivedResponse> response = start(endpoint, std::move(request));
    waitFor([response] { return response->ended; }, timeout);
    m_calls.erase(response.get());
    return *response;
}

ReceivedResponse TestClient::fetchPooled(const http::Endpoint &endpoint, http::Request request)
{
    const std::shared_ptr<ReceivedResponse> response
            = start(endpoint, std::move(request), http::ConnectionUse::Pooled);
    waitFor([response] { return response->ended; });
    m_calls.erase(response.get());
    return *response;
}

void TestClient::cancel(const std::shared_ptr<ReceivedResponse> &response)
{
    m_calls.erase(response.get());
}

void TestClient::poll(const std::function<bool()> &condition, Instant deadline, bool &fulfilled)
{
    fulfilled = condition();
    if (fulfilled || http::EventLoop::now() >= deadline) {
        m_loop.stop();
        return;
    }
    m_loop.startTimer(1ms, [this, &condition, deadline, &fulfilled] {
        poll(condition, deadline, fulfilled);
    });
}

bool TestClient::waitFor(const std::function<bool()> &condition, Duration timeout)
{
    bool fulfilled = false;
    poll(condition, http::EventLoop::now() + timeout, fulfilled);
    m_loop.run();
    return fulfilled;
}

} // namespace teaseldrift::testing
