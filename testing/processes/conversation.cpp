#include "processes/conversation.hpp"

namespace teaseldrift::testing {

std::shared_ptr<Answer> Conversation::begin(const http::Endpoint &endpoint, http::Request request,
                                            http::ConnectionUse use)
{
    const std::shared_ptr<Answer> answer = std::make_shared<Answer>();
    m_calls[answer.get()] = m_client.start(
            endpoint, std::move(request), use,
            {
                    .onHead =
                            [answer](const http::ResponseHead &head) {
                                answer->status = head.status;
                                answer->headers = head.headers;
                            },
                    .onData = [answer](std::string_view data) { answer->body += data; },
                    .onEnd =
                            [answer](http::CallOutcome end) {
                                answer->end = end;
                                answer->ended = true;
                            },
            });
    return answer;
}

Answer Conversation::ask(const http::Endpoint &endpoint, http::Request request, Duration patience)
{
    const std::shared_ptr<Answer> answer = begin(endpoint, std::move(request));
    waitFor([answer] { return answer->ended; }, patience);
    m_calls.erase(answer.get());
    return *answer;
}

Answer Conversation::askKept(const http::Endpoint &endpoint, http::Request request)
{
    const std::shared_ptr<Answer> answer
            = begin(endpoint, std::move(request), http::ConnectionUse::Pooled);
    waitFor([answer] { return answer->ended; });
    m_calls.erase(answer.get());
    return *answer;
}

void Conversation::drop(const std::shared_ptr<Answer> &answer)
{
    m_calls.erase(answer.get());
}

void Conversation::poll(const std::function<bool()> &condition, Instant deadline, bool &held)
{
    held = condition();
    if (held || http::EventLoop::now() >= deadline) {
        m_loop.stop();
        return;
    }
    m_loop.startTimer(1ms,
                      [this, &condition, deadline, &held] { poll(condition, deadline, held); });
}

bool Conversation::waitFor(const std::function<bool()> &condition, Duration patience)
{
    bool held = false;
    poll(condition, http::EventLoop::now() + patience, held);
    m_loop.run();
    return held;
}

} // namespace teaseldrift::testing
