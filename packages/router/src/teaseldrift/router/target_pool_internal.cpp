#include "target_pool_internal.hpp"

namespace teaseldrift::router {

Selection selectServiceTarget(Pool &pool, const WaitingRequest &waiting, const TargetHealth &health)
{
    Selection selection;
    TargetState *best = nullptr;
    for (size_t i = 0; i < pool.targets.size(); ++i) {
        TargetState *state = pool.targets[(pool.roundRobinOffset + i) % pool.targets.size()];
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
        ++pool.roundRobinOffset;
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

} // namespace teaseldrift::router
