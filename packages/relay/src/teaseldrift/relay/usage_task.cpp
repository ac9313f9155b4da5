#include "teaseldrift/relay/usage_task.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "limit_claim_messages.hpp"
#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/relay/unresponsive_vms.hpp"
#include "teaseldrift/schema/vm_record.pb.h"

namespace teaseldrift::relay {

using telemetry::EventPriority;

namespace {

/// Ends of the paths of messages about the ownership of limits.
constexpr std::string_view claimPath = "/claim";
constexpr std::string_view extensionPath = "/extension";
constexpr std::string_view offerPath = "/offer";
/// End of the path of messages about permits that are released.
constexpr std::string_view releasePath = "/release";

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

/// Number of VMs that are queried for one request: the owner by this VM's list, and the one that it
/// names instead.
constexpr int maxQueries = 2;

UsageDecision toDecision(const UsageVerdict &verdict)
{
    return {.isGranted = verdict.outcome == UsageOutcome::Granted,
            .retryAfter = verdict.retryAfter,
            .grantedAt = verdict.grantedAt,
            .wait = verdict.wait};
}

/// @return false if the message was not valid; it has been answered then
template <typename Message>
bool parse(http::Exchange &exchange, Message &message)
{
    if (message.ParseFromArray(exchange.body().data(), static_cast<int>(exchange.body().size()))) {
        return true;
    }
    exchange.respond({.status = statusBadRequest});
    return false;
}

} // namespace

struct UsageTask::Impl
{
    /// A claim for which replies are awaited.
    struct OpenClaim
    {
        std::vector<LimitClaimResult> results;
        size_t repliesMissing = 0;
        /// Run when the claim has ended.
        std::vector<std::function<void()>> waiting;
    };

    /// A request of this VM.
    struct Acquisition
    {
        std::string organisation;
        UsageNeed need;
        Handler handler;
        int queriesLeft = maxQueries;
        int retriesLeft = 0;
        bool hasClaimed = false;
    };

    http::EventLoop &loop;
    http::BufferedClient calls;
    FleetState &fleet;
    SharedLimits limits;
    telemetry::EventLog &log;
    telemetry::Metrics &metrics;
    UsageTaskOptions options;
    UnresponsiveVms unresponsive{options.unresponsiveCooldown};
    std::map<std::string, OpenClaim, std::less<>> claims;
    http::EventLoop::TimerId timer = 0;

    DistributedUsageLimiter &limiter() const { return limits.limiter; }
    [[nodiscard]] std::string path(std::string_view end = {}) const
    {
        return std::string(limits.path).append(end);
    }
    [[nodiscard]] std::string describe(const std::string &limit) const
    {
        return limits.describe ? limits.describe(limit) : std::string();
    }
    void learn(const std::string &description) const
    {
        if (limits.learn && !description.empty()) {
            limits.learn(description);
        }
    }

    void proceed(Acquisition acquisition);
    void query(const std::string &ownerId, Acquisition acquisition);
    void onQueryAnswered(const std::string &ownerId, Instant askedAt,
                         const http::BufferedResponse &response, Acquisition acquisition);
    void acquireFromFallback(const Acquisition &acquisition);
    void acquirePermit(const Acquisition &acquisition);

    void claim(const std::string &organisation, std::function<void()> onEnded);
    void sendClaim(const std::string &organisation, size_t index);
    void onClaimReply(const std::string &organisation);
    void finishClaim(const std::string &organisation);

    void maintain();
    void claimDueLimits();
    void sendOffers();
    void extend();

