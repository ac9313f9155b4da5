#include "processes/fleet_fixture.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "teaseldrift/configuration/documents.hpp"
#include "teaseldrift/keys/key.hpp"
#include "teaseldrift/store/etcd_store.hpp"

namespace teaseldrift::testing {

namespace {

using nlohmann::json;

constexpr std::string_view storePrefix = "/teaseldrift/";
constexpr std::array<const char *, 3> zones{"colombo-a", "gampaha-b", "kalutara-c"};

std::string programPath(const std::string &name)
{
    const std::string folder = TEASELDRIFT_BUILD_DIR;
    return name == "teaseldriftd" ? folder + "/packages/router/teaseldriftd"
                                  : folder + "/testing/standin-" + name;
}

/// Starts a program by a shell that limits its descriptors; it gets the limits as settings, too.
void limitProgram(const VmLimits &limits, std::string &program, std::vector<std::string> &arguments)
{
    const std::string descriptors = std::to_string(limits.descriptors);
    // Settings in the environment that the program does not have are ignored.
    const std::string command = "ulimit -n " + descriptors + " && TEASELDRIFT_MEMORY_MB="
                                + std::to_string(limits.memoryMb) + " TEASELDRIFT_MAX_DESCRIPTORS="
                                + descriptors + " exec \"$0\" \"$@\"";
    arguments.insert(arguments.begin(), {"-c", command, program});
    program = "/bin/sh";
}

http::Endpoint loopback(uint16_t port)
{
    return {.address = "127.0.0.1", .port = port};
}

} // namespace

FleetFixture::FleetProcess FleetFixture::launch(const std::string &id, const std::string &program,
                                                std::vector<std::string> arguments, uint16_t port)
{
    FleetProcess member{.id = id, .port = port};
    member.program = programPath(program);
    member.arguments = std::move(arguments);
    member.process = Process(member.program, member.arguments);
    return member;
}

FleetFixture::FleetFixture(const FleetOptions &options) : m_options(options)
{
    startPlatform();
    startTargets();
    configure();
    startVms();
    for (size_t i = 0; i < m_vms.size(); ++i) {
        if (!waitReady(i)) {
            throw std::runtime_error("VM " + m_vms[i].id + " did not become ready");
        }
    }
}

uint16_t FleetFixture::reservePort()
{
    return m_ports.emplace_back().number();
}

void FleetFixture::startPlatform()
{
    const uint16_t storePort = reservePort();
    m_store = launch("store", "store", {"--port", std::to_string(storePort)}, storePort);
    const uint16_t listPort = reservePort();
    m_vmList = launch("list", "vm_list", {"--port", std::to_string(listPort)}, listPort);
    waitListening(loopback(storePort));
    waitListening(loopback(listPort));
}

void FleetFixture::startTargets()
{
    for (size_t i = 0; i < m_options.engines; ++i) {
        const uint16_t port = reservePort();
        std::vector<std::string> arguments{"--port", std::to_string(port)};
        arguments.insert(arguments.end(), m_options.engineArguments.begin(),
                         m_options.engineArguments.end());
        m_engines.push_back(launch("engine-" + std::to_string(i), "engine", arguments, port));
        waitListening(loopback(port));
    }
    for (size_t i = 0; i < m_options.plainServices; ++i) {
        const uint16_t port = reservePort();
        m_services.push_back(launch("returns-" + std::to_string(i), "plain_service",
                                    {"--port", std::to_string(port)}, port));
        waitListening(loopback(port));
    }
}

void FleetFixture::startVms()
{
    for (size_t i = 0; i < m_options.vms; ++i) {
        const uint16_t port = reservePort();
        const uint16_t peerPort = reservePort();
        const std::string id = "vm-" + std::to_string(i);
        std::vector<std::string> arguments{
                "--vm-id",
                id,
                "--availability-zone",
                zones[i % zones.size()],
                "--caller-port",
                std::to_string(port),
                "--peer-port",
                std::to_string(peerPort),
                "--store-address",
                "127.0.0.1:" + std::to_string(m_store.port),
                "--vm-list-address",
                "127.0.0.1:" + std::to_string(m_vmList.port),
                "--admin-token",
                "admin",
        };
        arguments.insert(arguments.end(), m_options.vmArguments.begin(),
                         m_options.vmArguments.end());
        std::string program = programPath("teaseldriftd");
        if (m_options.vmLimits) {
            limitProgram(*m_options.vmLimits, program, arguments);
        }
        m_vms.push_back({.id = id,
                         .port = port,
                         .peerPort = peerPort,
                         .arguments = arguments,
                         .program = program});
    }
    publishVms();
    for (FleetProcess &member : m_vms) {
        member.process = Process(member.program, member.arguments);
    }
}

void FleetFixture::configure()
{
    const std::array<uint8_t, keyRandomBytes> randomBytes{1, 2, 3, 4, 5, 6, 7, 8};
    const NewKey created = createKey(randomBytes, 0);
    m_key = created.text;
    schema::Configuration configuration;
    schema::FleetDocument &fleet = *configuration.mutable_fleet();
    fleet.mutable_defaults()->set_entry_lifetime_ms(m_options.entryLifetimeMs);
    fleet.mutable_defaults()->set_progress_timeout_ms(m_options.progressTimeoutMs);
    fleet.add_models()->set_name("estimator");
    schema::Route &returns = *fleet.add_routes();
    returns.set_path_prefix("/returns");
    returns.set_route_class(schema::NON_IDEMPOTENT);
    returns.set_service("returns");
    schema::Route &open = *fleet.add_routes();
    open.set_path_prefix("/public");
    open.set_service("returns");
    open.set_open(true);
    m_organisation.set_name("acreage");
    m_organisation.set_rate_tokens_per_s(m_options.rateTokensPerS);
    m_organisation.set_burst_tokens(m_options.burstTokens);
    *m_organisation.add_keys() = created.record;
    *configuration.add_organisations() = m_organisation;
    for (const FleetProcess &member : m_engines) {
        schema::Target &target = *configuration.add_targets();
        target.set_id(member.id);
        target.set_address("127.0.0.1");
        target.set_port(member.port);
        target.add_models("estimator");
    }
    for (const FleetProcess &member : m_services) {
        schema::Target &target = *configuration.add_targets();
        target.set_id(member.id);
        target.set_address("127.0.0.1");
        target.set_port(member.port);
        target.set_kind(schema::PLAIN_SERVICE);
        target.set_service("returns");
    }
    for (const NamedDocument &named : toDocuments(configuration)) {
        put(named.document);
    }
}

void FleetFixture::put(const schema::Document &document)
{
    store::EtcdStore etcd(caller.loop(), store());
    const std::string key = std::string(storePrefix) + std::string(configurationKeySegment)
                            + documentName(document);
    bool done = false;
    etcd.readPrefix(key, [&](std::error_code, const store::StoreSnapshot &snapshot) {
        uint64_t revision = 0;
        for (const store::StoreEntry &entry : snapshot.entries) {
            revision = entry.key == key ? entry.revision : revision;
        }
        const store::StoreWrite write{
                .key = key, .value = document.SerializeAsString(), .expectedRevision = revision};
        etcd.write({&write, 1}, [&done](store::StoreWriteResult result) {
            done = result.outcome == store::StoreOutcome::Written;
        });
    });
    if (!caller.waitFor([&done] { return done; })) {
        throw std::runtime_error("cannot write " + key + " to the store");
    }
}

void FleetFixture::withdrawKey()
{
    schema::Document document;
    *document.mutable_organisation() = m_organisation;
    document.mutable_organisation()->clear_keys();
    put(document);
}

void FleetFixture::publishVms(const std::vector<std::string> &leavingTargets)
{
    json list = json::array();
    for (size_t i = 0; i < m_vms.size(); ++i) {
        list.push_back({{"id", m_vms[i].id},
                        {"address", "127.0.0.1"},
                        {"caller_port", m_vms[i].port},
                        {"peer_port", m_vms[i].peerPort},
                        {"zone", zones[i % zones.size()]},
                        {"state", "live"},
                        {"is_target", false}});
    }
    for (const FleetProcess &member : m_engines) {
        const bool leaving = std::find(leavingTargets.begin(), leavingTargets.end(), member.id)
                             != leavingTargets.end();
        list.push_back({{"id", member.id},
                        {"address", "127.0.0.1"},
                        {"caller_port", member.port},
                        {"peer_port", 0},
                        {"zone", zones[0]},
                        {"state", leaving ? "leaving" : "live"},
                        {"is_target", true}});
    }
    caller.fetch(loopback(m_vmList.port), {.method = "PUT", .path = "/vms", .body = list.dump()});
}

void FleetFixture::waitListening(const http::Endpoint &endpoint)
{
    bool listens = false;
    while (!listens) {
        listens = caller.fetch(endpoint, {.path = "/health"}).ended
                  && caller.fetch(endpoint, {.path = "/health"}).end == http::CallOutcome::Complete;
    }
}

bool FleetFixture::waitReady(size_t index, Duration timeout)
{
    const Instant deadline = http::EventLoop::now() + timeout;
    while (http::EventLoop::now() < deadline) {
        if (caller.fetch(vm(index), {.path = "/readyz"}).status == 200) {
            return true;
        }
        caller.waitFor([] { return false; }, 20ms);
    }
    return false;
}

void FleetFixture::restartVm(size_t index)
{
    FleetProcess &member = m_vms.at(index);
    member.process = Process(member.program, member.arguments);
}

void FleetFixture::restartEngine(size_t index)
{
    FleetProcess &member = m_engines.at(index);
    member.process = Process(member.program, member.arguments);
    waitListening(loopback(member.port));
}

http::Endpoint FleetFixture::vm(size_t index) const
{
    return loopback(m_vms.at(index).port);
}

http::Endpoint FleetFixture::engine(size_t index) const
{
    return loopback(m_engines.at(index).port);
}

http::Endpoint FleetFixture::plainService(size_t index) const
{
    return loopback(m_services.at(index).port);
}

http::Endpoint FleetFixture::store() const
{
    return loopback(m_store.port);
}

http::Request FleetFixture::completion(const std::string &prompt, uint32_t maxTokens) const
{
    const json body = {{"model", "estimator"},
                       {"prompt", prompt},
                       {"max_tokens", maxTokens},
                       {"stream", true}};
    return {.method = "POST",
            .path = "/v1/completions",
            .headers = {{"authorization", "Bearer " + m_key}},
            .body = body.dump()};
}

http::Request FleetFixture::call(const std::string &callId) const
{
    return {.method = "POST",
            .path = "/returns/file",
            .headers = {{"authorization", "Bearer " + m_key}, {"x-call-id", callId}},
            .body = "{\"plot\":7}"};
}

size_t FleetFixture::runCount(const std::string &callId)
{
    size_t runs = 0;
    for (size_t i = 0; i < m_services.size(); ++i) {
        const ReceivedResponse response = caller.fetch(plainService(i), {.path = "/runs"});
        const json parsed = json::parse(response.body, nullptr, false);
        runs += parsed.value("by_call", json::object()).value(callId, 0U);
    }
    return runs;
}

void FleetFixture::setFault(const http::Endpoint &endpoint, const std::string &mode)
{
    const json body = {{"mode", mode}};
    caller.fetch(endpoint, {.method = "POST", .path = "/fault", .body = body.dump()}, 1s);
}

std::vector<std::string> splitEvents(const std::string &body)
{
    std::vector<std::string> events;
    size_t begin = 0;
    while (begin < body.size()) {
        const size_t end = body.find("\n\n", begin);
        if (end == std::string::npos) {
            break;
        }
        events.push_back(body.substr(begin, end - begin));
        begin = end + 2;
    }
    return events;
}

bool isCompleteStream(const ReceivedResponse &response, uint32_t tokens)
{
    const std::vector<std::string> events = splitEvents(response.body);
    uint32_t next = 0;
    for (const std::string &event : events) {
        const std::string expected = "id: " + std::to_string(next) + "\n";
        next += event.starts_with(expected) ? 1 : 0;
    }
    return response.isComplete() && next == tokens && !events.empty()
           && events.back() == "data: [DONE]";
}

} // namespace teaseldrift::testing
