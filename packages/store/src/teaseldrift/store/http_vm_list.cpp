#include "teaseldrift/store/http_vm_list.hpp"

#include <string>

#include <nlohmann/json.hpp>

#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::store {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

VmRecord toRecord(const json &object)
{
    return {
            .id = object.at("id").get<std::string>(),
            .address = object.at("address").get<std::string>(),
            .callerPort = object.value("caller_port", uint16_t(0)),
            .peerPort = object.value("peer_port", uint16_t(0)),
            .availabilityZone = object.value("zone", ""),
            .state = object.value("state", "live") == "live" ? VmState::Live : VmState::Leaving,
            .isTarget = object.value("is_target", false),
    };
}

/// @return false if the text is not a valid list of VMs
bool parse(const std::string &text, std::vector<VmRecord> &records)
{
    try {
        records.clear();
        for (const json &object : json::parse(text)) {
            if (object.value("state", "live") != "gone") {
                records.push_back(toRecord(object));
            }
        }
        return true;
    } catch (const json::exception &) {
        return false;
    }
}

} // namespace

struct HttpVmList::Impl
{
    using Done = std::function<void(std::error_code, const std::vector<VmRecord> &)>;

    http::EventLoop &loop;
    http::Endpoint endpoint;
    Duration timeout;
    http::Client client;
    std::vector<VmRecord> records;
    std::string etag;
    std::unique_ptr<http::Call> call;
    http::EventLoop::TimerId timer = 0;
    http::ResponseHead head;
    std::string body;
    Done done;

    Impl(http::EventLoop &eventLoop, http::Endpoint listEndpoint, Duration callTimeout)
        : loop(eventLoop), endpoint(std::move(listEndpoint)), timeout(callTimeout),
          client(eventLoop, {.connectTimeout = callTimeout, .ioTimeout = callTimeout})
    { }

    void finish(http::CallOutcome end);
    bool applyResponse();
};

bool HttpVmList::Impl::applyResponse()
{
    if (head.status == statusNotModified) {
        return true;
    }
    std::vector<VmRecord> received;
    if (head.status != statusOk || !parse(body, received)) {
        return false;
    }
    records = std::move(received);
    etag = http::findHeader(head.headers, "etag");
    return true;
}

void HttpVmList::Impl::finish(http::CallOutcome end)
{
    loop.cancelTimer(timer);
    const std::unique_ptr<http::Call> ended = std::move(call);
    const Done callback = std::move(done);
    if (end == http::CallOutcome::Complete && applyResponse()) {
        callback({}, records);
        return;
    }
    callback(std::make_error_code(std::errc::timed_out), {});
}

HttpVmList::HttpVmList(http::EventLoop &loop, http::Endpoint endpoint, Duration timeout)
    : m_impl(std::make_unique<Impl>(loop, std::move(endpoint), timeout))
{ }

HttpVmList::~HttpVmList()
{
    m_impl->loop.cancelTimer(m_impl->timer);
}

void HttpVmList::read(std::function<void(std::error_code, const std::vector<VmRecord> &)> done)
{
    Impl *impl = m_impl.get();
    impl->loop.cancelTimer(impl->timer);
    impl->call.reset();
    impl->body.clear();
    impl->head = {};
    impl->done = std::move(done);
    http::Request request{.path = "/vms",
                          .maxResponseBytes = http::BufferedClient::defaultMaxResponseBytes};
    if (!impl->etag.empty()) {
        request.headers.push_back({"if-none-match", impl->etag});
    }
    impl->timer = impl->loop.startTimer(impl->timeout,
                                        [impl] { impl->finish(http::CallOutcome::Broken); });
    impl->call = impl->client.start(
            impl->endpoint, std::move(request), http::ConnectionUse::Fresh,
            {
                    .onHead = [impl](const http::ResponseHead &head) { impl->head = head; },
                    .onData = [impl](std::string_view data) { impl->body += data; },
                    .onEnd = [impl](http::CallOutcome end) { impl->finish(end); },
            });
}

} // namespace teaseldrift::store