    void handleQuery(const std::shared_ptr<http::Exchange> &exchange);
    void answerQuery(const std::shared_ptr<http::Exchange> &exchange, const schema::UsageAsk &query,
                     bool hasClaimed);
    void grantPermit(const std::shared_ptr<http::Exchange> &exchange,
                     const schema::UsageAsk &query);
    void handleRelease(http::Exchange &exchange);
    void handleClaim(http::Exchange &exchange);
    void handleExtension(http::Exchange &exchange);
    void handleOffer(http::Exchange &exchange);
    /// Records the sender of a claim or an offer, which may not be in the list of VMs yet.
    bool recordClaimant(http::Exchange &exchange, const schema::LimitClaim &message);
    [[nodiscard]] std::string claimMessage(const std::string &organisation) const;
};

UsageTask::UsageTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                     telemetry::EventLog &log, telemetry::Metrics &metrics,
                     UsageTaskOptions options)
    : UsageTask(loop, peers, fleet, {.limiter = fleet.usage()}, log, metrics, options)
{ }

UsageTask::UsageTask(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
                     SharedLimits limits, telemetry::EventLog &log, telemetry::Metrics &metrics,
                     UsageTaskOptions options)
    : m_impl(new Impl{.loop = loop,
                      .calls = http::BufferedClient(loop, peers),
                      .fleet = fleet,
                      .limits = std::move(limits),
                      .log = log,
                      .metrics = metrics,
                      .options = options})
{ }

UsageTask::~UsageTask()
{
    m_impl->loop.cancelTimer(m_impl->timer);
}

void UsageTask::start()
{
    m_impl->maintain();
}

void UsageTask::acquire(const std::string &organisation, const UsageNeed &need, Handler handler)
{
    m_impl->proceed({.organisation = organisation,
                     .need = need,
                     .handler = std::move(handler),
                     .retriesLeft = m_impl->options.startupRetries});
}

void UsageTask::Impl::proceed(Acquisition acquisition)
{
    const Instant now = http::EventLoop::now();
    const UsageVerdict verdict = limiter().acquire(acquisition.organisation, acquisition.need.units,
                                                   now, acquisition.need.maxWait);
    switch (verdict.outcome) {
    case UsageOutcome::Granted:
    case UsageOutcome::Refused:
        if (limits.permits != nullptr && verdict.outcome == UsageOutcome::Granted) {
            acquirePermit(acquisition);
        } else {
            acquisition.handler(toDecision(verdict));
        }
        return;
    case UsageOutcome::QueryOwner:
        query(std::string(verdict.owner), std::move(acquisition));
        return;
    case UsageOutcome::Claim:
        if (!acquisition.hasClaimed) {
            acquisition.hasClaimed = true;
            const std::string organisation = acquisition.organisation;
            claim(organisation,
                  [this, acquisition = std::move(acquisition)] { proceed(acquisition); });
            return;
        }
        break;
    case UsageOutcome::NoOwner:
        break;
    }
    acquireFromFallback(acquisition);
}

/// Grants a permit to this VM, which owns the limit.
void UsageTask::Impl::acquirePermit(const Acquisition &acquisition)
{
    limits.permits->acquire(
            {.limit = acquisition.organisation,
             .priority = acquisition.need.priority,
             .maxWait = acquisition.need.maxWait,
             .term = acquisition.need.term},
            [handler = acquisition.handler](const ConcurrencyPermitDecision &decision) {
                handler({.isGranted = decision.permit != 0,
                         .retryAfter = decision.retryAfter,
                         .grantedAt = http::EventLoop::now(),
                         .permit = decision.permit});
            });
}

void UsageTask::Impl::acquireFromFallback(const Acquisition &acquisition)
{
    const UsageVerdict verdict = limiter().acquireFallback(
            acquisition.organisation, acquisition.need.units, http::EventLoop::now());
    if (verdict.outcome == UsageOutcome::NoOwner && acquisition.retriesLeft > 0) {
        // All VMs may have started together, and the owner is not ready yet.
        Acquisition retried = acquisition;
        --retried.retriesLeft;
        retried.queriesLeft = maxQueries;
        retried.hasClaimed = false;
        loop.startTimer(options.startupRetryDelay, [this, retried] {
            unresponsive.clear();
            proceed(retried);
        });
        return;
    }
    metrics.counter({"teaseldrift_usage_without_keeper_total"}).add();
    acquisition.handler(toDecision(verdict));
}

