#include "teaseldrift/http/buffered_client.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "teaseldrift/http/buffer_budget.hpp"

namespace teaseldrift::http {

std::string_view toString(CallFailure failure)
{
    switch (failure) {
    case CallFailure::None:
        return "none";
    case CallFailure::Refused:
        return "refused";
    case CallFailure::NoConnection:
        return "no_connection";
    case CallFailure::NoResponse:
        return "no_response";
    case CallFailure::Incomplete:
        return "incomplete";
    case CallFailure::Broken:
        return "broken";
    case CallFailure::BufferBudget:
        return "buffer_budget";
    case CallFailure::TooLarge:
        return "too_large";
    case CallFailure::InvalidRequest:
        return "invalid_request";
    }
    return "none";
}

struct BufferedClient::Impl
{
    struct Pending
    {
        std::unique_ptr<Call> call;
        EventLoop::TimerId timer = 0;
        BufferedResponse response;
        Instant startedAt;
        CallTimeouts timeouts;
        /// When bytes of the response last arrived.
        Instant receivedAt;
        std::unique_ptr<BufferAccount> account;
        Handler handler;
    };

    EventLoop &loop;
    Client &client;
    uint64_t lastCall = 0;
    std::map<uint64_t, Pending> pending;

    void finish(uint64_t number, CallFailure failure);
    void timeOut(uint64_t number);
    void end(uint64_t number, CallOutcome outcome);

    void startTimer(uint64_t number, Pending &call, Duration delay);
    [[nodiscard]] static bool isReceiving(const Pending &call);

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

uint64_t BufferedClient::start(const Endpoint &endpoint, Request request, CallTimeouts timeouts,
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
    entry.startedAt = EventLoop::now();
    entry.account = std::make_unique<BufferAccount>(impl.client.buffers(), [&impl, number] {
        impl.finish(number, CallFailure::BufferBudget);
    });
    entry.timeouts = timeouts;
    impl.startTimer(number, entry, timeouts.response);
    entry.call = impl.client.start(
            endpoint, std::move(request), ConnectionUse::Pooled,
            {.matchesRequest = std::move(matchesRequest),
             .onHead =
                     [&impl, number](const ResponseHead &head) {
                         if (Impl::Pending *open = impl.find(number)) {
                             open->response.status = head.status;
                             open->response.headers = head.headers;
                             open->receivedAt = EventLoop::now();
                             open->response.headAt = open->receivedAt;
                         }
                     },
             .onData =
                     [&impl, number](std::string_view data) {
                         if (Impl::Pending *open = impl.find(number)) {
                             open->receivedAt = EventLoop::now();
                             open->response.body.append(data);
                             open->account->set(open->response.body.capacity());
                         }
                     },
             .onEnd = [&impl, number](CallOutcome outcome) { impl.end(number, outcome); }});
    return number;
}

Duration BufferedClient::connectDelay() const
{
    return m_impl->client.connectDelay();
}

bool BufferedClient::isReceiving(uint64_t call) const
{
    const Impl::Pending *open = m_impl->find(call);
    return open != nullptr && Impl::isReceiving(*open);
}

bool BufferedClient::Impl::isReceiving(const Pending &call)
{
    return call.receivedAt != Instant() && EventLoop::now() - call.receivedAt < longestPause;
}

void BufferedClient::Impl::startTimer(uint64_t number, Pending &call, Duration delay)
{
    call.timer = loop.startTimer(delay, [this, number] { timeOut(number); });
}

void BufferedClient::Impl::timeOut(uint64_t number)
{
    Pending *open = find(number);
    if (open == nullptr) {
        return;
    }
    const Duration left = open->timeouts.receiving - (EventLoop::now() - open->startedAt);
    if (left > Duration(0) && isReceiving(*open)) {
        startTimer(number, *open, std::min(left, longestPause));
        return;
    }
    const bool hasHead = open->response.status != 0;
    finish(number, hasHead                   ? CallFailure::Incomplete
                   : open->call->maybeSent() ? CallFailure::NoResponse
                                             : CallFailure::NoConnection);
}

void BufferedClient::Impl::end(uint64_t number, CallOutcome outcome)
{
    const Pending *open = find(number);
    if (open == nullptr) {
        return;
    }
    switch (outcome) {
    case CallOutcome::Complete:
        finish(number, CallFailure::None);
        return;
    case CallOutcome::NotSent:
        finish(number, open->call->wasRefused()   ? CallFailure::Refused
                       : open->call->wasInvalid() ? CallFailure::InvalidRequest
                                                  : CallFailure::NoConnection);
        return;
    case CallOutcome::Broken:
        finish(number, open->call->wasGivenUp()    ? CallFailure::BufferBudget
                       : open->call->wasTooLarge() ? CallFailure::TooLarge
                                                   : CallFailure::Broken);
        return;
    }
}

void BufferedClient::Impl::finish(uint64_t number, CallFailure failure)
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
    BufferedResponse &response = ended->response;
    response.receivedBytes = response.body.size();
    response.elapsed = EventLoop::now() - ended->startedAt;
    response.failure = failure;
    if (failure != CallFailure::None) {
        response.status = 0;
        response.headers.clear();
        response.body.clear();
    }
    ended->handler(response);
}

} // namespace teaseldrift::http
