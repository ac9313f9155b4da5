#include "teaseldrift/http/whole_calls.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace teaseldrift::http {

struct WholeCalls::Native
{
    struct Pending
    {
        std::unique_ptr<Call> call;
        EventLoop::TimerId timer = 0;
        WholeAnswer answer;
        Handler handler;
    };

    EventLoop &loop;
    Client &client;
    uint64_t lastCall = 0;
    std::map<uint64_t, Pending> pending;

    void finish(uint64_t number, CallEnd end);

    /// @return null once the call has ended
    Pending *find(uint64_t number)
    {
        const auto found = pending.find(number);
        return found == pending.end() ? nullptr : &found->second;
    }
};

WholeCalls::WholeCalls(EventLoop &loop, Client &client)
    : m_native(new Native{.loop = loop, .client = client})
{ }

WholeCalls::~WholeCalls() = default;

void WholeCalls::start(const Endpoint &endpoint, Request request, Duration timeout, Handler handler)
{
    Native &native = *m_native;
    const uint64_t number = ++native.lastCall;
    Native::Pending &entry = native.pending[number];
    entry.handler = std::move(handler);
    entry.timer = native.loop.startTimer(
            timeout, [&native, number] { native.finish(number, CallEnd::Broken); });
    entry.call = native.client.start(
            endpoint, std::move(request), ConnectionUse::Pooled,
            {.onHead =
                     [&native, number](const ResponseHead &head) {
                         if (Native::Pending *open = native.find(number)) {
                             open->answer.status = head.status;
                         }
                     },
             .onData =
                     [&native, number](std::string_view data) {
                         if (Native::Pending *open = native.find(number)) {
                             open->answer.body.append(data);
                         }
                     },
             .onEnd = [&native, number](CallEnd end) { native.finish(number, end); }});
}

void WholeCalls::Native::finish(uint64_t number, CallEnd end)
{
    const auto found = pending.find(number);
    if (found == pending.end()) {
        return;
    }
    // The call's own handler may be running, so the call is destroyed later.
    const std::shared_ptr<Pending> ended = std::make_shared<Pending>(std::move(found->second));
    pending.erase(found);
    loop.cancelTimer(ended->timer);
    loop.post([ended] {});
    if (end != CallEnd::Complete) {
        ended->answer = {.notSent = end == CallEnd::NotSent};
    }
    ended->handler(ended->answer);
}

} // namespace teaseldrift::http
