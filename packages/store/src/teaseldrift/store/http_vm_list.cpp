#include "teaseldrift/store/http_vm_list.hpp"

#include <limits>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::store {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

/// @return none if the entry is odd
std::optional<VmRecord> readRecord(const json &object)
{
    const auto isPort = [&object](const char *name) {
        const auto port = object.find(name);
        return port == object.end()
               || (port->is_number_unsigned()
                   && port->get<uint64_t>() <= std::numeric_limits<uint16_t>::max());
    };
    const auto isText = [&object](const char *name) {
        const auto text = object.find(name);
        return text == object.end() || text->is_string();
    };
    const bool isTarget = object.is_object() && object.contains("is_target")
                          && object["is_target"].is_boolean() && object["is_target"].get<bool>();
    if (!object.is_object() || textField(object, "id").empty()
        || textField(object, "address").empty() || !isPort("caller_port") || !isPort("peer_port")
        || !isText("zone") || !isText("state")) {
        return std::nullopt;
    }
    const std::string state = textField(object, "state");
    return VmRecord{
            .id = textField(object, "id"),
            .address = textField(object, "address"),
            .callerPort = unsignedField<uint16_t>(object, "caller_port"),
            .peerPort = unsignedField<uint16_t>(object, "peer_port"),
            .availabilityZone = textField(object, "zone"),
            .state = state.empty() || state == "live" ? VmState::Live : VmState::Leaving,
            .isTarget = isTarget,
    };
}

/// Parses the valid entries of a list of VMs; others name no VM.
/// @return false if the text is not a list
bool parse(std::string_view text, std::vector<VmRecord> &records)
{
    const json list = parseJson(text);
    records.clear();
    if (!list.is_array()) {
        return false;
    }
    for (const json &object : list) {
        const std::optional<VmRecord> record = readRecord(object);
        if (record && textField(object, "state") != "gone") {
            records.push_back(*record);
        }
    }
    return true;
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
