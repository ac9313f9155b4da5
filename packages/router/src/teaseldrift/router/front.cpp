#include "teaseldrift/router/front.hpp"

#include <nlohmann/json.hpp>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift::router {

namespace {

using nlohmann::json;

http::Response refusal(schema::ResultCode code)
{
    const schema::ResultInfo &info = schema::describe(code);
    const json body = {{"error",
                        {{"code", static_cast<int>(code)},
                         {"type", schema::metricLabel(code)},
                         {"message", info.message()},
                         {"ran", info.ran() == schema::RAN_NO ? "no" : "unknown"}}}};
    return {
            .status = static_cast<int>(info.http_status()),
            .headers = {{"content-type", "application/json"}},
            .body = body.dump(),
    };
}

/// One request on its way through a target.
struct Relay
{
    std::shared_ptr<http::Exchange> exchange;
    std::unique_ptr<http::Call> call;
};

} // namespace

struct Front::Native
{
    http::EventLoop &loop;
    http::Client client;
    schema::Configuration configuration;
    size_t nextTarget = 0;

    explicit Native(http::EventLoop &eventLoop) : loop(eventLoop), client(eventLoop, {}) { }

    void relay(const std::shared_ptr<http::Exchange> &exchange, const schema::Target &target);
};

void Front::Native::relay(const std::shared_ptr<http::Exchange> &exchange,
                          const schema::Target &target)
{
    std::shared_ptr<Relay> relay = std::make_shared<Relay>();
    relay->exchange = exchange;
    exchange->onGone([relay] { relay->call.reset(); });
    relay->call = client.start(
            {.address = target.address(), .port = static_cast<uint16_t>(target.port())},
            {.method = std::string(exchange->method()),
             .path = std::string(exchange->path()),
             .headers = {{"content-type", "application/json"}},
             .body = std::string(exchange->body())},
            http::ConnectionUse::Pooled,
            {
                    .onHead =
                            [relay](const http::ResponseHead &head) {
                                const std::string_view type
                                        = http::findHeader(head.headers, "content-type");
                                relay->exchange->startStream(head.status,
                                                             {{"content-type", std::string(type)}});
                            },
                    .onData = [relay](std::string_view data) { relay->exchange->write(data); },
                    .onEnd =
                            [relay](http::CallEnd end) {
                                if (end == http::CallEnd::Complete) {
                                    relay->exchange->finish();
                                } else if (end == http::CallEnd::NotSent) {
                                    relay->exchange->respond(refusal(schema::CONNECT_FAILED));
                                } else {
                                    relay->exchange->abort();
                                }
                            },
            });
}

Front::Front(http::EventLoop &loop, const schema::RouterSettings & /*settings*/)
    : m_native(std::make_unique<Native>(loop))
{ }

Front::~Front() = default;

void Front::configure(schema::Configuration configuration)
{
    m_native->configuration = std::move(configuration);
}

void Front::handle(std::shared_ptr<http::Exchange> exchange)
{
    const google::protobuf::RepeatedPtrField<schema::Target> &targets
            = m_native->configuration.targets();
    if (targets.empty()) {
        exchange->respond(refusal(schema::NO_TARGET));
        return;
    }
    m_native->nextTarget = (m_native->nextTarget + 1) % static_cast<size_t>(targets.size());
    m_native->relay(exchange, targets[static_cast<int>(m_native->nextTarget)]);
}

} // namespace teaseldrift::router
