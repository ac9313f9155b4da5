#include "teaseldrift/ctl/vm_admin.hpp"

#include <memory>

#include <nlohmann/json.hpp>

#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::ctl {

namespace {

using nlohmann::json;

constexpr Duration requestTimeout = 2s;

uint64_t numberField(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    if (found->is_string()) {
        return std::strtoull(found->get<std::string>().c_str(), nullptr, 10);
    }
    return found->is_number() ? found->get<uint64_t>() : 0;
}

bool boolField(const json &object, const char *name, bool fallback)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() ? found->get<bool>() : fallback;
}

size_t sizeField(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    return found->is_array() || found->is_object() ? found->size() : numberField(object, name);
}

} // namespace

std::vector<VmResponse> queryVms(std::span<const http::Endpoint> vms, std::string_view adminToken,
                                 const http::Request &request)
{
    http::EventLoop loop;
    http::Client client(loop, {.connectTimeout = requestTimeout, .ioTimeout = requestTimeout});
    std::vector<VmResponse> responses(vms.size());
    std::vector<std::unique_ptr<http::Call>> calls;
    size_t open = vms.size();
    for (size_t i = 0; i < vms.size(); ++i) {
        VmResponse &response = responses[i];
        response.vm = vms[i];
        response.sentAt = http::EventLoop::now();
        http::Request vmRequest = request;
        if (!adminToken.empty()) {
            vmRequest.headers.push_back({"authorization", "Bearer " + std::string(adminToken)});
        }
        calls.push_back(client.start(
                vms[i], std::move(vmRequest), http::ConnectionUse::Fresh,
                {
                        .onHead =
                                [&response](const http::ResponseHead &head) {
                                    response.status = head.status;
                                },
                        .onData = [&response](std::string_view data) { response.body += data; },
                        .onEnd =
                                [&response, &open, &loop](http::CallOutcome end) {
                                    response.reached = end == http::CallOutcome::Complete;
                                    response.receivedAt = http::EventLoop::now();
                                    if (--open == 0) {
                                        loop.stop();
                                    }
                                },
                }));
    }
    if (open > 0) {
        loop.run();
    }
    return responses;
}

bool parseStatus(std::string_view body, VmStatus &status)
{
    const json parsed = parseJson(body);
    if (!parsed.is_object()) {
        return false;
    }
    status.vmId = parsed.contains("vm_id") && parsed["vm_id"].is_string()
                          ? parsed["vm_id"].get<std::string>()
                          : "";
    status.incarnation = numberField(parsed, "incarnation");
    status.revision = numberField(parsed, "revision");
    status.configurationCurrent = boolField(parsed, "configuration_current", false);
    status.leaving = boolField(parsed, "leaving", false);
    status.canVote = boolField(parsed, "votes", status.configurationCurrent);
    status.knownVms = numberField(parsed, "known_vms");
    status.targets = sizeField(parsed, "targets");
    status.organisations = sizeField(parsed, "organisations");
    return true;
}

} // namespace teaseldrift::ctl
