#include "teaseldrift/relay/request_forwarder.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "forwarding_messages.hpp"

namespace teaseldrift::relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;

/// Bytes buffered for a slow VM before reading from the target is paused.
constexpr size_t maxPendingBytes = 256U << 10U;

} // namespace

struct RequestForwarder::Impl : std::enable_shared_from_this<RequestForwarder::Impl>
{
    struct Forwarding
    {
        std::shared_ptr<http::Exchange> exchange;
        http::Headers requestHeaders;
        std::string target;
        /// Incarnation that is sent the request, see TargetEntry::startedAtMs.
        uint64_t targetStartedAtMs = 0;
        Instant sentAt;
        std::unique_ptr<http::Call> call;

        void write(const schema::ForwardedResponsePart &part)
        {
            std::string bytes;
            appendPart(bytes, part);
            if (exchange->write(bytes) > maxPendingBytes && call) {
                call->pause();
            }
        }
    };

    http::EventLoop &loop;
    http::Client &targets;
    FleetState &fleet;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    RequestForwarderOptions options;
    uint64_t lastForwarding = 0;
    std::map<uint64_t, std::shared_ptr<Forwarding>> forwardings;

    Impl(http::EventLoop &eventLoop, http::Client &targetClient, FleetState &fleetState,
         telemetry::EventLog &eventLog, telemetry::Metrics &registry,
         RequestForwarderOptions forwarderOptions)
        : loop(eventLoop), targets(targetClient), fleet(fleetState), log(eventLog),
          metrics(registry), options(std::move(forwarderOptions))
    { }

    /// @return why the request is not passed on; empty if it is
    [[nodiscard]] std::string_view refusalOf(const schema::ForwardedRequest &message) const;
    void start(const std::shared_ptr<http::Exchange> &exchange,
               const schema::ForwardedRequest &message, const http::Endpoint &endpoint);
    void onHead(uint64_t number, const http::ResponseHead &head);
    void onEnd(uint64_t number, http::CallOutcome outcome);

    /// @return null once it has ended
    std::shared_ptr<Forwarding> find(uint64_t number)
    {
        const auto found = forwardings.find(number);
        return found == forwardings.end() ? nullptr : found->second;
    }
};

RequestForwarder::RequestForwarder(http::EventLoop &loop, http::Client &targets, FleetState &fleet,
                                   telemetry::EventLog &log, telemetry::Metrics &metrics,
                                   RequestForwarderOptions options)
    : m_impl(std::make_shared<Impl>(loop, targets, fleet, log, metrics, std::move(options)))
{ }

RequestForwarder::~RequestForwarder()
{
    for (const std::pair<const uint64_t, std::shared_ptr<Impl::Forwarding>> &entry :
         m_impl->forwardings) {
        entry.second->exchange->abort();
    }
}

size_t RequestForwarder::openRequests() const
{
    return m_impl->forwardings.size();
}

std::string_view RequestForwarder::Impl::refusalOf(const schema::ForwardedRequest &message) const
{
    if (fleet.isLeaving()) {
        return "stopping";
    }
    if (options.wasSuspended && options.wasSuspended()) {
        return "suspended";
    }
    if (forwardings.size() >= options.maxRequests) {
        return "busy";
    }
    const TargetEntry *target = fleet.directory().find(message.target());
    if (target == nullptr || target->isLeaving || target->address != message.target_address()) {
        return "unknown_target";
    }
    const TargetPaths &paths = fleet.targetPaths();
    const bool isCut
            = paths.isCut(message.target_address()) || paths.isVmCutOff(http::EventLoop::now());
    return isCut ? cutOff : "";
}

void RequestForwarder::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    Impl &impl = *m_impl;
    schema::ForwardedRequest message;
    http::Endpoint endpoint;
    const std::string_view body = exchange->body();
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))
        || !http::parseEndpoint(message.target_address(), endpoint)) {
        exchange->respond({.status = statusBadRequest});
        return;
    }
    const std::string_view refusal = impl.refusalOf(message);
    if (!refusal.empty()) {
        impl.metrics.counter({"teaseldrift_forwarded_refused_total", "reason", refusal}).add();
        exchange->respond({.status = statusUnavailable, .body = std::string(refusal)});
        return;
    }
    impl.start(exchange, message, endpoint);
}

