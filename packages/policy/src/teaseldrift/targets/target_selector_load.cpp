/// Load of targets: what VMs and targets report, and the wait that follows from it.

#include <algorithm>
#include <limits>
#include <utility>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/targets/target_selector.hpp"

namespace teaseldrift {

namespace {

/// Cost of a target whose registration ended during a store outage.
constexpr double unconfirmedPenaltyMs = 500.0;

} // namespace

/// @return null if the other VMs' load is unknown or too old
const InFlightLoad *TargetSelector::peerLoad(const State &state, Instant now) const
{
    static constexpr InFlightLoad none;
    if (m_peerLoadAt == Instant() || now - m_peerLoadAt > m_options.peerLoadMaxAge) {
        return nullptr;
    }
    const InFlightLoadTable::const_iterator found = m_peerLoad.find(state.targetKey);
    return found == m_peerLoad.end() ? &none : &found->second;
}

double TargetSelector::waitMs(const State &state, uint32_t priority, Instant now) const
{
    double running = state.inFlight;
    double waiting = 0.0;
    double backlogTokens = static_cast<double>(state.backlogTokens);
    const InFlightLoad *others = peerLoad(state, now);
    // Past waits stand in for the other VMs' load only while that load is unknown.
    const Duration queueDelay = others != nullptr ? state.queue.longestPendingWait(priority, now)
                                                  : state.queue.expectedWait(priority, now);
    const double slots = std::max<double>(1.0, state.report.slots);
    if (others != nullptr) {
        running += others->requests;
        backlogTokens += others->backlogTokens;
        waiting = state.report.slots == 0 ? 0.0 : std::max(0.0, running - slots);
        running -= waiting;
    } else if (state.reportedAt != Instant()
               && now - state.reportedAt < m_options.loadReportMaxAge) {
        const double since
                = static_cast<double>(state.inFlight) - static_cast<double>(state.inFlightAtReport);
        const double all
                = std::max(0.0, static_cast<double>(state.report.running)
                                        + static_cast<double>(state.report.waiting) + since);
        running = std::max(running, all);
        waiting = std::max(0.0, running - slots);
        running = std::min(running, slots);
    }
    const double unconfirmedMs = state.isUnconfirmed ? unconfirmedPenaltyMs : 0.0;
    const double prefillMs = backlogTokens * msPerToken(state, now);
    const double factor = state.speed.factor(now);
    return unconfirmedMs + std::max(prefillMs, toMs(queueDelay))
           + running * toMs(m_options.costPerRunningRequest) * factor
           + waiting * toMs(m_options.costPerWaitingRequest) * factor;
}

void TargetSelector::sent(TargetChoice &choice, Instant now)
{
    State *state = mutableState(choice.id);
    if (state == nullptr) {
        return;
    }
    ++state->inFlight;
    choice.sentAt = now;
    m_health.sent(choice.id, now);
    m_quietPeriods.sent(choice.id, now);
    const double ownMs = choice.prefixes.empty() ? 0.0
                                                 : static_cast<double>(choice.prefillTokens)
                                                                   * msPerToken(*state, now)
                                                           + firstEventMs(*state, now);
    if (!choice.prefixes.empty() && isQueueEmpty(*state, now)) {
        choice.sentUnqueuedAt = now;
    }
    choice.ticket = state->queue.sent(choice.priority, fromMs(ownMs), now);
    state->backlogTokens += choice.prefillTokens;
    state->cache.expect(choice.prefixes, now);
    if (!choice.saveTo.empty() && choice.saveTo == m_cacheStoreAddress) {
        m_cacheStore.expect(sharedOf(choice.prefixes), now);
    }
}

void TargetSelector::prefillFinished(const TargetChoice &choice, Instant now, bool isFirstEvent)
{
    State *state = mutableState(choice.id);
    if (state != nullptr) {
        state->backlogTokens -= std::min(state->backlogTokens, choice.prefillTokens);
        state->queue.prefillFinished(choice.ticket, now);
        if (isFirstEvent) {
            observeSpeed(*state, choice, now);
            observeCongestion(*state, choice, now);
        }
        for (const SegmentEvent &event : state->cache.confirm(sharedOf(choice.prefixes))) {
            // Bounds the list when nothing takes the segments.
            constexpr size_t maxEntries = 1000;
            if (m_prefilledSegments.size() < maxEntries) {
                m_prefilledSegments.push_back({.targetKey = state->targetKey, .event = event});
            }
        }
    }
}

void TargetSelector::ended(const TargetChoice &choice, bool wasPrefilled)
{
    State *state = mutableState(choice.id);
    if (state == nullptr) {
        return;
    }
    state->inFlight -= std::min<uint32_t>(state->inFlight, 1);
    state->queue.dropped(choice.ticket);
    if (!wasPrefilled) {
        state->backlogTokens -= std::min(state->backlogTokens, choice.prefillTokens);
        state->cache.dropExpected(choice.prefixes);
    }
}

void TargetSelector::reportLoad(std::string_view id, const TargetLoadReport &report, Instant now)
{
    State *state = mutableState(id);
    if (state != nullptr) {
        state->report = report;
        state->reportedAt = now;
        state->inFlightAtReport = state->inFlight;
        if (report.workTimePercent) {
            state->speed.reportMomentary(*report.workTimePercent, now);
            m_knowsSpeeds = true;
        }
    }
}

InFlightLoadTable TargetSelector::inFlightLoad() const
{
    InFlightLoadTable load;
    for (const std::pair<const std::string, State> &state : m_states) {
        if (state.second.inFlight > 0) {
            load[state.second.targetKey]
                    += {.backlogTokens = static_cast<uint32_t>(std::min<uint64_t>(
                                state.second.backlogTokens, std::numeric_limits<uint32_t>::max())),
                        .requests = state.second.inFlight};
        }
    }
    return load;
}

void TargetSelector::setPeerLoad(InFlightLoadTable load, Instant now)
{
    m_peerLoad = std::move(load);
    m_peerLoadAt = now;
}

uint32_t TargetSelector::requestsAt(std::string_view id, Instant now) const
{
    const State *state = stateOf(id);
    if (state == nullptr) {
        return 0;
    }
    const InFlightLoad *others = peerLoad(*state, now);
    return state->inFlight + (others == nullptr ? 0 : others->requests);
}

} // namespace teaseldrift
