#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "engine_model.hpp"
#include "outcome.hpp"
#include "scenario.hpp"
#include "teaseldrift/placement/dispatcher.hpp"
#include "teaseldrift/placement/routing_policy.hpp"
#include "timeline.hpp"
#include "workload.hpp"

namespace teaseldrift::bench {

/// @brief Intervals and delays of reports to the routers, and times at which routers act.
struct SimulationTiming
{
    Duration loadInterval = 500ms;
    Duration loadLag = 200ms;
    Duration eventInterval = 100ms;
    Duration minEventLag = 50ms;
    Duration maxEventLag = 300ms;
    double eventLoss = 0.005;
    Duration failureDetectionDelay = 20ms;
    Duration expiryInterval = 100ms;
    Duration retryDelay = 50ms;
    Duration hotPrefixInterval = 2s;
    /// Shortest time between the dispatch of a request and its deadline.
    Duration dispatchMargin = 1500ms;
};

/// @brief Runs a workload through routers that all use the same policy, in virtual time.
template <placement::RoutingPolicy Policy>
class Simulation
{
public:
    using PolicyFactory
            = std::function<Policy(uint32_t router, std::span<const std::unique_ptr<EngineModel>>)>;

    Simulation(const Site &site, const Scenario &scenario, std::span<const ModelRequest> requests,
               bool queueing, PolicyFactory makePolicy);

    const Outcome &run();

private:
    struct Router
    {
        Policy policy;
        placement::Dispatcher dispatcher;
        std::vector<placement::TargetView> views;
        std::vector<Instant> lastEventAt;
        std::mt19937_64 random;
        std::string zone;
    };

    EngineHooks makeHooks(uint32_t engine);
    void makeRouters();
    void scheduleArrivals(size_t index);
    void scheduleReports(uint32_t engine);
    void scheduleFaults();
    void expireQueues();
    void onArrival(const ModelRequest &request);
    void dispatchWaiting(uint32_t router);
    bool trySend(uint32_t router, const ModelRequest &request);
    void exchangeHotPrefixes();
    void send(uint32_t router, const ModelRequest &request, const placement::Choice &choice);
    void import(EngineJob job, uint32_t target, const placement::ImportPlan &plan, Duration delay);
    void reportLoad(uint32_t engine);
    void reportChanges(uint32_t engine);
    void updateView(Router &router, uint32_t engine, const placement::LoadReport &load,
                    uint64_t incarnation, uint32_t version);
    void restartRouters();
    void rollOutToNextEngine();
    void loadWhenIdle(uint32_t engine);
    Duration delayTo(const Router &router, uint32_t engine) const;

    Timeline m_timeline;
    const Site &m_site;
    const Scenario &m_scenario;
    std::span<const ModelRequest> m_requests;
    bool m_queueing;
    PolicyFactory m_makePolicy;
    SimulationTiming m_timing;
    Outcome m_outcome;
    std::vector<std::unique_ptr<EngineModel>> m_engines;
    std::vector<uint64_t> m_sequences;
    std::vector<Router> m_routers;
    std::mt19937_64 m_random{4};
    uint64_t m_attempts = 0;
    uint32_t m_nextRolloutEngine = 0;
    std::vector<bool> m_draining;
};

} // namespace teaseldrift::bench

#include "simulation_impl.hpp"
