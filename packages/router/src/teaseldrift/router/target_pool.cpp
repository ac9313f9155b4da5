#include "teaseldrift/router/target_pool.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <random>

#include <nlohmann/json.hpp>

#include "teaseldrift/hashing/block_chain.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/placement/target_chooser.hpp"
#include "teaseldrift/queueing/fair_queue.hpp"
#include "teaseldrift/router/router_metrics.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift::router {

namespace {

using nlohmann::json;

constexpr uint32_t defaultSlots = 8;
constexpr uint32_t defaultBlockTokens = 1024;
constexpr Duration expiryInterval = 20ms;

/// One target as this VM knows it.
struct TargetState
{
    schema::Target target;
    TargetLoad report;
    bool hasReport = false;
    uint32_t inFlight = 0;

    [[nodiscard]] uint32_t slots() const
    {
        if (report.slots > 0) {
            return report.slots;
        }
        return target.slots() > 0 ? target.slots() : defaultSlots;
    }

    [[nodiscard]] bool serves(const std::string &model) const
    {
        return report.models.empty() || report.models.contains(model);
    }

    [[nodiscard]] std::string_view versionOf(const std::string &model) const
    {
        const auto found = report.models.find(model);
        return found == report.models.end() ? std::string_view() : found->second;
    }
};

/// One request that waits for a target.
struct Waiting
{
    std::shared_ptr<const TargetQuery> query;
    AcquireOptions options;
    std::vector<hashing::BlockHash> chain;
    uint32_t promptTokens = 0;
    TargetPool::Done done;
    Instant since{};

    [[nodiscard]] placement::RequestView view() const
    {
        return {.chain = chain, .promptTokens = promptTokens, .outputTokens = query->maxTokens};
    }

    [[nodiscard]] bool excludes(const std::string &target) const
    {
        if (!options.onlyTarget.empty()) {
            return target != options.onlyTarget;
        }
        return std::find(options.excludedTargets.begin(), options.excludedTargets.end(), target)
               != options.excludedTargets.end();
    }
};

/// Targets that can stand in for one another, and the requests that wait for them.
struct Pool
{
    queueing::FairQueue queue;
    std::vector<TargetState *> targets;
    std::map<TargetPool::TicketId, Waiting> waiting;
    /// Only for engines.
    std::optional<placement::TargetChooser> chooser;
    hashing::ChainOptions chainOptions;
    size_t nextPlain = 0;
};

/// A target in use by one attempt.
struct Use
{
    std::string pool;
    std::string target;
};

struct Selection
{
    placement::ChoiceOutcome outcome = placement::ChoiceOutcome::NoTarget;
    TargetState *target = nullptr;
    std::string explanation;
};

std::string poolName(const TargetQuery &query)
{
    return query.model.empty() ? "service:" + query.service : "model:" + query.model;
}

/// The plain targets with the least work; ties go round.
Selection selectPlain(Pool &pool, const Waiting &waiting, const TargetHealth &health)
{
    Selection selection;
    TargetState *best = nullptr;
    for (size_t i = 0; i < pool.targets.size(); ++i) {
        TargetState *state = pool.targets[(pool.nextPlain + i) % pool.targets.size()];
        if (!health.isEligible(state->target.id()) || waiting.excludes(state->target.id())) {
            continue;
        }
        selection.outcome = placement::ChoiceOutcome::NoRoom;
        const bool hasRoom = state->target.slots() == 0 || state->inFlight < state->target.slots();
        if (hasRoom && (best == nullptr || state->inFlight < best->inFlight)) {
            best = state;
        }
    }
    if (best != nullptr) {
        ++pool.nextPlain;
        selection = {.outcome = placement::ChoiceOutcome::Dispatch,
                     .target = best,
                     .explanation = "target=" + best->target.id() + " reason=least_in_flight"};
    }
    return selection;
}

placement::TargetView viewOf(const TargetState &state, const std::string &model, bool accepting)
{
    placement::TargetView view{
            .id = state.target.id(),
            .incarnation = state.report.incarnation,
            .weightsVersion = state.versionOf(model),
            .availabilityZone = state.target.availability_zone(),
            .slots = state.slots(),
            .accepting = accepting,
    };
    if (state.hasReport) {
        view.load = {.running = state.report.running,
                     .queued = state.report.queued,
                     .prefillBacklogTokens = state.report.prefillBacklogTokens,
                     .reportedAt = state.report.observedAt};
    }
    return view;
}

} // namespace