void RequestForwarder::Impl::start(const std::shared_ptr<http::Exchange> &exchange,
                                   const schema::ForwardedRequest &message,
                                   const http::Endpoint &endpoint)
{
    const uint64_t number = ++lastForwarding;
    const std::shared_ptr<Forwarding> forwarding = std::make_shared<Forwarding>();
    forwardings.emplace(number, forwarding);
    http::Request request = readForwardedRequest(message);
    forwarding->exchange = exchange;
    forwarding->requestHeaders = request.headers;
    forwarding->target = message.target();
    if (const TargetEntry *target = fleet.directory().find(message.target())) {
        forwarding->targetStartedAtMs = target->startedAtMs;
    }
    forwarding->sentAt = http::EventLoop::now();
    // The server of the exchange may outlive this object.
    const std::weak_ptr<Impl> weakSelf = weak_from_this();
    exchange->onDisconnected([weakSelf, number] {
        if (const std::shared_ptr<Impl> self = weakSelf.lock()) {
            self->forwardings.erase(number);
        }
    });
    exchange->onDrained([weak = std::weak_ptr<Forwarding>(forwarding)] {
        const std::shared_ptr<Forwarding> open = weak.lock();
        if (open && open->call) {
            open->call->resume();
        }
    });
    exchange->startStream(statusOk, {});
    metrics.counter({"teaseldrift_forwarded_for_vms_total"}).add();
    forwarding->call = targets.start(
            endpoint, std::move(request),
            message.use_fresh_connection() ? http::ConnectionUse::Fresh
                                           : http::ConnectionUse::Pooled,
            {.onSent =
                     [weak = std::weak_ptr<Forwarding>(forwarding)] {
                         if (const std::shared_ptr<Forwarding> open = weak.lock()) {
                             schema::ForwardedResponsePart part;
                             part.set_sent(true);
                             open->write(part);
                         }
                     },
             .matchesRequest =
                     [this, number](const http::ResponseHead &head) {
                         const std::shared_ptr<Forwarding> open = find(number);
                         return open == nullptr || !options.matchesRequest
                                || options.matchesRequest(open->requestHeaders, head);
                     },
             .onHead = [this, number](const http::ResponseHead &head) { onHead(number, head); },
             .onData =
                     [this, number](std::string_view data) {
                         if (const std::shared_ptr<Forwarding> open = find(number)) {
                             schema::ForwardedResponsePart part;
                             part.set_data(std::string(data));
                             open->write(part);
                         }
                     },
             .onEnd = [this, number](http::CallOutcome outcome) { onEnd(number, outcome); }});
}

void RequestForwarder::Impl::onHead(uint64_t number, const http::ResponseHead &head)
{
    const std::shared_ptr<Forwarding> open = find(number);
    if (open == nullptr) {
        return;
    }
    if (options.readNotice) {
        fleet.applyNotice(open->target, open->targetStartedAtMs, options.readNotice(head),
                          http::EventLoop::now(), open->sentAt);
    }
    schema::ForwardedResponsePart part;
    *part.mutable_head() = writeForwardedHead(head);
    open->write(part);
}

void RequestForwarder::Impl::onEnd(uint64_t number, http::CallOutcome outcome)
{
    const std::shared_ptr<Forwarding> ended = find(number);
    if (ended == nullptr) {
        return;
    }
    forwardings.erase(number);
    if (outcome == http::CallOutcome::Broken) {
        ended->exchange->abortAfterWrites();
        return;
    }
    schema::ForwardedResponsePart part;
    if (outcome == http::CallOutcome::Complete) {
        part.set_complete(true);
    } else {
        part.set_not_sent(true);
    }
    ended->write(part);
    ended->exchange->finish();
}

void RequestForwarder::checkCallers()
{
    std::vector<std::shared_ptr<Impl::Forwarding>> gone;
    for (const std::pair<const uint64_t, std::shared_ptr<Impl::Forwarding>> &entry :
         m_impl->forwardings) {
        if (entry.second->exchange->isCallerDisconnected()) {
            gone.push_back(entry.second);
        }
    }
    // Closes the connection; onDisconnected() then removes the forwarding.
    for (const std::shared_ptr<Impl::Forwarding> &forwarding : gone) {
        forwarding->call.reset();
        forwarding->exchange->abort();
    }
}

} // namespace teaseldrift::relay
