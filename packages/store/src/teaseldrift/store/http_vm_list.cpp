#include "teaseldrift/store/http_vm_list.hpp"

#include <string>

#include <nlohmann/json.hpp>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::store {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

VmRecord recordOf(const json &object)
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

/// @return false if the text is no list of VMs
bool parse(const std::string &text, std::vector<VmRecord> &records)
{
    try {
        records.clear();
        for (const json &object : json::parse(text)) {
            if (object.value("state", "live") != "gone") {
                records.push_back(recordOf(object));
            }
        }
        return true;
    } catch (const json::exception &) {
        return false;
    }
}

} // namespace

struct HttpVmList::Native
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

    Native(http::EventLoop &eventLoop, http::Endpoint listEndpoint, Duration callTimeout)
        : loop(eventLoop), endpoint(std::move(listEndpoint)), timeout(callTimeout),
          client(eventLoop, {.connectTimeout = callTimeout, .ioTimeout = callTimeout})
    { }

    void finish(http::CallEnd end);
    bool takeAnswer();
};

bool HttpVmList::Native::takeAnswer()
{
    if (head.status == statusNotModified) {
        return true;
    }
    std::vector<VmRecord> answered;
    if (head.status != statusOk || !parse(body, answered)) {
        return false;
    }
    records = std::move(answered);
    etag = http::findHeader(head.headers, "etag");
    return true;
}

void HttpVmList::Native::finish(http::CallEnd end)
{
    loop.cancelTimer(timer);
    const std::unique_ptr<http::Call> ended = std::move(call);
    const Done callback = std::move(done);
    if (end == http::CallEnd::Complete && takeAnswer()) {
        callback({}, records);
        return;
    }
    callback(std::make_error_code(std::errc::timed_out), {});
}

HttpVmList::HttpVmList(http::EventLoop &loop, http::Endpoint endpoint, Duration timeout)
    : m_native(std::make_unique<Native>(loop, std::move(endpoint), timeout))
{ }

HttpVmList::~HttpVmList()
{
    m_native->loop.cancelTimer(m_native->timer);
}

void HttpVmList::read(std::function<void(std::error_code, const std::vector<VmRecord> &)> done)
{
    Native *native = m_native.get();
    native->loop.cancelTimer(native->timer);
    native->call.reset();
    native->body.clear();
    native->head = {};
    native->done = std::move(done);
    http::Request request{.path = "/vms"};
    if (!native->etag.empty()) {
        request.headers.push_back({"if-none-match", native->etag});
    }
    native->timer = native->loop.startTimer(native->timeout,
                                            [native] { native->finish(http::CallEnd::Broken); });
    native->call = native->client.start(
            native->endpoint, std::move(request), http::ConnectionUse::Fresh,
            {
                    .onHead = [native](const http::ResponseHead &head) { native->head = head; },
                    .onData = [native](std::string_view data) { native->body += data; },
                    .onEnd = [native](http::CallEnd end) { native->finish(end); },
            });
}

} // namespace teaseldrift::store