void UsageTask::Impl::query(const std::string &ownerId, Acquisition acquisition)
{
    // The owner decides later than this, so that a refund counts as older than it is.
    const Instant askedAt = http::EventLoop::now();
    http::Endpoint endpoint;
    if (acquisition.queriesLeft == 0 || unresponsive.contains(ownerId, askedAt)
        || !http::parseEndpoint(fleet.peerAddress(ownerId), endpoint)) {
        acquireFromFallback(acquisition);
        return;
    }
    --acquisition.queriesLeft;
    schema::UsageAsk query;
    query.set_organisation(acquisition.organisation);
    query.set_units(acquisition.need.units);
    query.set_max_wait_us(acquisition.need.maxWait.count());
    query.set_priority(acquisition.need.priority);
    query.set_term_us(acquisition.need.term.count());
    query.set_limit(describe(acquisition.organisation));
    // The owner of permits answers when it has decided.
    const Duration wait = limits.permits == nullptr ? Duration(0) : acquisition.need.maxWait;
    calls.start(endpoint, {.method = "POST", .path = path(), .body = query.SerializeAsString()},
                options.responseTimeout + calls.connectDelay() + wait,
                [this, ownerId, askedAt,
                 acquisition = std::move(acquisition)](const http::BufferedResponse &response) {
                    onQueryAnswered(ownerId, askedAt, response, acquisition);
                });
}

void UsageTask::Impl::onQueryAnswered(const std::string &ownerId, Instant askedAt,
                                      const http::BufferedResponse &response,
                                      Acquisition acquisition)
{
    const Instant now = http::EventLoop::now();
    schema::UsageGrant grant;
    if (response.status == statusOk && grant.ParseFromString(response.body)) {
        unresponsive.remove(ownerId);
        if (!grant.is_undecided()) {
            acquisition.handler({.isGranted = grant.is_granted(),
                                 .retryAfter = Duration(grant.retry_after_us()),
                                 .grantedAt = askedAt,
                                 .wait = Duration(grant.wait_us()),
                                 .permit = grant.permit(),
                                 .permitOwner = ownerId});
            return;
        }
        if (grant.owner().empty()) {
            limiter().setUnavailable(ownerId, now);
        } else {
            limiter().setOwner(acquisition.organisation, grant.owner(), now);
        }
        proceed(std::move(acquisition));
        return;
    }
    log.write(EventPriority::Routine, "usage_keeper_silent",
              {{"keeper", std::string_view(ownerId)},
               {"organisation", std::string_view(acquisition.organisation)},
               {"process_gone", response.failure == http::CallFailure::Refused}});
    if (response.failure == http::CallFailure::Refused) {
        limiter().setUnavailable(ownerId, now);
        proceed(std::move(acquisition));
        return;
    }
    unresponsive.add(ownerId, now);
    acquireFromFallback(acquisition);
}

void UsageTask::Impl::claim(const std::string &organisation, std::function<void()> onEnded)
{
    const auto open = claims.find(organisation);
    if (open != claims.end()) {
        open->second.waiting.push_back(std::move(onEnded));
        return;
    }
    OpenClaim &claim = claims[organisation];
    claim.waiting.push_back(std::move(onEnded));
    for (std::string &vm : limiter().beginClaim(organisation, http::EventLoop::now())) {
        claim.results.push_back({.vm = std::move(vm)});
    }
    claim.repliesMissing = claim.results.size();
    if (claim.results.empty()) {
        finishClaim(organisation);
        return;
    }
    for (size_t i = 0; i < claim.results.size(); ++i) {
        sendClaim(organisation, i);
    }
}

