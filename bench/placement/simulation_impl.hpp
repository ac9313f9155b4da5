#pragma once

namespace teaseldrift::bench {

/// @brief Speed at which blocks move between engines, in tokens because the model has no block
/// sizes in bytes.
constexpr double importTokensPerSecond = 60000.0;
constexpr Duration importOverhead = 30ms;

template <placement::RoutingPolicy Policy>
Simulation<Policy>::Simulation(const Site &site, const Scenario &scenario,
                               std::span<const ModelRequest> requests, bool queueing,
                               PolicyFactory makePolicy)
    : m_site(site), m_scenario(scenario), m_requests(requests), m_queueing(queueing),
      m_makePolicy(std::move(makePolicy)), m_outcome(site, scenario, requests),
      m_sequences(site.engines), m_draining(site.engines)
{
    for (uint32_t engine = 0; engine < site.engines; ++engine) {
        m_engines.push_back(
                std::make_unique<EngineModel>(m_timeline, site, engine, makeHooks(engine)));
    }
    makeRouters();
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::makeRouters()
{
    m_routers.reserve(m_site.routers);
    for (uint32_t router = 0; router < m_site.routers; ++router) {
        m_routers.push_back({
                .policy = m_makePolicy(router, m_engines),
                .dispatcher = placement::Dispatcher({.queue = {.maxWaiting = 512}}),
                .views = {},
                .lastEventAt = std::vector<Instant>(m_site.engines),
                .random = std::mt19937_64(1000 + router),
                .zone = "zone-" + std::to_string(router % m_site.zones),
        });
        for (const std::unique_ptr<EngineModel> &engine : m_engines) {
            m_routers.back().views.push_back({
                    .id = engine->id(),
                    .incarnation = engine->incarnation(),
                    .weightsVersion = "1",
                    .availabilityZone = engine->zone(),
                    .slots = m_site.slots,
            });
        }
    }
}

template <placement::RoutingPolicy Policy>
EngineHooks Simulation<Policy>::makeHooks(uint32_t engine)
{
    return {
            .onPrefillStarted =
                    [this](const EngineJob &job) {
                        m_outcome.onPrefillStarted(*job.request, job.cachedBlocks,
                                                   job.importedBlocks);
                    },
            .onFirstToken =
                    [this, engine](const EngineJob &job) {
                        Router &router = m_routers[job.router];
                        m_timeline.after(delayTo(router, engine), [this, job] {
                            m_outcome.onFirstToken(*job.request, m_timeline.now());
                            m_routers[job.router].policy.firstToken(job.attempt, m_timeline.now());
                        });
                    },
            .onFinished =
                    [this, engine](const EngineJob &job) {
                        Router &router = m_routers[job.router];
                        m_timeline.after(delayTo(router, engine), [this, job] {
                            const placement::AttemptEnd end{.cachedTokens = job.cachedBlocks
                                                                            * m_site.blockTokens};
                            m_routers[job.router].policy.finished(job.attempt, end,
                                                                  m_timeline.now());
                            dispatchWaiting(job.router);
                        });
                    },
            .onFailed =
                    [this, engine](const EngineJob &job) {
                        m_timeline.after(m_timing.failureDetectionDelay, [this, engine, job] {
                            Router &router = m_routers[job.router];
                            router.policy.finished(job.attempt, {.completed = false},
                                                   m_timeline.now());
                            router.views[engine].accepting = false;
                            onArrival(*job.request);
                        });
                    },
    };
}

template <placement::RoutingPolicy Policy>
Duration Simulation<Policy>::delayTo(const Router &router, uint32_t engine) const
{
    constexpr Duration sameZone = 200us;
    return router.zone == m_engines[engine]->zone() ? sameZone : m_site.crossZoneDelay;
}

template <placement::RoutingPolicy Policy>
const Outcome &Simulation<Policy>::run()
{
    scheduleArrivals(0);
    for (uint32_t engine = 0; engine < m_site.engines; ++engine) {
        scheduleReports(engine);
    }
    scheduleFaults();
    m_timeline.runUntil(Instant(runLength + firstTokenDeadline));
    return m_outcome;
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::scheduleArrivals(size_t index)
{
    if (index >= m_requests.size()) {
        return;
    }
    m_timeline.at(m_requests[index].arrival, [this, index] {
        onArrival(m_requests[index]);
        scheduleArrivals(index + 1);
    });
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::onArrival(const ModelRequest &request)
{
    if (!m_queueing) {
        if (!trySend(request.router, request)) {
            m_timeline.after(m_timing.retryDelay, [this, &request] { onArrival(request); });
        }
        return;
    }
    const std::string organisation = organisationName(request.organisation);
    const placement::RequestView view{.chain = request.chain,
                                      .promptTokens = request.promptTokens,
                                      .outputTokens = request.outputTokens};
    m_routers[request.router].dispatcher.push(
            {.id = request.id,
             .organisation = organisation,
             .weight = organisationShares()[request.organisation],
             .costTokens = double{1} * request.promptTokens + request.outputTokens,
             .dispatchBy = request.arrival + firstTokenDeadline - m_timing.dispatchMargin},
            view, m_timeline.now());
    dispatchWaiting(request.router);
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::dispatchWaiting(uint32_t router)
{
    Router &from = m_routers[router];
    while (const std::optional<placement::Dispatch> dispatch
           = from.dispatcher.next(from.policy, from.views, m_timeline.now(), from.random)) {
        send(router, m_requests[dispatch->id], dispatch->choice);
    }
}

template <placement::RoutingPolicy Policy>
bool Simulation<Policy>::trySend(uint32_t router, const ModelRequest &request)
{
    Router &from = m_routers[router];
    const placement::RequestView view{.chain = request.chain,
                                      .promptTokens = request.promptTokens,
                                      .outputTokens = request.outputTokens};
    const placement::Choice choice
            = from.policy.choose(view, from.views, m_timeline.now(), from.random);
    if (choice.outcome != placement::ChoiceOutcome::Dispatch) {
        return false;
    }
    send(router, request, choice);
    return true;
}

/// Sends each router's hottest prefixes to the others, if the policy tracks them.
template <placement::RoutingPolicy Policy>
void Simulation<Policy>::exchangeHotPrefixes()
{
    if constexpr (requires(Policy & policy) { policy.hotPrefixes(Instant{}); }) {
        for (uint32_t from = 0; from < m_routers.size(); ++from) {
            const std::vector<placement::HotPrefix> localHotPrefixes
                    = m_routers[from].policy.hotPrefixes(m_timeline.now());
            for (uint32_t to = 0; to < m_routers.size(); ++to) {
                if (to != from) {
                    m_routers[to].policy.setPeerHotPrefixes(std::to_string(from), localHotPrefixes,
                                                            m_timeline.now());
                }
            }
        }
        m_timeline.after(m_timing.hotPrefixInterval, [this] { exchangeHotPrefixes(); });
    }
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::send(uint32_t router, const ModelRequest &request,
                              const placement::Choice &choice)
{
    Router &from = m_routers[router];
    const placement::RequestView view{.chain = request.chain,
                                      .promptTokens = request.promptTokens,
                                      .outputTokens = request.outputTokens};
    const uint32_t target = static_cast<uint32_t>(choice.target);
    const EngineJob job{.request = &request, .router = router, .attempt = ++m_attempts};
    from.policy.started(job.attempt, view, from.views[target], choice, m_timeline.now());
    const Duration delay = delayTo(from, target);
    if (choice.import) {
        import(job, target, *choice.import, delay);
        return;
    }
    m_timeline.after(delay, [this, target, job] { m_engines[target]->submit(job); });
}

/// Imports the blocks if the source still has them, then submits the request to the target.
template <placement::RoutingPolicy Policy>
void Simulation<Policy>::import(EngineJob job, uint32_t target, const placement::ImportPlan &plan,
                                Duration delay)
{
    const EngineModel &source = *m_engines[plan.source];
    const std::span<const hashing::BlockHash> chain = job.request->chain;
    const uint32_t end = plan.firstBlock + plan.blocks;
    const bool held = source.isUp() && source.incarnation() == plan.sourceIncarnation
                      && source.matchedBlocks(chain) >= end;
    const Duration transfer
            = importOverhead
              + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                      held ? plan.blocks * m_site.blockTokens / importTokensPerSecond : 0.0));
    m_timeline.after(delay + transfer, [this, job, target, end, held, chain]() mutable {
        EngineModel &engine = *m_engines[target];
        const uint32_t before = engine.matchedBlocks(chain);
        if (held && engine.isUp() && before < end) {
            engine.importBlocks(chain.first(end));
            job.importedBlocks = end - before;
        }
        engine.submit(job);
    });
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::scheduleReports(uint32_t engine)
{
    const Duration stagger = m_timing.loadInterval * engine / m_site.engines;
    m_timeline.at(Instant(stagger), [this, engine] { reportLoad(engine); });
    m_timeline.at(Instant(stagger), [this, engine] { reportChanges(engine); });
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::reportLoad(uint32_t engine)
{
    const EngineModel &model = *m_engines[engine];
    if (model.isUp()) {
        const placement::LoadReport load = model.load();
        const uint64_t incarnation = model.incarnation();
        const uint32_t version = model.weightsVersion() == "1" ? 1 : 2;
        m_timeline.after(m_timing.loadLag, [this, engine, load, incarnation, version] {
            for (uint32_t router = 0; router < m_routers.size(); ++router) {
                updateView(m_routers[router], engine, load, incarnation, version);
                dispatchWaiting(router);
            }
        });
    }
    m_timeline.after(m_timing.loadInterval, [this, engine] { reportLoad(engine); });
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::updateView(Router &router, uint32_t engine,
                                    const placement::LoadReport &load, uint64_t incarnation,
                                    uint32_t version)
{
    placement::TargetView &view = router.views[engine];
    view.load = load;
    view.incarnation = incarnation;
    view.weightsVersion = version == 1 ? "1" : "2";
    view.accepting = !m_draining[engine];
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::reportChanges(uint32_t engine)
{
    EngineModel &model = *m_engines[engine];
    const bool lostEntirely = m_timeline.now().time_since_epoch() >= m_scenario.eventsLostFrom;
    for (CacheChange &change : model.takeChanges()) {
        const uint64_t sequence = ++m_sequences[engine];
        const std::shared_ptr<CacheChange> shared
                = std::make_shared<CacheChange>(std::move(change));
        for (uint32_t router = 0; router < m_routers.size(); ++router) {
            const bool lost = std::bernoulli_distribution(m_timing.eventLoss)(m_random);
            const Duration lag
                    = m_timing.minEventLag
                      + Duration(m_random()
                                 % (m_timing.maxEventLag - m_timing.minEventLag).count());
            if (lost || lostEntirely) {
                continue;
            }
            Instant &last = m_routers[router].lastEventAt[engine];
            last = std::max(last, m_timeline.now() + lag);
            m_timeline.at(last, [this, router, engine, sequence, shared,
                                 incarnation = model.incarnation()] {
                m_routers[router].policy.onCacheEvent({.targetId = m_engines[engine]->id(),
                                                       .incarnation = incarnation,
                                                       .sequence = sequence,
                                                       .kind = shared->kind,
                                                       .blocks = shared->blocks},
                                                      m_timeline.now());
            });
        }
    }
    m_timeline.after(m_timing.eventInterval, [this, engine] { reportChanges(engine); });
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::scheduleFaults()
{
    for (const Duration when : m_scenario.routerRestarts) {
        m_timeline.at(Instant(when), [this] { restartRouters(); });
    }
    uint32_t crashed = 0;
    for (const Duration when : m_scenario.crashes) {
        const uint32_t engine = crashed++ * 3 % m_site.engines;
        m_timeline.at(Instant(when), [this, engine] {
            m_engines[engine]->crash();
            m_timeline.after(m_scenario.crashOutage,
                             [this, engine] { m_engines[engine]->restart(); });
        });
    }
    if (m_scenario.rolloutStart != Duration::max()) {
        m_timeline.at(Instant(m_scenario.rolloutStart), [this] {
            for (uint32_t i = 0; i < m_site.concurrentLoads; ++i) {
                rollOutToNextEngine();
            }
        });
    }
    m_timeline.after(m_timing.hotPrefixInterval, [this] { exchangeHotPrefixes(); });
    // Removes requests whose deadline has passed from the queues.
    m_timeline.after(m_timing.expiryInterval, [this] { expireQueues(); });
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::expireQueues()
{
    for (Router &router : m_routers) {
        router.dispatcher.expire(m_timeline.now());
    }
    m_timeline.after(m_timing.expiryInterval, [this] { expireQueues(); });
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::restartRouters()
{
    for (uint32_t router = 0; router < m_routers.size(); ++router) {
        m_routers[router].policy = m_makePolicy(router, m_engines);
        for (placement::TargetView &view : m_routers[router].views) {
            view.load = {};
        }
    }
}

/// Drains the next engine and loads the new weights once it is idle; the rollout then continues
/// with another engine.
template <placement::RoutingPolicy Policy>
void Simulation<Policy>::rollOutToNextEngine()
{
    if (m_nextRolloutEngine >= m_site.engines) {
        return;
    }
    const uint32_t engine = m_nextRolloutEngine++;
    m_draining[engine] = true;
    for (Router &router : m_routers) {
        router.views[engine].accepting = false;
    }
    loadWhenIdle(engine);
}

template <placement::RoutingPolicy Policy>
void Simulation<Policy>::loadWhenIdle(uint32_t engine)
{
    constexpr Duration idleCheck = 50ms;
    if (!m_engines[engine]->isIdle()) {
        m_timeline.after(idleCheck, [this, engine] { loadWhenIdle(engine); });
        return;
    }
    m_timeline.after(m_site.weightsLoadTime, [this, engine] {
        m_engines[engine]->loadWeights("2");
        m_draining[engine] = false;
        rollOutToNextEngine();
    });
}

} // namespace teaseldrift::bench
