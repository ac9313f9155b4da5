#include "teaseldrift/router/target_pool.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <random>

#include <nlohmann/json.hpp>

#include "target_pool_internal.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/router/router_metrics.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift::router {

namespace {

using nlohmann::json;

constexpr uint32_t defaultBlockTokens = 1024;
constexpr Duration expiryInterval = 20ms;
/// Upper bound of the time reserved for prefill before a request's deadline.
constexpr Duration firstTokenReserve = 1500ms;

/// A target assigned to an attempt that has not ended.
struct ActiveAcquisition
{
    std::string pool;
    std::string target;
};

std::string poolName(const TargetQuery &query)
{
    return query.model.empty() ? "service:" + query.service : "model:" + query.model;
}

} // namespace

struct TargetPool::Impl
{
    http::EventLoop &loop;
    RouterMetrics &metrics;
    std::string availabilityZone;
    std::mt19937_64 generator;
    std::shared_ptr<const RoutingTable> table;
    std::map<std::string, TargetState> targets;
    std::map<std::string, Pool> pools;
    std::map<uint64_t, ActiveAcquisition> activeAcquisitions;
    std::map<AcquisitionId, std::string> poolOfAcquisition;
    TargetHealth health;
    double trafficShare = 1.0;
    bool explanationsEnabled = false;
    uint64_t lastId = 0;
    http::EventLoop::TimerId expiryTimer = 0;
    /// Set to false on destruction, so that callbacks already posted or scheduled do nothing.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Impl(http::EventLoop &eventLoop, RouterMetrics &routerMetrics, std::string zone, uint64_t seed)
        : loop(eventLoop), metrics(routerMetrics), availabilityZone(std::move(zone)),
          generator(seed)
    { }

    void configureTargets();
    void configurePools();
    Pool &poolOf(const TargetQuery &query);
    placement::CacheAwareOptions policyOptions(uint32_t blockTokens) const;
    std::vector<placement::TargetView> views(const Pool &pool, const WaitingRequest *waiting) const;
    [[nodiscard]] std::optional<Duration> timeToAvailable(const Pool &pool) const;
    Selection selectEngine(Pool &pool, const WaitingRequest &waiting, placement::Choice &choice);
    void dispatchWaiting(const std::string &name, Pool &pool);
    void dispatchServiceRequests(const std::string &name, Pool &pool);
    void dispatchRetries(const std::string &name, Pool &pool);
    void dispatchEngineRequests(const std::string &name, Pool &pool);
    queueing::PushResult push(Pool &pool, AcquisitionId acquisitionId,
                              const WaitingRequest &waiting);
    void dispatch(const std::string &name, Pool &pool, AcquisitionId acquisitionId,
                  const Selection &selection, const placement::Choice &choice);
    void refuse(Pool &pool, AcquisitionId acquisitionId, schema::ResultCode code,
                std::optional<Duration> retryAfter);
    void postResult(Done done, AcquireResult result);
    void expire();
    void armExpiry();
};

placement::CacheAwareOptions TargetPool::Impl::policyOptions(uint32_t blockTokens) const
{
    placement::CacheAwareOptions options;
    options.availabilityZone = availabilityZone;
    options.blockTokens = blockTokens;
    options.trafficShare = trafficShare;
    return options;
}

Pool &TargetPool::Impl::poolOf(const TargetQuery &query)
{
    const std::string name = poolName(query);
    const auto found = pools.find(name);
    if (found != pools.end()) {
        return found->second;
    }
    Pool &pool = pools[name];
    pool.model = query.model;
    if (!query.model.empty()) {
        const schema::Model *model = table == nullptr ? nullptr : table->findModel(query.model);
        const uint32_t configured = model == nullptr ? 0 : model->block_tokens();
        pool.chainOptions.blockTokens = configured > 0 ? configured : defaultBlockTokens;
        pool.policy.emplace(policyOptions(pool.chainOptions.blockTokens));
    }
    return pool;
}

void TargetPool::Impl::configureTargets()
{
    std::map<std::string, TargetState> next;
    for (const schema::Target &target : table->configuration().targets()) {
        const auto known = targets.find(target.id());
        if (known != targets.end() && known->second.target.address() == target.address()
            && known->second.target.port() == target.port()) {
            next[target.id()] = std::move(known->second);
        }
        next[target.id()].target = target;
    }
    for (auto it = targets.begin(); it != targets.end(); ++it) {
        if (!next.contains(it->first)) {
            health.removeTarget(it->first);
        }
    }
    targets = std::move(next);
}