void UsageTask::Impl::sendClaim(const std::string &organisation, size_t index)
{
    http::Endpoint endpoint;
    if (!http::parseEndpoint(fleet.peerAddress(claims[organisation].results[index].vm), endpoint)) {
        // The claim must not end before all messages are sent.
        loop.post([this, organisation] { onClaimReply(organisation); });
        return;
    }
    calls.start(endpoint,
                {.method = "POST", .path = path(claimPath), .body = claimMessage(organisation)},
                options.claimTimeout + calls.connectDelay(),
                [this, organisation, index](const http::BufferedResponse &response) {
                    LimitClaimResult &result = claims[organisation].results[index];
                    result.isProcessGone = response.failure == http::CallFailure::Refused;
                    if (response.status == statusOk) {
                        result.reply = readLimitClaimReply(response.body);
                    }
                    onClaimReply(organisation);
                });
}

std::string UsageTask::Impl::claimMessage(const std::string &organisation) const
{
    schema::LimitClaim message;
    message.set_organisation(organisation);
    message.set_claimant(fleet.options().vmId);
    message.set_claimant_address(fleet.options().peerAddress);
    message.set_limit(describe(organisation));
    return message.SerializeAsString();
}

void UsageTask::Impl::onClaimReply(const std::string &organisation)
{
    if (--claims[organisation].repliesMissing == 0) {
        finishClaim(organisation);
    }
}

void UsageTask::Impl::finishClaim(const std::string &organisation)
{
    const OpenClaim claim = std::move(claims[organisation]);
    claims.erase(organisation);
    const LimitClaimOutcome outcome
            = limiter().finishClaim(organisation, claim.results, http::EventLoop::now());
    metrics.counter({"teaseldrift_limit_claims_total", "outcome", name(outcome)}).add();
    log.write(EventPriority::Routine, "limit_claimed",
              {{"organisation", std::string_view(organisation)},
               {"outcome", name(outcome)},
               {"asked", static_cast<int64_t>(claim.results.size())}});
    for (const std::function<void()> &onEnded : claim.waiting) {
        onEnded();
    }
}

void UsageTask::Impl::maintain()
{
    claimDueLimits();
    sendOffers();
    extend();
    timer = loop.startTimer(options.maintenanceInterval, [this] { maintain(); });
}

void UsageTask::Impl::claimDueLimits()
{
    for (const std::string &organisation : limiter().limitsToClaim(http::EventLoop::now())) {
        claim(organisation, [] {});
    }
}

void UsageTask::Impl::sendOffers()
{
    for (const LimitOffer &offer : limiter().offers(http::EventLoop::now())) {
        http::Endpoint endpoint;
        if (http::parseEndpoint(fleet.peerAddress(offer.vm), endpoint)) {
            calls.start(endpoint,
                        {.method = "POST",
                         .path = path(offerPath),
                         .body = claimMessage(offer.organisation)},
                        options.maintenanceInterval, [](const http::BufferedResponse &) {});
        }
    }
}

void UsageTask::Impl::extend()
{
    const Instant askedAt = http::EventLoop::now();
    const ExtensionQuery query = limiter().extensionQuery(askedAt);
    if (query.vms.empty()) {
        return;
    }
    schema::OwnershipExtension message;
    for (const std::string &organisation : query.organisations) {
        message.add_organisations(organisation);
    }
    message.set_owner(fleet.options().vmId);
    const std::string body = message.SerializeAsString();
    const std::shared_ptr<std::vector<std::string>> agreed
            = std::make_shared<std::vector<std::string>>();
    for (const std::string &vm : query.vms) {
        http::Endpoint endpoint;
        if (!http::parseEndpoint(fleet.peerAddress(vm), endpoint)) {
            continue;
        }
        calls.start(endpoint, {.method = "POST", .path = path(extensionPath), .body = body},
                    options.maintenanceInterval,
                    [this, askedAt, vm, agreed](const http::BufferedResponse &response) {
                        schema::OwnershipExtensionReply reply;
                        if (response.status == statusOk && reply.ParseFromString(response.body)
                            && reply.is_extended()) {
                            agreed->push_back(vm);
                            limiter().extend(*agreed, askedAt);
                        }
                    });
    }
}

