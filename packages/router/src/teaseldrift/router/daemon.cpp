#include "teaseldrift/router/daemon.hpp"

#include <algorithm>
#include <optional>
#include <set>

#include "process_limits.hpp"
#include "teaseldrift/configuration/settings_lookup.hpp"
#include "teaseldrift/fleet/configuration_task.hpp"
#include "teaseldrift/fleet/peer_network.hpp"
#include "teaseldrift/http/buffer_budget.hpp"
#include "teaseldrift/http/connection_limiter.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/router/allowance_task.hpp"
#include "teaseldrift/router/claim_task.hpp"
#include "teaseldrift/router/entry_vm_selector.hpp"
#include "teaseldrift/router/frontend.hpp"
#include "teaseldrift/router/quarantine_task.hpp"
#include "teaseldrift/router/router_metrics.hpp"
#include "teaseldrift/router/target_permits.hpp"
#include "teaseldrift/router/target_poller.hpp"
#include "teaseldrift/router/target_pool.hpp"
#include "teaseldrift/store/etcd_store.hpp"
#include "teaseldrift/store/http_vm_list.hpp"
#include "teaseldrift/telemetry/log.hpp"

namespace teaseldrift::router {

namespace {

constexpr Duration drainPollInterval = 20ms;
constexpr Duration memberPollInterval = 250ms;
/// Time for the last responses to be transmitted after all requests have ended.
constexpr Duration flushTime = 200ms;

http::Headers resultHeaders(int status)
{
    constexpr int badRequest = 400;
    constexpr int bodyTooLarge = 413;
    if (status == bodyTooLarge) {
        return {{"x-teaseldrift-result", std::to_string(schema::BODY_TOO_LARGE)},
                {"x-teaseldrift-ran", "no"}};
    }
    if (status == badRequest) {
        return {{"x-teaseldrift-result", std::to_string(schema::HEADER_REFUSED)},
                {"x-teaseldrift-ran", "no"}};
    }
    return {};
}

http::ServerOptions serverOptions(const schema::RouterSettings &settings,
                                  http::BufferBudget &buffers, http::ConnectionLimiter &limiter)
{
    return {
            .endpoint = {.address = settings.caller_address(),
                         .port = static_cast<uint16_t>(settings.caller_port())},
            .maxBodyBytes = settings.max_body_bytes(),
            .requestTimeout = std::chrono::milliseconds(settings.caller_idle_ms()),
            .certificateFile = settings.tls_certificate_file(),
            .keyFile = settings.tls_key_file(),
            .errorHeaders = resultHeaders,
            .buffers = &buffers,
            .limiter = &limiter,
            .name = "callers",
            .maxConnections = maxCallerConnections(processResources(settings)),
            .bodyCopies = callerBodyCopies,
    };
}

fleet::PeerNetworkOptions peerOptions(const schema::RouterSettings &settings, uint64_t incarnation)
{
    return {
            .vmId = settings.vm_id(),
            .incarnation = incarnation,
            .endpoint = {.address = settings.peer_address(),
                         .port = static_cast<uint16_t>(settings.peer_port())},
            .publicKey = settings.peer_public_key(),
            .secretKey = settings.peer_secret_key(),
    };
}

http::Endpoint endpointOf(const std::string &text)
{
    http::Endpoint endpoint;
    http::parseEndpoint(text, endpoint);
    return endpoint;
}

} // namespace

struct Daemon::Impl
{
    using ConfigurationTask = fleet::ConfigurationTask<store::EtcdStore, store::HttpVmList>;

    schema::RouterSettings settings;
    DaemonIdentity identity;
    /// Outlives the tasks that the event loop holds.
    http::BufferBudget buffers;
    http::EventLoop loop;
    http::ConnectionLimiter limiter;
    RouterMetrics metrics;
    store::EtcdStore store;
    store::HttpVmList vmList;
    fleet::PeerNetwork peers;
    TargetPool targets;
    EntryVmSelector entrySelector;
    AllowanceTask allowance;
    ClaimTask claims;
    QuarantineTask quarantine;
    TargetPermits permits;
    Frontend frontend;
    http::Server server;
    std::optional<TargetPoller> poller;
    std::optional<ConfigurationTask> configuration;
    std::shared_ptr<const RoutingTable> table;
    bool shuttingDown = false;
    bool requestsAborted = false;
    Instant shutdownDeadline{};
    Instant limitedSecond{};
    size_t limitedLines = 0;