void TargetPool::Impl::configurePools()
{
    for (auto it = pools.begin(); it != pools.end(); ++it) {
        it->second.targets.clear();
    }
    for (auto it = targets.begin(); it != targets.end(); ++it) {
        TargetState &state = it->second;
        const Instant now = http::EventLoop::now();
        if (state.target.kind() == schema::PLAIN_SERVICE) {
            poolOf({.service = state.target.service()}).targets.push_back(&state);
            health.addTarget(it->first, "service:" + state.target.service(), now);
        } else if (state.target.kind() == schema::ENGINE) {
            for (const std::string &model : state.target.models()) {
                poolOf({.model = model}).targets.push_back(&state);
                health.addTarget(it->first, "model:" + model, now);
            }
        }
    }
}

std::vector<placement::TargetView> TargetPool::Impl::views(const Pool &pool,
                                                           const WaitingRequest *waiting) const
{
    const Instant now = http::EventLoop::now();
    std::vector<placement::TargetView> list;
    list.reserve(pool.targets.size());
    for (const TargetState *state : pool.targets) {
        const std::string &id = state->target.id();
        const bool accepting = health.isEligible(id) && state->serves(pool.model)
                               && now >= state->unavailableUntil
                               && (waiting == nullptr || !waiting->excludes(id));
        list.push_back(viewOf(*state, pool.model, accepting));
    }
    return list;
}

/// Time until the first healthy target is available again; empty if none is merely unavailable for
/// a time.
std::optional<Duration> TargetPool::Impl::timeToAvailable(const Pool &pool) const
{
    const Instant now = http::EventLoop::now();
    std::optional<Duration> earliest;
    for (const TargetState *state : pool.targets) {
        if (health.isEligible(state->target.id()) && state->serves(pool.model)
            && state->unavailableUntil > now) {
            const Duration left = state->unavailableUntil - now;
            earliest = std::min(earliest.value_or(left), left);
        }
    }
    return earliest;
}

/// Selects an engine for one request with regard to its own excluded targets.
Selection TargetPool::Impl::selectEngine(Pool &pool, const WaitingRequest &waiting,
                                         placement::Choice &choice)
{
    const std::vector<placement::TargetView> list = views(pool, &waiting);
    choice = pool.policy->choose(waiting.view(), list, http::EventLoop::now(), generator);
    if (choice.outcome != placement::ChoiceOutcome::Dispatch) {
        return {.outcome = choice.outcome};
    }
    return {.outcome = choice.outcome,
            .target = pool.targets[choice.target],
            .explanation = placement::explain(choice, list)};
}

void TargetPool::Impl::dispatchWaiting(const std::string &name, Pool &pool)
{
    if (pool.policy.has_value()) {
        dispatchRetries(name, pool);
        dispatchEngineRequests(name, pool);
    } else {
        dispatchServiceRequests(name, pool);
    }
}

void TargetPool::Impl::dispatchServiceRequests(const std::string &name, Pool &pool)
{
    while (const std::optional<uint64_t> acquisitionId = pool.queue.next()) {
        const Selection selection
                = selectServiceTarget(pool, pool.waiting.at(*acquisitionId), health);
        if (selection.outcome == placement::ChoiceOutcome::NoRoom) {
            return;
        }
        if (selection.outcome == placement::ChoiceOutcome::NoTarget) {
            pool.queue.cancel(*acquisitionId);
            refuse(pool, *acquisitionId, schema::NO_TARGET, std::nullopt);
            continue;
        }
        pool.queue.take(*acquisitionId, http::EventLoop::now());
        dispatch(name, pool, *acquisitionId, selection, {});
    }
}

void TargetPool::Impl::dispatchRetries(const std::string &name, Pool &pool)
{
    const std::deque<AcquisitionId> acquisitionIds = pool.retries;
    for (const AcquisitionId acquisitionId : acquisitionIds) {
        placement::Choice choice;
        const Selection selection = selectEngine(pool, pool.waiting.at(acquisitionId), choice);
        if (selection.outcome == placement::ChoiceOutcome::NoRoom) {
            continue;
        }
        std::erase(pool.retries, acquisitionId);
        if (selection.outcome == placement::ChoiceOutcome::NoTarget) {
            refuse(pool, acquisitionId, schema::NO_TARGET, timeToAvailable(pool));
        } else {
            dispatch(name, pool, acquisitionId, selection, choice);
        }
    }
}

