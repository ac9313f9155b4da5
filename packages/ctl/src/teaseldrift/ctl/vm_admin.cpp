#include "teaseldrift/ctl/vm_admin.hpp"

#include <memory>

#include <nlohmann/json.hpp>

#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::ctl {

namespace {

using nlohmann::json;

constexpr Duration longestAnswer = 2s;

uint64_t numberOf(const json &object, const char *name)
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

bool flagOf(const json &object, const char *name, bool otherwise)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() ? found->get<bool>() : otherwise;
}

size_t sizeOf(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    return found->is_array() || found->is_object() ? found->size() : numberOf(object, name);
}

} // namespace

std::vector<VmAnswer> askVms(std::span<const http::Endpoint> vms, std::string_view adminToken,
                             const http::Request &request)
{
    http::EventLoop loop;
    http::Client client(loop, {.connectTimeout = longestAnswer, .ioTimeout = longestAnswer});
    std::vector<VmAnswer> answers(vms.size());
    std::vector<std::unique_ptr<http::Call>> calls;
    size_t open = vms.size();
    for (size_t i = 0; i < vms.size(); ++i) {
        VmAnswer &answer = answers[i];
        answer.vm = vms[i];
        answer.sentAt = http::EventLoop::now();
        http::Request own = request;
        if (!adminToken.empty()) {
            own.headers.push_back({"authorization", "Bearer " + std::string(adminToken)});
        }
        calls.push_back(client.start(
                vms[i], std::move(own), http::ConnectionUse::Fresh,
                {
                        .onHead
                        = [&answer](
                                  const http::ResponseHead &head) { answer.status = head.status; },
                        .onData = [&answer](std::string_view data) { answer.body += data; },
                        .onEnd =
                                [&answer, &open, &loop](http::CallEnd end) {
                                    answer.reached = end == http::CallEnd::Complete;
                                    answer.receivedAt = http::EventLoop::now();
                                    if (--open == 0) {
                                        loop.stop();
                                    }
                                },
                }));
    }
    if (open > 0) {
        loop.run();
    }
    return answers;
}

bool parseStatus(std::string_view body, VmStatus &status)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return false;
    }
    status.vmId = parsed.contains("vm_id") && parsed["vm_id"].is_string()
                          ? parsed["vm_id"].get<std::string>()
                          : "";
    status.incarnation = numberOf(parsed, "incarnation");
    status.revision = numberOf(parsed, "revision");
    status.configurationCurrent = flagOf(parsed, "configuration_current", false);
    status.leaving = flagOf(parsed, "leaving", false);
    status.votes = flagOf(parsed, "votes", status.configurationCurrent);
    status.knownVms = numberOf(parsed, "known_vms");
    status.targets = sizeOf(parsed, "targets");
    status.organisations = sizeOf(parsed, "organisations");
    return true;
}

} // namespace teaseldrift::ctl