    Impl(schema::RouterSettings daemonSettings, DaemonIdentity daemonIdentity)
        : settings(std::move(daemonSettings)), identity(daemonIdentity),
          buffers(settings.buffer_budget_bytes()),
          limiter(loop, connectionLimits(settings, processResources(settings)),
                  [this](const http::LimitedConnection &limited) { logLimited(limited); }),
          store(loop, endpointOf(settings.store_address())),
          vmList(loop, endpointOf(settings.vm_list_address())),
          peers(peerOptions(settings, identity.incarnation),
                [this](std::function<void()> message) { loop.post(std::move(message)); }),
          targets(loop, metrics, settings.availability_zone(), identity.seed),
          entrySelector(settings.availability_zone()),
          allowance(loop, store, peers,
                    {.vm = settings.vm_id(), .incarnation = identity.incarnation},
                    settings.store_prefix()),
          claims(loop, store, settings.store_prefix()),
          quarantine(loop, peers, {.vmId = settings.vm_id(), .seed = identity.seed}),
          permits(allowance, metrics.registry()), frontend({.loop = loop,
                                                            .settings = settings,
                                                            .metrics = metrics,
                                                            .targets = targets,
                                                            .allowance = allowance,
                                                            .claims = claims,
                                                            .entrySelector = entrySelector,
                                                            .quarantine = quarantine,
                                                            .permits = permits,
                                                            .buffers = &buffers,
                                                            .limiter = &limiter,
                                                            .seed = identity.seed}),
          server(loop, serverOptions(settings, buffers, limiter),
                 [this](std::shared_ptr<http::Exchange> exchange) {
                     frontend.handle(std::move(exchange));
                 })
    { }

