/// Tests of handlers that end the call, or the connection, that is calling them. The sanitizers
/// (scripts/sanitize.sh) find uses of freed memory that do not end the program.

#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "scripted_target.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::http {

namespace {

using testing::CloseMode;
using testing::ScriptedTarget;

constexpr const char *okHead = "HTTP/1.1 200 OK\r\n";

/// Handler of an exchange in which a call is ended.
enum class Handler { MatchesRequest, Head, Data };

/// What the handler does with its call.
enum class Action {
    Destroy,
    DestroyAndStartNext,
    PauseAndDestroy,
    PauseAndResume,
};

/// A large answer, so that the input buffer is given back to the system when it is freed.
std::string chunkedAnswer(size_t chunkSize, size_t chunks)
{
    constexpr size_t lineSize = 20;
    std::array<char, lineSize> size{};
    const int written = std::snprintf(size.data(), size.size(), "%zx\r\n", chunkSize);
    std::string bytes = std::string(okHead) + "transfer-encoding: chunked\r\n\r\n";
    for (size_t i = 0; i < chunks; ++i) {
        bytes.append(size.data(), static_cast<size_t>(written));
        bytes.append(chunkSize, 'x');
        bytes += "\r\n";
    }
    return bytes;
}

/// Makes calls one of whose handlers acts on the call itself.
class SelfEndingCall
{
public:
    SelfEndingCall(Handler handler, Action action) : m_handler(handler), m_action(action) { }

    /// @param readDelay time for which the response collects in the kernel before it is read
    void run(const Endpoint &endpoint, Duration readDelay)
    {
        start(endpoint);
        m_loop.post([this, readDelay] {
            m_call->pause();
            m_loop.startTimer(readDelay, [this] {
                if (m_call != nullptr) {
                    m_call->resume();
                }
            });
        });
        m_loop.startTimer(readDelay + 300ms, [this] { m_loop.stop(); });
        m_loop.run();
        m_call.reset();
        m_next.reset();
    }

    [[nodiscard]] int handled() const { return m_handled; }
    /// Calls of handlers after the action.
    [[nodiscard]] int handledLate() const { return m_handledLate; }

private:
    void start(const Endpoint &endpoint)
    {
        // The handlers own what they capture, so that ASan reports a use of it after they are
        // destroyed.
        const std::shared_ptr<Endpoint> owned = std::make_shared<Endpoint>(endpoint);
        const auto act = [this](Handler running, const Endpoint &used) { handle(running, used); };
        m_call = m_client.start(
                endpoint, {}, ConnectionUse::Pooled,
                {.matchesRequest =
                         [act, owned](const ResponseHead &) {
                             act(Handler::MatchesRequest, *owned);
                             return owned->port > 0;
                         },
                 .onHead = [act, owned](const ResponseHead &) { act(Handler::Head, *owned); },
                 .onData = [act, owned](std::string_view) { act(Handler::Data, *owned); },
                 .onEnd = [this, owned](CallOutcome) { m_handledLate += m_isDestroyed ? 1 : 0; }});
    }

    void handle(Handler running, const Endpoint &endpoint)
    {
        m_handledLate += m_isDestroyed ? 1 : 0;
        if (running != m_handler || m_isDestroyed) {
            return;
        }
        ++m_handled;
        if (m_action == Action::PauseAndDestroy || m_action == Action::PauseAndResume) {
            m_call->pause();
        }
        if (m_action == Action::PauseAndResume) {
            m_call->resume();
            return;
        }
        m_isDestroyed = true;
        m_call.reset();
        if (m_action == Action::DestroyAndStartNext) {
            m_next = m_client.start(endpoint, {}, ConnectionUse::Pooled,
                                    {.onHead = [](const ResponseHead &) {},
                                     .onData = [](std::string_view) {},
                                     .onEnd = [](CallOutcome) {}});
        }
    }

    Handler m_handler;
    Action m_action;
    EventLoop m_loop;
    Client m_client{m_loop, {}};
    std::unique_ptr<Call> m_call;
    std::unique_ptr<Call> m_next;
    int m_handled = 0;
    int m_handledLate = 0;
    bool m_isDestroyed = false;
};

} // namespace

// Guards against a use of the input buffer, the parser or the handlers after a handler that ends
// its call: the process that read an answer without end crashed (review/1).
TEST_CASE("each handler may end its call while the response goes on")
{
    const Handler handler = GENERATE(Handler::MatchesRequest, Handler::Head, Handler::Data);
    const Action action = GENERATE(Action::Destroy, Action::DestroyAndStartNext,
                                   Action::PauseAndDestroy, Action::PauseAndResume);
    struct Answer
    {
        size_t chunkSize;
        size_t chunks;
        CloseMode closeMode;
    };
    const Answer answer
            = GENERATE(Answer{.chunkSize = 4, .chunks = 3, .closeMode = CloseMode::Keep},
                       Answer{.chunkSize = 1024, .chunks = 4096, .closeMode = CloseMode::Keep},
                       Answer{.chunkSize = 65536, .chunks = 64, .closeMode = CloseMode::Endless});
    const ScriptedTarget target({chunkedAnswer(answer.chunkSize, answer.chunks)}, answer.closeMode);
    SelfEndingCall call(handler, action);
    call.run(target.endpoint(), 50ms);
    CHECK(call.handled() >= 1);
    CHECK(call.handledLate() == 0);
}

} // namespace teaseldrift::http
