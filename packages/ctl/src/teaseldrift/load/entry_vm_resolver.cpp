#include "teaseldrift/load/entry_vm_resolver.hpp"

#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::load {

namespace {

using nlohmann::json;

/// Accepts "IP:port" and {"address": "IP:port"} or {"address": "IP", "port": N}.
void addVm(const json &entry, std::vector<http::Endpoint> &vms)
{
    std::string text = entry.is_string() ? entry.get<std::string>() : "";
    if (entry.is_object()) {
        text = entry.value("address", "");
        if (entry.contains("port")) {
            text += ":" + std::to_string(entry.value("port", 0));
        }
    }
    http::Endpoint endpoint;
    if (http::parseEndpoint(text, endpoint)) {
        vms.push_back(endpoint);
    }
}

} // namespace

EntryResponse parseEntry(std::string_view body)
{
    EntryResponse response;
    const json parsed = parseJson(body);
    if (!parsed.is_object()) {
        return response;
    }
    for (const char *name : {"addresses", "entries", "vms"}) {
        if (parsed.contains(name) && parsed[name].is_array()) {
            for (const json &entry : parsed[name]) {
                addVm(entry, response.vms);
            }
        }
    }
    const auto lifetime = parsed.find("lifetime_ms");
    if (lifetime != parsed.end() && lifetime->is_number_unsigned()) {
        response.lifetime = std::chrono::milliseconds(lifetime->get<uint32_t>());
    }
    return response;
}

struct EntryVmResolver::Impl
{
    http::EventLoop &loop;
    http::Client &client;
    std::vector<http::Endpoint> configuredVms;
    std::vector<http::Endpoint> vms;
    std::string key;
    std::unique_ptr<http::Call> call;
    std::string body;
    std::function<void()> onReady;
    http::EventLoop::TimerId timer = 0;
    uint64_t queryCount = 0;

    void query();
    void onResponse(http::CallOutcome end);
};

void EntryVmResolver::Impl::query()
{
    body.clear();
    http::Request request{.path = "/v1/entry"};
    if (!key.empty()) {
        request.headers.push_back({"authorization", "Bearer " + key});
    }
    const http::Endpoint &vm = configuredVms[queryCount++ % configuredVms.size()];
    call = client.start(vm, std::move(request), http::ConnectionUse::Fresh,
                        {
                                .onHead = [](const http::ResponseHead &) {},
                                .onData = [this](std::string_view data) { body += data; },
                                .onEnd = [this](http::CallOutcome end) { onResponse(end); },
                        });
}

void EntryVmResolver::Impl::onResponse(http::CallOutcome end)
{
    constexpr Duration retryAfterFailure = 200ms;
    const EntryResponse response
            = end == http::CallOutcome::Complete ? parseEntry(body) : EntryResponse();
    if (!response.vms.empty()) {
        vms = response.vms;
    }
    const Duration wait = response.vms.empty() ? retryAfterFailure : response.lifetime;
    timer = loop.startTimer(wait, [this] { query(); });
    const bool allQueried = queryCount >= configuredVms.size();
    if (onReady && (!response.vms.empty() || allQueried)) {
        const std::function<void()> ready = std::move(onReady);
        onReady = nullptr;
        ready();
    }
}

EntryVmResolver::EntryVmResolver(http::EventLoop &loop, http::Client &client,
                                 std::vector<http::Endpoint> configuredVms, std::string key)
    : m_impl(new Impl{.loop = loop,
                      .client = client,
                      .configuredVms = configuredVms,
                      .vms = configuredVms,
                      .key = std::move(key),
                      .call = nullptr,
                      .body = "",
                      .onReady = nullptr})
{ }

EntryVmResolver::~EntryVmResolver()
{
    m_impl->loop.cancelTimer(m_impl->timer);
}

void EntryVmResolver::startRefreshing(std::function<void()> onReady)
{
    m_impl->onReady = std::move(onReady);
    m_impl->query();
}

const http::Endpoint &EntryVmResolver::select(uint64_t request, uint32_t attempt) const
{
    // After two attempts at VMs from /v1/entry, falls back to the configured VMs.
    constexpr uint32_t attemptsAtEntryVms = 2;
    const std::vector<http::Endpoint> &vms
            = attempt < attemptsAtEntryVms ? m_impl->vms : m_impl->configuredVms;
    return vms[(request + attempt) % vms.size()];
}

} // namespace teaseldrift::load