    void logLimited(const http::LimitedConnection &limited);
    void startConfiguration();
    [[nodiscard]] ConfigurationStatus configurationStatus(std::string_view name,
                                                          uint64_t revision) const;
    void onConfiguration(const schema::Configuration &configuration, uint64_t revision);
    void onLiveVms(const std::vector<FleetVm> &live);
    void updateAllowanceVms();
    void pollMembers();
    void countInvalidReport(const InvalidLoadReport &report);
    [[nodiscard]] Duration entryLifetime() const;
    void beginShutdown();
    void closeListener();
    void awaitOpenRequests();
};

/// A client can cause any number of these lines; the metrics count all of them.
void Daemon::Impl::logLimited(const http::LimitedConnection &limited)
{
    constexpr size_t linesPerSecond = 50;
    const Instant now = http::EventLoop::now();
    if (now - limitedSecond >= 1s) {
        limitedSecond = now;
        limitedLines = 0;
    }
    if (++limitedLines > linesPerSecond) {
        return;
    }
    telemetry::log(telemetry::LogLevel::Warn, "connection limited",
                   {{"reason", std::string(toString(limited.reason))},
                    {"address", std::string(limited.address)},
                    {"bytes", std::to_string(limited.bytes)},
                    {"age_ms", std::to_string(limited.age / 1ms)}});
}

void Daemon::Impl::startConfiguration()
{
    fleet::ConfigurationTaskOptions options{
            .vmId = settings.vm_id(),
            .incarnation = identity.incarnation,
            .randomSeed = identity.seed,
            .storePrefix = settings.store_prefix(),
    };
    options.sync.freshnessBound = std::chrono::milliseconds(settings.freshness_bound_ms());
    configuration.emplace(
            loop, store, vmList, peers, std::move(options),
            fleet::ConfigurationHandlers{
                    .onConfiguration
                    = [this](const schema::Configuration &newest,
                             uint64_t revision) { onConfiguration(newest, revision); },
                    .onCurrentUntil
                    = [this](Instant currentUntil) { frontend.setCurrentUntil(currentUntil); },
                    .onLiveVms = [this](const std::vector<FleetVm> &live) { onLiveVms(live); },
                    .onLeavingTargets =
                            [this](const std::vector<std::string> &leaving) {
                                targets.setLeaving(leaving);
                            },
            });
    frontend.setConfigurationAdmin({
            .configurationStatus
            = [this](std::string_view name,
                     uint64_t revision) { return configurationStatus(name, revision); },
            .offer =
                    [this](std::span<const schema::VersionedDocument> documents) {
                        configuration->offer(documents);
                    },
    });
}

ConfigurationStatus Daemon::Impl::configurationStatus(std::string_view name,
                                                      uint64_t revision) const
{
    const ConfigurationSync &sync = configuration->sync();
    return {
            .incarnation = identity.incarnation,
            .holds = sync.replica().holds(name, revision),
            .canVote = sync.canVote(),
            .knownVms = sync.knownVms(),
    };
}

void Daemon::Impl::onConfiguration(const schema::Configuration &newest, uint64_t revision)
{
    table = std::make_shared<const RoutingTable>(newest, revision);
    frontend.configure(table);
    allowance.configure(newest);
    std::set<std::string> targetIds;
    for (const schema::Target &target : newest.targets()) {
        targetIds.insert(target.id());
    }
    permits.retainTargets(targetIds);
    metrics.registry().setGauge({"teaseldrift_configuration_revision"},
                                static_cast<double>(revision));
    telemetry::log(telemetry::LogLevel::Info, "configuration in force",
                   {{"revision", std::to_string(revision)}});
}

void Daemon::Impl::onLiveVms(const std::vector<FleetVm> &live)
{
    std::vector<EntryVm> entryVms;
    std::vector<std::string> vmIds;
    for (const FleetVm &vm : live) {
        vmIds.push_back(vm.listed.id);
        entryVms.push_back(
                {.view = {.id = vm.listed.id, .availabilityZone = vm.listed.availabilityZone},
                 .endpoint = {.address = vm.listed.address, .port = vm.listed.callerPort}});
    }
    targets.setTrafficShare(1.0 / static_cast<double>(std::max<size_t>(1, entryVms.size())));
    entrySelector.setVms(std::move(entryVms));
    quarantine.setVms(std::move(vmIds));
    updateAllowanceVms();
}

/// Passes on all VMs of the platform's list, including unresponsive and leaving ones, because these
/// may hold allowances too.
void Daemon::Impl::updateAllowanceVms()
{
    const std::optional<Instant> listReadAt = configuration->listReadAt();
    if (!listReadAt.has_value()) {
        return;
    }
    const Instant now = http::EventLoop::now();
    std::vector<homes::VmView> views;
    for (const FleetVm &vm : configuration->members().knownVms(now)) {
        views.push_back({.id = vm.listed.id,
                         .availabilityZone = vm.listed.availabilityZone,
                         .leaving = vm.state != MemberState::Live});
    }
    allowance.setVms(views, now - *listReadAt);
}

void Daemon::Impl::pollMembers()
{
    updateAllowanceVms();
    loop.startTimer(memberPollInterval, [this] { pollMembers(); });
}

Duration Daemon::Impl::entryLifetime() const
{
    const schema::FleetDocument none;
    const schema::FleetDocument &fleet = table == nullptr ? none : table->configuration().fleet();
    return std::chrono::milliseconds(effectiveSettings(fleet, "", "", 0).entry_lifetime_ms());
}

void Daemon::Impl::beginShutdown()
{
    if (shuttingDown) {
        return;
    }
    shuttingDown = true;
    shutdownDeadline
            = http::EventLoop::now() + std::chrono::milliseconds(settings.shutdown_deadline_ms());
    telemetry::log(telemetry::LogLevel::Info, "stopping");
    frontend.setLeaving();
    if (configuration.has_value()) {
        configuration->leave();
    }
    // Callers may use /v1/entry responses that contain this VM until these expire.
    loop.startTimer(entryLifetime(), [this] { closeListener(); });
}

void Daemon::Impl::closeListener()
{
    server.stopAccepting();
    awaitOpenRequests();
}

void Daemon::Impl::awaitOpenRequests()
{
    if (frontend.openRequests() == 0 && server.openExchanges() == 0) {
        allowance.drain();
        loop.startTimer(flushTime, [this] { loop.stop(); });
        return;
    }
    if (!requestsAborted && http::EventLoop::now() >= shutdownDeadline) {
        requestsAborted = true;
        telemetry::log(telemetry::LogLevel::Warn, "open requests aborted at shutdown deadline",
                       {{"open", std::to_string(frontend.openRequests())}});
        frontend.drainDeadlineExpired();
        loop.startTimer(flushTime, [this] { loop.stop(); });
        return;
    }
    loop.startTimer(drainPollInterval, [this] { awaitOpenRequests(); });
}

Daemon::Daemon(schema::RouterSettings settings, DaemonIdentity identity)
    : m_impl(std::make_unique<Impl>(std::move(settings), identity))
{ }

Daemon::~Daemon() = default;

std::error_code Daemon::start()
{
    Impl &impl = *m_impl;
    http::Endpoint unused;
    if (!http::parseEndpoint(impl.settings.store_address(), unused)
        || !http::parseEndpoint(impl.settings.vm_list_address(), unused)) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    std::error_code error = impl.server.listen();
    if (error) {
        return error;
    }
    // Message handlers must be registered before the peer network starts.
    impl.targets.setExplanationsEnabled(impl.settings.debug_headers());
    impl.startConfiguration();
    error = impl.peers.start();
    if (error) {
        return error;
    }
    impl.configuration->start();
    impl.pollMembers();
    impl.quarantine.start();
    impl.poller.emplace(
            impl.loop, impl.targets,
            TargetPollerOptions{
                    .onReport =
                            [&impl](const std::string &target, const TargetLoad &report) {
                                impl.permits.setLimit(target, report.requestsPerSecond);
                            },
                    .onInvalidReport =
                            [&impl](const InvalidLoadReport &report) {
                                impl.countInvalidReport(report);
                            }});
    telemetry::log(telemetry::LogLevel::Info, "listening",
                   {{"caller_port", std::to_string(impl.server.port())},
                    {"peer_port", std::to_string(impl.peers.port())}});
    return {};
}

void Daemon::Impl::countInvalidReport(const InvalidLoadReport &report)
{
    const std::string problem(report.problem);
    metrics.registry()
            .counter({"teaseldrift_invalid_load_reports_total", "problem", problem})
            .add();
    if (!report.isRepeated) {
        telemetry::log(telemetry::LogLevel::Warn, "invalid load report",
                       {{"target", std::string(report.target)}, {"problem", problem}});
    }
}

ShutdownOutcome Daemon::run()
{
    m_impl->loop.run();
    return m_impl->requestsAborted ? ShutdownOutcome::RequestsAborted : ShutdownOutcome::Graceful;
}

void Daemon::requestShutdown()
{
    Impl *impl = m_impl.get();
    impl->loop.post([impl] { impl->beginShutdown(); });
}

uint16_t Daemon::callerPort() const
{
    return m_impl->server.port();
}

} // namespace teaseldrift::router
