#include "teaseldrift/load/entry_book.hpp"

#include <nlohmann/json.hpp>

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

EntryAnswer parseEntry(std::string_view body)
{
    EntryAnswer answer;
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return answer;
    }
    for (const char *name : {"addresses", "entries", "vms"}) {
        if (parsed.contains(name) && parsed[name].is_array()) {
            for (const json &entry : parsed[name]) {
                addVm(entry, answer.vms);
            }
        }
    }
    const auto lifetime = parsed.find("lifetime_ms");
    if (lifetime != parsed.end() && lifetime->is_number_unsigned()) {
        answer.lifetime = std::chrono::milliseconds(lifetime->get<uint32_t>());
    }
    return answer;
}

struct EntryBook::Impl
{
    http::EventLoop &loop;
    http::Client &client;
    std::vector<http::Endpoint> known;
    std::vector<http::Endpoint> vms;
    std::string key;
    std::unique_ptr<http::Call> call;
    std::string body;
    std::function<void()> onFirst;
    http::EventLoop::TimerId timer = 0;
    uint64_t asked = 0;

    void ask();
    void answered(http::CallEnd end);
};

void EntryBook::Impl::ask()
{
    body.clear();
    http::Request request{.path = "/v1/entry"};
    if (!key.empty()) {
        request.headers.push_back({"authorization", "Bearer " + key});
    }
    const http::Endpoint &vm = known[asked++ % known.size()];
    call = client.start(vm, std::move(request), http::ConnectionUse::Fresh,
                        {
                                .onHead = [](const http::ResponseHead &) {},
                                .onData = [this](std::string_view data) { body += data; },
                                .onEnd = [this](http::CallEnd end) { answered(end); },
                        });
}

void EntryBook::Impl::answered(http::CallEnd end)
{
    constexpr Duration retryAfterFailure = 200ms;
    const EntryAnswer answer = end == http::CallEnd::Complete ? parseEntry(body) : EntryAnswer();
    if (!answer.vms.empty()) {
        vms = answer.vms;
    }
    const Duration wait = answer.vms.empty() ? retryAfterFailure : answer.lifetime;
    timer = loop.startTimer(wait, [this] { ask(); });
    const bool isLastResort = asked >= known.size();
    if (onFirst && (!answer.vms.empty() || isLastResort)) {
        const std::function<void()> ready = std::move(onFirst);
        onFirst = nullptr;
        ready();
    }
}

EntryBook::EntryBook(http::EventLoop &loop, http::Client &client, std::vector<http::Endpoint> known,
                     std::string key)
    : m_impl(new Impl{.loop = loop,
                          .client = client,
                          .known = known,
                          .vms = known,
                          .key = std::move(key),
                          .call = nullptr,
                          .body = "",
                          .onFirst = nullptr})
{ }

EntryBook::~EntryBook()
{
    m_impl->loop.cancelTimer(m_impl->timer);
}

void EntryBook::keepAsking(std::function<void()> onFirst)
{
    m_impl->onFirst = std::move(onFirst);
    m_impl->ask();
}

const http::Endpoint &EntryBook::choose(uint64_t request, uint32_t attempt) const
{
    // After two tries at the VMs that the system named, any known VM will do.
    constexpr uint32_t triesAtNamed = 2;
    const std::vector<http::Endpoint> &vms
            = attempt < triesAtNamed ? m_impl->vms : m_impl->known;
    return vms[(request + attempt) % vms.size()];
}

} // namespace teaseldrift::load