struct TargetPool::Native
{
    http::EventLoop &loop;
    RouterMetrics &metrics;
    std::string availabilityZone;
    std::mt19937_64 generator;
    std::shared_ptr<const RoutingTable> table;
    std::map<std::string, TargetState> targets;
    std::map<std::string, Pool> pools;
    std::map<uint64_t, Use> uses;
    std::map<TicketId, std::string> poolOfTicket;
    TargetHealth health;
    double trafficShare = 1.0;
    uint64_t lastId = 0;
    http::EventLoop::TimerId expiryTimer = 0;
    /// Tells posted messages whether the pool still exists.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Native(http::EventLoop &eventLoop, RouterMetrics &routerMetrics, std::string zone,
           uint64_t seed)
        : loop(eventLoop), metrics(routerMetrics), availabilityZone(std::move(zone)),
          generator(seed)
    { }

    void configureTargets();
    void configurePools();
    Pool &poolOf(const TargetQuery &query);
    placement::ChooserOptions chooserOptions(uint32_t blockTokens) const;
    std::vector<placement::TargetView> views(const Pool &pool, const Waiting &waiting) const;
    Selection select(Pool &pool, const Waiting &waiting, placement::Choice &choice);
    void pump(const std::string &name, Pool &pool);
    void dispatch(const std::string &name, Pool &pool, TicketId ticket, const Selection &selection,
                  const placement::Choice &choice);
    void refuse(Pool &pool, TicketId ticket, schema::ResultCode code,
                std::optional<Duration> retryAfter);
    void answer(Done done, Acquired acquired);
    void expire();
    void armExpiry();
};

placement::ChooserOptions TargetPool::Native::chooserOptions(uint32_t blockTokens) const
{
    placement::ChooserOptions options;
    options.availabilityZone = availabilityZone;
    options.blockTokens = blockTokens;
    options.trafficShare = trafficShare;
    return options;
}

Pool &TargetPool::Native::poolOf(const TargetQuery &query)
{
    const std::string name = poolName(query);
    const auto found = pools.find(name);
    if (found != pools.end()) {
        return found->second;
    }
    Pool &pool = pools[name];
    if (!query.model.empty()) {
        const schema::Model *model = table == nullptr ? nullptr : table->findModel(query.model);
        const uint32_t configured = model == nullptr ? 0 : model->block_tokens();
        pool.chainOptions.blockTokens = configured > 0 ? configured : defaultBlockTokens;
        pool.chooser.emplace(chooserOptions(pool.chainOptions.blockTokens));
    }
    return pool;
}

void TargetPool::Native::configureTargets()
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

void TargetPool::Native::configurePools()
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

std::vector<placement::TargetView> TargetPool::Native::views(const Pool &pool,
                                                             const Waiting &waiting) const
{
    std::vector<placement::TargetView> list;
    list.reserve(pool.targets.size());
    for (const TargetState *state : pool.targets) {
        const std::string &id = state->target.id();
        const bool accepting = health.isEligible(id) && !waiting.excludes(id)
                               && state->serves(waiting.query->model);
        list.push_back(viewOf(*state, waiting.query->model, accepting));
    }
    return list;
}

Selection TargetPool::Native::select(Pool &pool, const Waiting &waiting, placement::Choice &choice)
{
    if (!pool.chooser.has_value()) {
        return selectPlain(pool, waiting, health);
    }
    const std::vector<placement::TargetView> list = views(pool, waiting);
    choice = pool.chooser->choose(waiting.view(), list, http::EventLoop::now(), generator);
    if (choice.outcome != placement::ChoiceOutcome::Dispatch) {
        return {.outcome = choice.outcome};
    }
    return {.outcome = choice.outcome,
            .target = pool.targets[choice.target],
            .explanation = placement::explain(choice, list)};
}

void TargetPool::Native::pump(const std::string &name, Pool &pool)
{
    while (const std::optional<uint64_t> ticket = pool.queue.next()) {
        placement::Choice choice;
        const Selection selection = select(pool, pool.waiting.at(*ticket), choice);
        if (selection.outcome == placement::ChoiceOutcome::NoRoom) {
            return;
        }
        if (selection.outcome == placement::ChoiceOutcome::NoTarget) {
            pool.queue.cancel(*ticket);
            refuse(pool, *ticket, schema::NO_TARGET, std::nullopt);
            continue;
        }
        dispatch(name, pool, *ticket, selection, choice);
    }
}

