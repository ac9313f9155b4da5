#include "teaseldrift/http/buffered_client.hpp"

#include <cstdint>
#include <map>
#include <utility>

#include "teaseldrift/http/buffer_budget.hpp"

namespace teaseldrift::http {

struct BufferedClient::Impl
{
    struct Pending
    {
        std::unique_ptr<Call> call;
        EventLoop::TimerId timer = 0;
        BufferedResponse response;
        std::unique_ptr<BufferAccount> account;
        Handler handler;
    };

    EventLoop &loop;
    Client &client;
    uint64_t lastCall = 0;
    std::map<uint64_t, Pending> pending;

    void finish(uint64_t number, CallOutcome end);

    /// @return null once the call has ended
    Pending *find(uint64_t number)
    {
        const auto found = pending.find(number);
        return found == pending.end() ? nullptr : &found->second;
    }
};

BufferedClient::BufferedClient(EventLoop &loop, Client &client)
    : m_impl(new Impl{.loop = loop, .client = client})
{ }

BufferedClient::~BufferedClient() = default;

void BufferedClient::start(const Endpoint &endpoint, Request request, Duration timeout,
                           Handler handler,
                           std::function<bool(const ResponseHead &)> matchesRequest)
{
    Impl &impl = *m_impl;
    if (request.maxResponseBytes == 0) {
        request.maxResponseBytes = defaultMaxResponseBytes;
    }
    const uint64_t number = ++impl.lastCall;
    Impl::Pending &entry = impl.pending[number];
    entry.handler = std::move(handler);
    entry.account = std::make_unique<BufferAccount>(
            impl.client.buffers(), [&impl, number] { impl.finish(number, CallOutcome::Broken); });
    entry.timer = impl.loop.startTimer(
            timeout, [&impl, number] { impl.finish(number, CallOutcome::Broken); });
    entry.call = impl.client.start(
            endpoint, std::move(request), ConnectionUse::Pooled,
            {.matchesRequest = std::move(matchesRequest),
             .onHead =
                     [&impl, number](const ResponseHead &head) {
                         if (Impl::Pending *open = impl.find(number)) {
                             open->response.status = head.status;
                             open->response.headers = head.headers;
                         }
                     },
             .onData =
                     [&impl, number](std::string_view data) {
                         if (Impl::Pending *open = impl.find(number)) {
                             open->response.body.append(data);
                             open->account->set(open->response.body.capacity());
                         }
                     },
             .onEnd = [&impl, number](CallOutcome end) { impl.finish(number, end); }});
}

void BufferedClient::Impl::finish(uint64_t number, CallOutcome end)
{
    const auto found = pending.find(number);
    if (found == pending.end()) {
        return;
    }
    // A handler of the call may be running, so the call is destroyed by a posted task.
    const std::shared_ptr<Pending> ended = std::make_shared<Pending>(std::move(found->second));
    pending.erase(found);
    loop.cancelTimer(ended->timer);
    loop.post([ended] {});
    if (end != CallOutcome::Complete) {
        ended->response
                = {.notSent = end == CallOutcome::NotSent, .wasRefused = ended->call->wasRefused()};
    }
    ended->handler(ended->response);
}

} // namespace teaseldrift::http