void UsageTask::refund(const std::string &organisation, double units, Instant grantedAt)
{
    m_impl->limiter().refund(organisation, units, grantedAt, http::EventLoop::now());
}

void UsageTask::release(const std::string &limit, const std::string &owner, uint64_t permit,
                        const std::optional<ConcurrencyFeedback> &feedback)
{
    Impl &impl = *m_impl;
    if (owner.empty()) {
        if (feedback) {
            impl.limits.permits->release(limit, permit, *feedback);
        } else {
            impl.limits.permits->cancel(limit, permit);
        }
        return;
    }
    http::Endpoint endpoint;
    if (!http::parseEndpoint(impl.fleet.peerAddress(owner), endpoint)) {
        return;
    }
    schema::PermitRelease message;
    message.set_limit(limit);
    message.set_permit(permit);
    message.set_is_unused(!feedback);
    if (feedback) {
        message.set_was_refused(feedback->wasRefused);
        message.set_waiting(feedback->waiting);
        if (feedback->running) {
            message.set_running(*feedback->running);
        }
    }
    // A permit whose release is lost lapses.
    impl.calls.start(
            endpoint,
            {.method = "POST", .path = impl.path(releasePath), .body = message.SerializeAsString()},
            impl.options.maintenanceInterval, [](const http::BufferedResponse &) {});
}

bool UsageTask::isMessage(std::string_view path, std::string_view limits)
{
    if (!path.starts_with(limits)) {
        return false;
    }
    const std::string_view end = path.substr(limits.size());
    return end.empty() || end == claimPath || end == extensionPath || end == offerPath
           || end == releasePath;
}

void UsageTask::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    const std::string_view path = exchange->path();
    const std::string_view end = path.substr(std::min(path.size(), m_impl->limits.path.size()));
    if (end == claimPath) {
        m_impl->handleClaim(*exchange);
    } else if (end == extensionPath) {
        m_impl->handleExtension(*exchange);
    } else if (end == offerPath) {
        m_impl->handleOffer(*exchange);
    } else if (end == releasePath) {
        m_impl->handleRelease(*exchange);
    } else {
        m_impl->handleQuery(exchange);
    }
}

void UsageTask::Impl::handleQuery(const std::shared_ptr<http::Exchange> &exchange)
{
    schema::UsageAsk query;
    if (!parse(*exchange, query)) {
        return;
    }
    if (!std::isfinite(query.units()) || query.units() < 0.0 || query.max_wait_us() < 0
        || query.term_us() < 0) {
        metrics.counter({"teaseldrift_usage_queries_invalid_total"}).add();
        exchange->respond({.status = statusBadRequest});
        return;
    }
    learn(query.limit());
    answerQuery(exchange, query, false);
}

void UsageTask::Impl::answerQuery(const std::shared_ptr<http::Exchange> &exchange,
                                  const schema::UsageAsk &query, bool hasClaimed)
{
    const UsageVerdict verdict
            = limiter().answer(query.organisation(), query.units(), http::EventLoop::now(),
                               Duration(query.max_wait_us()));
    if (verdict.outcome == UsageOutcome::Claim && !hasClaimed) {
        claim(query.organisation(),
              [this, query, exchange] { answerQuery(exchange, query, true); });
        return;
    }
    if (limits.permits != nullptr && verdict.outcome == UsageOutcome::Granted) {
        grantPermit(exchange, query);
        return;
    }
    schema::UsageGrant grant;
    grant.set_is_granted(verdict.outcome == UsageOutcome::Granted);
    grant.set_retry_after_us(verdict.retryAfter.count());
    grant.set_is_undecided(verdict.outcome != UsageOutcome::Granted
                           && verdict.outcome != UsageOutcome::Refused);
    grant.set_owner(std::string(verdict.owner));
    grant.set_wait_us(verdict.wait.count());
    exchange->respond({.body = grant.SerializeAsString()});
}