void TargetPool::Native::dispatch(const std::string &name, Pool &pool, TicketId ticket,
                                  const Selection &selection, const placement::Choice &choice)
{
    const Instant now = http::EventLoop::now();
    pool.queue.take(ticket, now);
    const auto found = pool.waiting.find(ticket);
    const Waiting waiting = std::move(found->second);
    pool.waiting.erase(found);
    poolOfTicket.erase(ticket);
    metrics.observeQueueWait(now - waiting.since);
    TargetState &state = *selection.target;
    ++state.inFlight;
    if (pool.chooser.has_value()) {
        pool.chooser->started(ticket, waiting.view(), viewOf(state, waiting.query->model, true),
                              choice, now);
    }
    uses[ticket] = {.pool = name, .target = state.target.id()};
    answer(waiting.done, {.target = state.target.id(),
                          .endpoint = {.address = state.target.address(),
                                       .port = static_cast<uint16_t>(state.target.port())},
                          .explanation = selection.explanation,
                          .useId = ticket});
}

void TargetPool::Native::refuse(Pool &pool, TicketId ticket, schema::ResultCode code,
                                std::optional<Duration> retryAfter)
{
    const auto found = pool.waiting.find(ticket);
    if (found == pool.waiting.end()) {
        return;
    }
    const Done done = std::move(found->second.done);
    pool.waiting.erase(found);
    poolOfTicket.erase(ticket);
    answer(done, {.code = code, .retryAfter = retryAfter});
}

void TargetPool::Native::answer(Done done, Acquired acquired)
{
    loop.post([stillAlive = alive, done = std::move(done), acquired = std::move(acquired)] {
        if (*stillAlive) {
            done(acquired);
        }
    });
}

void TargetPool::Native::expire()
{
    expiryTimer = 0;
    const Instant now = http::EventLoop::now();
    for (auto it = pools.begin(); it != pools.end(); ++it) {
        for (const queueing::Refusal &refusal : it->second.queue.expire(now)) {
            refuse(it->second, refusal.id, refusal.code, refusal.retryAfter);
        }
        pump(it->first, it->second);
    }
    armExpiry();
}

