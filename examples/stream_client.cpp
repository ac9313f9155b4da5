/// A caller: asks an entry VM which VMs to use, streams one chat from the first that can be
/// reached, and prints the events.
///
/// example-stream-client 127.0.0.1:8080 KEY MODEL "Good morning"

#include <iostream>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/load/entry_vm_resolver.hpp"

namespace {

using namespace teaseldrift;

class StreamClient
{
public:
    StreamClient(http::Endpoint entryVm, const std::string &key, std::string body)
        : m_client(m_loop, {}), m_resolver(m_loop, m_client, {std::move(entryVm)}, key),
          m_request{.method = "POST",
                    .path = "/v1/chat/completions",
                    .headers
                    = {{"content-type", "application/json"}, {"authorization", "Bearer " + key}},
                    .body = std::move(body)}
    { }

    /// @return whether the whole answer arrived
    bool run()
    {
        m_resolver.startRefreshing([this] { send(); });
        m_loop.run();
        return m_status == 200 && m_end == http::CallOutcome::Complete;
    }

private:
    http::EventLoop m_loop;
    http::Client m_client;
    load::EntryVmResolver m_resolver;
    http::Request m_request;
    std::unique_ptr<http::Call> m_call;
    int m_status = 0;
    http::CallOutcome m_end = http::CallOutcome::NotSent;
    uint32_t m_tries = 0;

    void send()
    {
        m_call = m_client.start(
                m_resolver.select(0, m_tries++), m_request, http::ConnectionUse::Pooled,
                {
                        .onHead
                        = [this](const http::ResponseHead &head) { m_status = head.status; },
                        .onData = [](std::string_view data) { std::cout << data << std::flush; },
                        .onEnd = [this](http::CallOutcome end) { onEnd(end); },
                });
    }

    void onEnd(http::CallOutcome end)
    {
        constexpr uint32_t maxTries = 3;
        // Nothing was sent, so the request may go to the next VM.
        if (end == http::CallOutcome::NotSent && m_tries < maxTries) {
            send();
            return;
        }
        m_end = end;
        m_loop.stop();
    }
};

} // namespace

int main(int argc, char **argv)
{
    constexpr int argumentCount = 5;
    http::Endpoint entryVm;
    if (argc != argumentCount || !http::parseEndpoint(argv[1], entryVm)) {
        std::cerr << "usage: example-stream-client IP:port KEY MODEL QUESTION\n";
        return 2;
    }
    const nlohmann::json body = {
            {"model", argv[3]},
            {"stream", true},
            {"max_tokens", 64},
            {"messages", {{{"role", "user"}, {"content", argv[4]}}}},
    };
    StreamClient client(entryVm, argv[2], body.dump());
    return client.run() ? 0 : 1;
}