void TargetPool::Impl::dispatchEngineRequests(const std::string &name, Pool &pool)
{
    if (pool.dispatcher.queue().size() == 0) {
        return;
    }
    const std::vector<placement::TargetView> list = views(pool, nullptr);
    const bool hasTarget
            = std::any_of(list.begin(), list.end(),
                          [](const placement::TargetView &view) { return view.accepting; });
    while (!hasTarget && pool.dispatcher.queue().size() > 0) {
        const uint64_t acquisitionId = *pool.dispatcher.queue().next();
        pool.dispatcher.cancel(acquisitionId);
        refuse(pool, acquisitionId, schema::NO_TARGET, timeToAvailable(pool));
    }
    const Instant now = http::EventLoop::now();
    while (const std::optional<placement::Dispatch> next
           = pool.dispatcher.next(*pool.policy, list, now, generator)) {
        const Selection selection{.outcome = placement::ChoiceOutcome::Dispatch,
                                  .target = pool.targets[next->choice.target],
                                  .explanation = explanationsEnabled
                                                         ? placement::explain(next->choice, list)
                                                         : std::string()};
        dispatch(name, pool, next->id, selection, next->choice);
    }
}

void TargetPool::Impl::dispatch(const std::string &name, Pool &pool, AcquisitionId acquisitionId,
                                const Selection &selection, const placement::Choice &choice)
{
    const Instant now = http::EventLoop::now();
    const auto found = pool.waiting.find(acquisitionId);
    const WaitingRequest waiting = std::move(found->second);
    pool.waiting.erase(found);
    poolOfAcquisition.erase(acquisitionId);
    metrics.observeQueueWait(now - waiting.since);
    TargetState &state = *selection.target;
    ++state.inFlight;
    if (pool.policy.has_value()) {
        pool.policy->started(acquisitionId, waiting.view(),
                             viewOf(state, waiting.query->model, true), choice, now);
    }
    activeAcquisitions[acquisitionId] = {.pool = name, .target = state.target.id()};
    postResult(waiting.done, {.target = state.target.id(),
                              .incarnation = state.report.incarnation,
                              .endpoint = {.address = state.target.address(),
                                           .port = static_cast<uint16_t>(state.target.port())},
                              .explanation = selection.explanation,
                              .acquisitionId = acquisitionId});
}

void TargetPool::Impl::refuse(Pool &pool, AcquisitionId acquisitionId, schema::ResultCode code,
                              std::optional<Duration> retryAfter)
{
    const auto found = pool.waiting.find(acquisitionId);
    if (found == pool.waiting.end()) {
        return;
    }
    const Done done = std::move(found->second.done);
    pool.waiting.erase(found);
    poolOfAcquisition.erase(acquisitionId);
    postResult(done, {.code = code, .retryAfter = retryAfter});
}

void TargetPool::Impl::postResult(Done done, AcquireResult result)
{
    loop.post([stillAlive = alive, done = std::move(done), result = std::move(result)] {
        if (*stillAlive) {
            done(result);
        }
    });
}

queueing::PushResult TargetPool::Impl::push(Pool &pool, AcquisitionId acquisitionId,
                                            const WaitingRequest &waiting)
{
    const Instant now = http::EventLoop::now();
    const Duration left = std::max(Duration::zero(), waiting.query->deadline - now);
    const queueing::QueuedRequest queued{
            .id = acquisitionId,
            .organisation = waiting.query->organisation,
            .weight = waiting.query->weight,
            .costTokens = std::max(1.0, static_cast<double>(waiting.promptTokens)
                                                + static_cast<double>(waiting.query->maxTokens)),
            .priority = waiting.options.isRetry ? std::numeric_limits<int32_t>::max()
                                                : waiting.query->priority,
            .dispatchBy = waiting.query->deadline - std::min(firstTokenReserve, left / 2),
    };
    if (!pool.policy.has_value()) {
        return pool.queue.push(queued, now);
    }
    if (waiting.options.isRetry) {
        pool.retries.push_back(acquisitionId);
        return {};
    }
    return pool.dispatcher.push(queued, waiting.view(), now);
}

