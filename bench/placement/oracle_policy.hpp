#pragma once

#include <memory>
#include <span>
#include <vector>

#include "engine_model.hpp"
#include "teaseldrift/placement/routing_policy.hpp"

namespace teaseldrift::bench {

/// @brief Reference policy that reads the current cache and load of every engine directly and
/// selects the target with the longest match among those that have room.
class OraclePolicy
{
public:
    OraclePolicy(std::span<const std::unique_ptr<EngineModel>> engines, double inFlightPerSlot)
        : m_engines(engines), m_inFlightPerSlot(inFlightPerSlot)
    { }

    placement::Choice choose(const placement::RequestView &request,
                             std::span<const placement::TargetView> targets, Instant /*now*/,
                             std::mt19937_64 & /*generator*/)
    {
        placement::Choice choice{.outcome = placement::ChoiceOutcome::NoRoom};
        uint32_t bestBlocks = 0;
        uint32_t bestLoad = 0;
        for (size_t target = 0; target < targets.size(); ++target) {
            const placement::LoadReport load = m_engines[target]->load();
            const uint32_t inFlight = load.running + load.queued;
            if (!targets[target].accepting || !m_engines[target]->isUp()
                || inFlight >= m_inFlightPerSlot * targets[target].slots) {
                continue;
            }
            const uint32_t blocks = m_engines[target]->matchedOrPendingBlocks(request.chain);
            const bool first = choice.outcome == placement::ChoiceOutcome::NoRoom;
            if (first || blocks > bestBlocks || (blocks == bestBlocks && inFlight < bestLoad)) {
                choice.outcome = placement::ChoiceOutcome::Dispatch;
                choice.target = target;
                bestBlocks = blocks;
                bestLoad = inFlight;
            }
        }
        return choice;
    }

    void started(uint64_t, const placement::RequestView &, const placement::TargetView &,
                 const placement::Choice &, Instant)
    { }
    void firstToken(uint64_t, Instant) { }
    void finished(uint64_t, const placement::AttemptEnd &, Instant) { }
    void onCacheEvent(const placement::CacheEvent &, Instant) { }

private:
    std::span<const std::unique_ptr<EngineModel>> m_engines;
    double m_inFlightPerSlot;
};

static_assert(placement::RoutingPolicy<OraclePolicy>);

} // namespace teaseldrift::bench