/// Grants a permit to another VM, or refuses it, when that is decided.
void UsageTask::Impl::grantPermit(const std::shared_ptr<http::Exchange> &exchange,
                                  const schema::UsageAsk &query)
{
    limits.permits->acquire(
            {.limit = query.organisation(),
             .priority = query.priority(),
             .maxWait = Duration(query.max_wait_us()),
             .term = Duration(query.term_us()),
             .isSenderGone = [exchange] { return exchange->isCallerDisconnected(); }},
            [exchange](const ConcurrencyPermitDecision &decision) {
                schema::UsageGrant grant;
                grant.set_is_granted(decision.permit != 0);
                grant.set_permit(decision.permit);
                grant.set_retry_after_us(decision.retryAfter.count());
                exchange->respond({.body = grant.SerializeAsString()});
            });
}

void UsageTask::Impl::handleRelease(http::Exchange &exchange)
{
    schema::PermitRelease message;
    if (!parse(exchange, message)) {
        return;
    }
    if (limits.permits == nullptr) {
        exchange.respond({.status = statusBadRequest});
        return;
    }
    if (message.is_unused()) {
        limits.permits->cancel(message.limit(), message.permit());
    } else {
        ConcurrencyFeedback feedback{.wasRefused = message.was_refused(),
                                     .waiting = message.waiting()};
        if (message.has_running()) {
            feedback.running = message.running();
        }
        limits.permits->release(message.limit(), message.permit(), feedback);
    }
    exchange.respond({});
}

bool UsageTask::Impl::recordClaimant(http::Exchange &exchange, const schema::LimitClaim &message)
{
    if (message.claimant().empty() || message.claimant() == fleet.options().vmId) {
        metrics.counter({"teaseldrift_limit_claims_invalid_total"}).add();
        log.write(EventPriority::Routine, "limit_claim_ignored",
                  {{"claimant", std::string_view(message.claimant())}});
        exchange.respond({.status = statusBadRequest});
        return false;
    }
    fleet.setPeerAddress(message.claimant(), message.claimant_address(), http::EventLoop::now());
    learn(message.limit());
    return true;
}

void UsageTask::Impl::handleOffer(http::Exchange &exchange)
{
    schema::LimitClaim message;
    if (!parse(exchange, message) || !recordClaimant(exchange, message)) {
        return;
    }
    limiter().setOwner(message.organisation(), message.claimant(), http::EventLoop::now());
    exchange.respond({});
    claimDueLimits();
}

void UsageTask::Impl::handleClaim(http::Exchange &exchange)
{
    schema::LimitClaim message;
    if (!parse(exchange, message) || !recordClaimant(exchange, message)) {
        return;
    }
    const LimitClaimReply reply = limiter().answerClaim(message.organisation(), message.claimant(),
                                                        http::EventLoop::now());
    if (reply.outcome == LimitClaimReply::Outcome::HandedOver) {
        log.write(EventPriority::Routine, "limit_handed_over",
                  {{"organisation", std::string_view(message.organisation())},
                   {"to", std::string_view(message.claimant())},
                   {"level", reply.level.value_or(0.0)}});
    }
    exchange.respond({.body = writeLimitClaimReply(reply)});
}

void UsageTask::Impl::handleExtension(http::Exchange &exchange)
{
    schema::OwnershipExtension message;
    if (!parse(exchange, message)) {
        return;
    }
    const std::vector<std::string> organisations(message.organisations().begin(),
                                                 message.organisations().end());
    schema::OwnershipExtensionReply reply;
    reply.set_is_extended(
            !message.owner().empty()
            && limiter().answerExtension(message.owner(), organisations, http::EventLoop::now()));
    exchange.respond({.body = reply.SerializeAsString()});
}

} // namespace teaseldrift::relay