void TargetPool::Impl::expire()
{
    expiryTimer = 0;
    const Instant now = http::EventLoop::now();
    for (auto it = pools.begin(); it != pools.end(); ++it) {
        Pool &pool = it->second;
        for (const queueing::Refusal &refusal :
             pool.policy.has_value() ? pool.dispatcher.expire(now) : pool.queue.expire(now)) {
            refuse(pool, refusal.id, refusal.code, refusal.retryAfter);
        }
        dispatchWaiting(it->first, it->second);
    }
    armExpiry();
}

void TargetPool::Impl::armExpiry()
{
    if (expiryTimer != 0 || poolOfAcquisition.empty()) {
        return;
    }
    expiryTimer = loop.startTimer(expiryInterval, [this, stillAlive = alive] {
        if (*stillAlive) {
            expire();
        }
    });
}

TargetPool::TargetPool(http::EventLoop &loop, RouterMetrics &metrics, std::string availabilityZone,
                       uint64_t seed)
    : m_impl(std::make_unique<Impl>(loop, metrics, std::move(availabilityZone), seed))
{ }

TargetPool::~TargetPool()
{
    *m_impl->alive = false;
}

void TargetPool::configure(std::shared_ptr<const RoutingTable> table)
{
    m_impl->table = std::move(table);
    m_impl->configureTargets();
    m_impl->configurePools();
    for (auto it = m_impl->pools.begin(); it != m_impl->pools.end(); ++it) {
        m_impl->dispatchWaiting(it->first, it->second);
    }
}

void TargetPool::setLeaving(const std::vector<std::string> &targets)
{
    for (auto it = m_impl->targets.begin(); it != m_impl->targets.end(); ++it) {
        const bool leaving = std::find(targets.begin(), targets.end(), it->first) != targets.end();
        m_impl->health.setLeaving(it->first, leaving);
    }
}

void TargetPool::report(const std::string &target, const TargetLoad &report)
{
    const auto found = m_impl->targets.find(target);
    if (found == m_impl->targets.end()) {
        return;
    }
    found->second.report = report;
    found->second.hasReport = true;
    m_impl->health.report(target, HealthObservation::Responded, http::EventLoop::now());
}

void TargetPool::setUnavailableUntil(const std::string &target, Instant until)
{
    const auto found = m_impl->targets.find(target);
    if (found != m_impl->targets.end()) {
        found->second.unavailableUntil = until;
    }
}

void TargetPool::reportObservation(const std::string &target, HealthObservation observation)
{
    m_impl->health.report(target, observation, http::EventLoop::now());
}

std::vector<TargetAddress> TargetPool::addresses() const
{
    std::vector<TargetAddress> list;
    for (auto it = m_impl->targets.begin(); it != m_impl->targets.end(); ++it) {
        const schema::Target &target = it->second.target;
        list.push_back({.id = target.id(),
                        .endpoint = {.address = target.address(),
                                     .port = static_cast<uint16_t>(target.port())},
                        .isEngine = target.kind() == schema::ENGINE});
    }
    return list;
}

std::vector<TargetAddress> TargetPool::takeProbes()
{
    const std::vector<std::string> due = m_impl->health.takeProbes(http::EventLoop::now());
    std::vector<TargetAddress> list = addresses();
    std::erase_if(list, [&due](const TargetAddress &address) {
        return std::find(due.begin(), due.end(), address.id) == due.end();
    });
    return list;
}

void TargetPool::setExplanationsEnabled(bool enabled)
{
    m_impl->explanationsEnabled = enabled;
}

void TargetPool::setTrafficShare(double share)
{
    m_impl->trafficShare = share;
    for (auto it = m_impl->pools.begin(); it != m_impl->pools.end(); ++it) {
        if (it->second.policy.has_value()) {
            it->second.policy->setTrafficShare(share);
        }
    }
}