void TargetPool::Native::armExpiry()
{
    if (expiryTimer != 0 || poolOfTicket.empty()) {
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
    : m_native(std::make_unique<Native>(loop, metrics, std::move(availabilityZone), seed))
{ }

TargetPool::~TargetPool()
{
    *m_native->alive = false;
}

void TargetPool::configure(std::shared_ptr<const RoutingTable> table)
{
    m_native->table = std::move(table);
    m_native->configureTargets();
    m_native->configurePools();
    for (auto it = m_native->pools.begin(); it != m_native->pools.end(); ++it) {
        m_native->pump(it->first, it->second);
    }
}

void TargetPool::setLeaving(const std::vector<std::string> &targets)
{
    for (auto it = m_native->targets.begin(); it != m_native->targets.end(); ++it) {
        const bool leaving = std::find(targets.begin(), targets.end(), it->first) != targets.end();
        m_native->health.setLeaving(it->first, leaving);
    }
}

void TargetPool::report(const std::string &target, const TargetLoad &report)
{
    const auto found = m_native->targets.find(target);
    if (found == m_native->targets.end()) {
        return;
    }
    found->second.report = report;
    found->second.hasReport = true;
    m_native->health.report(target, HealthEvidence::Answered, http::EventLoop::now());
}

void TargetPool::reportEvidence(const std::string &target, HealthEvidence evidence)
{
    m_native->health.report(target, evidence, http::EventLoop::now());
}

std::vector<TargetAddress> TargetPool::addresses() const
{
    std::vector<TargetAddress> list;
    for (auto it = m_native->targets.begin(); it != m_native->targets.end(); ++it) {
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
    const std::vector<std::string> due = m_native->health.takeProbes(http::EventLoop::now());
    std::vector<TargetAddress> list = addresses();
    std::erase_if(list, [&due](const TargetAddress &address) {
        return std::find(due.begin(), due.end(), address.id) == due.end();
    });
    return list;
}

void TargetPool::setTrafficShare(double share)
{
    m_native->trafficShare = share;
    for (auto it = m_native->pools.begin(); it != m_native->pools.end(); ++it) {
        if (it->second.chooser.has_value()) {
            it->second.chooser->setTrafficShare(share);
        }
    }
}

TargetPool::TicketId TargetPool::acquire(std::shared_ptr<const TargetQuery> query,
                                         AcquireOptions options, Done done)
{
    const Instant now = http::EventLoop::now();
    const TicketId ticket = ++m_native->lastId;
    const std::string name = poolName(*query);
    Pool &pool = m_native->poolOf(*query);
    Waiting waiting{.query = std::move(query),
                    .options = std::move(options),
                    .done = std::move(done),
                    .since = now};
    if (pool.chooser.has_value()) {
        waiting.chain = hashing::hashChain({.organisation = waiting.query->organisation,
                                            .model = waiting.query->model,
                                            .adapter = waiting.query->adapter},
                                           waiting.query->prompt, pool.chainOptions);
        waiting.promptTokens = hashing::estimateTokens(waiting.query->prompt, pool.chainOptions);
    }
    const queueing::PushResult pushed = pool.queue.push(
            {.id = ticket,
             .organisation = waiting.query->organisation,
             .weight = waiting.query->weight,
             .costTokens = std::max(1.0, static_cast<double>(waiting.promptTokens)
                                                 + static_cast<double>(waiting.query->maxTokens)),
             .priority = waiting.options.isRetry ? std::numeric_limits<int32_t>::max()
                                                 : waiting.query->priority,
             .dispatchBy = waiting.query->deadline},
            now);
    m_native->poolOfTicket[ticket] = name;
    pool.waiting[ticket] = std::move(waiting);
    if (pushed.displaced.has_value()) {
        m_native->refuse(pool, pushed.displaced->id, pushed.displaced->code,
                         pushed.displaced->retryAfter);
    }
    if (pushed.refused.has_value()) {
        m_native->refuse(pool, ticket, pushed.refused->code, pushed.refused->retryAfter);
        return ticket;
    }
    m_native->pump(name, pool);
    m_native->armExpiry();
    return ticket;
}

void TargetPool::cancel(TicketId ticket)
{
    const auto found = m_native->poolOfTicket.find(ticket);
    if (found == m_native->poolOfTicket.end()) {
        // Already dispatched; the answer is on its way to a task that gave up.
        release(ticket, {});
        return;
    }
    Pool &pool = m_native->pools.at(found->second);
    pool.queue.cancel(ticket);
    pool.waiting.erase(ticket);
    m_native->poolOfTicket.erase(found);
}

void TargetPool::firstToken(uint64_t useId)
{
    const auto found = m_native->uses.find(useId);
    if (found == m_native->uses.end()) {
        return;
    }
    Pool &pool = m_native->pools.at(found->second.pool);
    if (pool.chooser.has_value()) {
        pool.chooser->firstToken(useId, http::EventLoop::now());
    }
}

void TargetPool::release(uint64_t useId, const TargetUse &use)
{
    const auto found = m_native->uses.find(useId);
    if (found == m_native->uses.end()) {
        return;
    }
    const Use ended = std::move(found->second);
    m_native->uses.erase(found);
    const Instant now = http::EventLoop::now();
    const auto state = m_native->targets.find(ended.target);
    if (state != m_native->targets.end()) {
        state->second.inFlight -= std::min(state->second.inFlight, 1U);
    }
    if (use.evidence.has_value()) {
        m_native->health.report(ended.target, *use.evidence, now);
    }
    Pool &pool = m_native->pools.at(ended.pool);
    if (pool.chooser.has_value()) {
        placement::AttemptEnd end{.completed = use.evidence == HealthEvidence::Answered};
        if (use.cachedTokens.has_value()) {
            end.cachedTokens = static_cast<uint32_t>(*use.cachedTokens);
        }
        pool.chooser->finished(useId, end, now);
    }
    m_native->pump(ended.pool, pool);
}

std::string TargetPool::statusJson() const
{
    json list = json::array();
    for (auto it = m_native->targets.begin(); it != m_native->targets.end(); ++it) {
        const TargetState &state = it->second;
        list.push_back({{"id", it->first},
                        {"eligible", m_native->health.isEligible(it->first)},
                        {"in_flight", state.inFlight},
                        {"running", state.report.running},
                        {"queued", state.report.queued},
                        {"incarnation", std::to_string(state.report.incarnation)},
                        {"models", state.report.models}});
    }
    return list.dump();
}

std::string TargetPool::explainJson(const TargetQuery &query)
{
    Pool &pool = m_native->poolOf(query);
    Waiting waiting{.query = std::make_shared<TargetQuery>(query)};
    waiting.chain = hashing::hashChain(
            {.organisation = query.organisation, .model = query.model, .adapter = query.adapter},
            query.prompt, pool.chainOptions);
    waiting.promptTokens = hashing::estimateTokens(query.prompt, pool.chainOptions);
    placement::Choice choice;
    const Selection selection = m_native->select(pool, waiting, choice);
    const json explained = {{"explanation", selection.explanation},
                            {"blocks", waiting.chain.size()},
                            {"prompt_tokens", waiting.promptTokens},
                            {"waiting", pool.queue.size()}};
    return explained.dump();
}

} // namespace teaseldrift::router