TargetPool::AcquisitionId TargetPool::acquire(std::shared_ptr<const TargetQuery> query,
                                              AcquireOptions options, Done done)
{
    const Instant now = http::EventLoop::now();
    const AcquisitionId acquisitionId = ++m_impl->lastId;
    const std::string name = poolName(*query);
    Pool &pool = m_impl->poolOf(*query);
    WaitingRequest waiting{.query = std::move(query),
                           .options = std::move(options),
                           .done = std::move(done),
                           .since = now};
    if (pool.policy.has_value()) {
        waiting.hashPrompt(pool.chainOptions);
    }
    const queueing::PushResult pushed = m_impl->push(pool, acquisitionId, waiting);
    m_impl->poolOfAcquisition[acquisitionId] = name;
    pool.waiting[acquisitionId] = std::move(waiting);
    if (pushed.displaced.has_value()) {
        m_impl->refuse(pool, pushed.displaced->id, pushed.displaced->code,
                       pushed.displaced->retryAfter);
    }
    if (pushed.refused.has_value()) {
        m_impl->refuse(pool, acquisitionId, pushed.refused->code, pushed.refused->retryAfter);
        return acquisitionId;
    }
    m_impl->dispatchWaiting(name, pool);
    m_impl->armExpiry();
    return acquisitionId;
}

void TargetPool::cancel(AcquisitionId acquisitionId)
{
    const auto found = m_impl->poolOfAcquisition.find(acquisitionId);
    if (found == m_impl->poolOfAcquisition.end()) {
        // Already dispatched: the result may still be in the event loop's queue, and the request
        // does not need it any more.
        release(acquisitionId, {});
        return;
    }
    Pool &pool = m_impl->pools.at(found->second);
    pool.queue.cancel(acquisitionId);
    pool.dispatcher.cancel(acquisitionId);
    std::erase(pool.retries, acquisitionId);
    pool.waiting.erase(acquisitionId);
    m_impl->poolOfAcquisition.erase(found);
}

void TargetPool::firstToken(uint64_t acquisitionId)
{
    const auto found = m_impl->activeAcquisitions.find(acquisitionId);
    if (found == m_impl->activeAcquisitions.end()) {
        return;
    }
    Pool &pool = m_impl->pools.at(found->second.pool);
    if (pool.policy.has_value()) {
        pool.policy->firstToken(acquisitionId, http::EventLoop::now());
    }
}

void TargetPool::release(uint64_t acquisitionId, const AttemptFeedback &feedback)
{
    const auto found = m_impl->activeAcquisitions.find(acquisitionId);
    if (found == m_impl->activeAcquisitions.end()) {
        return;
    }
    const ActiveAcquisition ended = std::move(found->second);
    m_impl->activeAcquisitions.erase(found);
    const Instant now = http::EventLoop::now();
    const auto state = m_impl->targets.find(ended.target);
    if (state != m_impl->targets.end()) {
        state->second.inFlight -= std::min(state->second.inFlight, 1U);
    }
    if (feedback.observation.has_value()) {
        m_impl->health.report(ended.target, *feedback.observation, now);
    }
    Pool &pool = m_impl->pools.at(ended.pool);
    if (pool.policy.has_value()) {
        placement::AttemptEnd end{.completed
                                  = feedback.observation == HealthObservation::Responded};
        if (feedback.cachedTokens.has_value()) {
            end.cachedTokens = static_cast<uint32_t>(*feedback.cachedTokens);
        }
        pool.policy->finished(acquisitionId, end, now);
    }
    m_impl->dispatchWaiting(ended.pool, pool);
}

std::string TargetPool::statusJson() const
{
    json list = json::array();
    for (auto it = m_impl->targets.begin(); it != m_impl->targets.end(); ++it) {
        const TargetState &state = it->second;
        json status{{"id", it->first},
                    {"eligible", m_impl->health.isEligible(it->first)},
                    {"in_flight", state.inFlight},
                    {"running", state.report.running},
                    {"queued", state.report.queued},
                    {"incarnation", std::to_string(state.report.incarnation)},
                    {"models", state.report.models}};
        if (state.report.requestsPerSecond) {
            status["requests_per_s"] = *state.report.requestsPerSecond;
        }
        list.push_back(std::move(status));
    }
    return list.dump();
}

std::string TargetPool::explainJson(const TargetQuery &query)
{
    Pool &pool = m_impl->poolOf(query);
    WaitingRequest waiting{.query = std::make_shared<TargetQuery>(query)};
    waiting.hashPrompt(pool.chainOptions);
    placement::Choice choice;
    const Selection selection = m_impl->selectEngine(pool, waiting, choice);
    const json explained = {{"explanation", selection.explanation},
                            {"blocks", waiting.chain.size()},
                            {"prompt_tokens", waiting.promptTokens},
                            {"waiting", pool.size()}};
    return explained.dump();
}

} // namespace teaseldrift::router
