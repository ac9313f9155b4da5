#include "teaseldrift/rollout/rollout_controller.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

namespace {

/// Stands for all routes together.
constexpr uint32_t allRoutes = 0;

/// Targets that are avoided instead of rolling back: with more, the version is at fault.
constexpr size_t maxAvoided = 1;

/// Interval over which the rate of requests is measured.
constexpr Duration rateInterval = 1500ms;

/// Several targets at least, so that a fault of one can be told from one of the version. With two,
/// a bad version's first failures often come from one of them alone.
constexpr size_t minCanaryTargets = 3;

/// Ratio and difference of the rates of bad responses that are a finding if there are many.
constexpr double manyBadRatio = 2.0;
constexpr double manyBadDifference = 0.01;

bool contains(const std::vector<uint32_t> &keys, uint32_t key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

uint64_t increase(uint64_t from, uint64_t to)
{
    return to > from ? to - from : 0;
}

ResponseCounts maxOf(const ResponseCounts &left, const ResponseCounts &right)
{
    return {.responses = std::max(left.responses, right.responses),
            .failures = std::max(left.failures, right.failures),
            .timed = std::max(left.timed, right.timed),
            .slow = std::max(left.slow, right.slow)};
}

/// Logarithm of how much more likely the responses are at the bad rate than at the accepted one.
double logLikelihoodRatio(double responses, double bad, double accepted, double badRate)
{
    return bad * std::log(badRate / accepted)
           + (responses - bad) * std::log((1.0 - badRate) / (1.0 - accepted));
}

} // namespace

RolloutController::RolloutController(RolloutControllerOptions options, uint64_t order,
                                     Instant orderedAt, Duration duration)
    : m_options(options), m_order(order), m_orderedAt(orderedAt), m_duration(duration),
      m_updatedAt(orderedAt), m_canaryShare(options.bounds.exposureShare * options.canaryFraction),
      m_rateAt(orderedAt)
{ }

void RolloutController::resume(const RolloutAnnouncement &announcement)
{
    if (announcement.order.number != m_order) {
        return;
    }
    m_decision.avoided = announcement.avoided;
    m_isFull = announcement.share >= 1.0;
    m_decision.reason = "continued";
    if (announcement.state != RolloutState::Running) {
        end(announcement.state, "continued");
    }
}

void RolloutController::announced(uint64_t fencing, uint64_t sequence)
{
    m_fencing = fencing;
    m_sequence = sequence;
    m_isAnnounced = true;
}

/// Responses that have not been tested. A VM that is missing from the sum for a moment must not be
/// tested twice, and one that is gone must not hide the others' responses for long.
RolloutController::Deltas RolloutController::takeNew(const RolloutCounts &counts, Instant now)
{
    Deltas deltas;
    for (const std::pair<const EvidenceKey, ResponseCounts> &entry : counts.responses) {
        Tested &tested = m_tested[entry.first];
        const ResponseCounts &reported = entry.second;
        if (reported.responses < tested.counts.responses) {
            tested.smallerSince = tested.smallerSince.value_or(now);
            if (now - *tested.smallerSince >= m_options.incompleteTime) {
                tested = {.counts = reported};
            }
            continue;
        }
        tested.smallerSince.reset();
        deltas[entry.first] = {.responses = reported.responses - tested.counts.responses,
                               .failures = increase(tested.counts.failures, reported.failures),
                               .timed = increase(tested.counts.timed, reported.timed),
                               .slow = increase(tested.counts.slow, reported.slow)};
        tested.counts = maxOf(tested.counts, reported);
    }
    return deltas;
}

double RolloutController::acceptedRateOf(const Series &series) const
{
    const auto rateOf = [this](const OldRate &old, double prior) {
        return (old.bad + prior * m_options.acceptedRate) / (old.responses + prior);
    };
    return std::max({m_options.acceptedRate, rateOf(series.old, m_options.priorResponses),
                     rateOf(series.oldInBurst, m_options.priorResponsesOfBurst)});
}

void RolloutController::decayOldRates(Instant now)
{
    const auto decay = [age = now - m_updatedAt](OldRate &rate, Duration halfLife) {
        const double factor = std::exp2(-toSeconds(age) / toSeconds(halfLife));
        rate.responses *= factor;
        rate.bad *= factor;
    };
    for (std::pair<const SeriesKey, Series> &series : m_series) {
        decay(series.second.old, m_options.oldRateHalfLife);
        decay(series.second.oldInBurst, m_options.burstHalfLife);
    }
    m_updatedAt = now;
}

/// @param route empty for all routes
void RolloutController::addTo(Series &series, const Deltas &deltas, std::optional<uint32_t> route,
                              Fault fault)
{
    OldRate all;
    std::map<uint32_t, OldRate> byTarget;
    for (const std::pair<const EvidenceKey, ResponseCounts> &delta : deltas) {
        if (route && *route != delta.first.route) {
            continue;
        }
        const ResponseCounts &counts = delta.second;
        const bool isFailure = fault == Fault::Failure;
        // A sum that is incomplete may have more bad responses than responses.
        const auto responses = static_cast<double>(isFailure ? counts.responses : counts.timed);
        const double bad = std::min(responses,
                                    static_cast<double>(isFailure ? counts.failures : counts.slow));
        if (delta.first.target == EvidenceKey::oldVersion) {
            for (OldRate *old : {&series.old, &series.oldInBurst, &series.oldTotal}) {
                old->responses += responses;
                old->bad += bad;
            }
        } else if (!contains(m_decision.avoided, delta.first.target)) {
            for (OldRate *rate :
                 {&all, &byTarget[delta.first.target], &series.byTarget[delta.first.target]}) {
                rate->responses += responses;
                rate->bad += bad;
            }
            series.scoreWithout.try_emplace(delta.first.target, series.score);
        }
    }
    const double accepted = acceptedRateOf(series);
    // A version with twice the rate is bad also if the old version's rate is high.
    const double badRate = std::min((1.0 + accepted) / 2.0,
                                    std::max(accepted + m_options.rateDifference, 2.0 * accepted));
    const auto addScore = [&](double &score, const OldRate &rate) {
        score = std::max(0.0,
                         score + logLikelihoodRatio(rate.responses, rate.bad, accepted, badRate));
    };
    addScore(series.score, all);
    for (std::pair<const uint32_t, double> &without : series.scoreWithout) {
        const OldRate &own = byTarget[without.first];
        addScore(without.second,
                 {.responses = all.responses - own.responses, .bad = all.bad - own.bad});
    }
}

/// Whether many responses are bad, whatever their order, and also without the worst target.
bool RolloutController::hasManyBad(const Series &series) const
{
    OldRate all;
    OldRate worst;
    for (const std::pair<const uint32_t, OldRate> &target : series.byTarget) {
        all.responses += target.second.responses;
        all.bad += target.second.bad;
        if (target.second.bad > worst.bad) {
            worst = target.second;
        }
    }
    if (series.byTarget.size() > 1) {
        all.responses -= worst.responses;
        all.bad -= worst.bad;
    }
    const double oldRate = (series.oldTotal.bad + 1.0) / (series.oldTotal.responses + 1.0);
    return all.bad >= static_cast<double>(m_options.manyBadResponses)
           && all.bad / all.responses > manyBadRatio * oldRate + manyBadDifference;
}

void RolloutController::avoid(uint32_t target)
{
    m_decision.avoided.push_back(target);
    for (std::pair<const SeriesKey, Series> &entry : m_series) {
        Series &series = entry.second;
        const auto without = series.scoreWithout.find(target);
        series.score = without == series.scoreWithout.end() ? series.score : without->second;
        series.scoreWithout.erase(target);
        series.byTarget.erase(target);
        // The remaining targets' responses are not attributed to one of them.
        for (std::pair<const uint32_t, double> &other : series.scoreWithout) {
            other.second = std::min(other.second, series.score);
        }
    }
    m_decision.reason = "one target of the new version misbehaves and is avoided";
}

void RolloutController::evaluate(Series &series, Fault fault, size_t newTargets)
{
    const double thresholdOfOthers = -std::log(m_options.falsePositiveRateOfOthers);
    const std::string_view reason = fault == Fault::Failure ? "the new version fails more often"
                                                            : "the new version takes longer";
    if (hasManyBad(series)) {
        end(RolloutState::RolledBack, reason);
        return;
    }
    if (series.score < threshold()) {
        return;
    }
    const auto worst = std::min_element(series.scoreWithout.begin(), series.scoreWithout.end(),
                                        [](const std::pair<const uint32_t, double> &left,
                                           const std::pair<const uint32_t, double> &right) {
                                            return left.second < right.second;
                                        });
    const bool isOnlyOne = worst != series.scoreWithout.end()
                           && worst->first != EvidenceKey::otherTargets
                           && worst->second < thresholdOfOthers;
    if (isOnlyOne && m_decision.avoided.size() < maxAvoided
        && newTargets > m_decision.avoided.size() + 1) {
        avoid(worst->first);
        return;
    }
    end(RolloutState::RolledBack, reason);
}

void RolloutController::end(RolloutState state, std::string_view reason)
{
    m_decision = {.state = state,
                  .share = state == RolloutState::Completed ? 1.0 : 0.0,
                  .avoided = {},
                  .reason = reason};
}

bool RolloutController::hasEvidence() const
{
    const auto found = m_series.find({allRoutes, Fault::Failure});
    if (found == m_series.end()) {
        return false;
    }
    double responses = 0.0;
    for (const std::pair<const uint32_t, OldRate> &target : found->second.byTarget) {
        responses += target.second.responses;
    }
    return responses >= static_cast<double>(m_options.minResponses)
           && std::none_of(m_series.begin(), m_series.end(),
                           [this](const std::pair<const SeriesKey, Series> &series) {
                               return isDoubtful(series.second);
                           });
}

double RolloutController::threshold() const
{
    return -std::log(m_decision.avoided.empty() ? m_options.falsePositiveRate
                                                : m_options.falsePositiveRateAfterAvoiding);
}

/// Whether responses of more than one target are on the way to a finding.
bool RolloutController::isDoubtful(const Series &series) const
{
    if (series.score < -std::log(m_options.falsePositiveRate) * m_options.doubt) {
        return false;
    }
    const double thresholdOfOthers = -std::log(m_options.falsePositiveRateOfOthers);
    return std::all_of(series.scoreWithout.begin(), series.scoreWithout.end(),
                       [&](const std::pair<const uint32_t, double> &without) {
                           return without.second > thresholdOfOthers * m_options.doubt;
                       });
}

/// Whether the exposure stays within the bound if the new version gets all requests from a time on.
bool RolloutController::mayTakeAll(Instant from, Instant now) const
{
    const Instant end = m_orderedAt + m_duration;
    if (from
        < m_orderedAt + std::chrono::duration_cast<Duration>(m_duration * m_options.fullFrom)) {
        return false;
    }
    const double untilThen = m_rate * toSeconds(from - now);
    const double rest = m_rate * std::max(0.0, toSeconds(end - from));
    const double requests = static_cast<double>(m_requests);
    // Counters that are lost must not make the exposure appear smaller than the share.
    const double exposed = std::max(static_cast<double>(m_newRequests), m_canaryShare * requests)
                           + m_canaryShare * untilThen + rest;
    const RolloutBounds &bounds = m_options.bounds;
    return exposed <= bounds.exposureShare * (requests + untilThen + rest)
                              + bounds.exposureSlack * m_options.usedSlack;
}

/// Whether all VMs use the announcement with the full share and have no request at an old target.
bool RolloutController::isOldVersionFree(const RolloutInput &input) const
{
    return m_isAnnounced && input.counts.order == m_order && input.counts.vms >= input.vms
           && input.counts.oldInFlight == 0
           && std::tie(input.counts.fencing, input.counts.sequence)
                      >= std::tie(m_fencing, m_sequence);
}

void RolloutController::selectTargets(std::span<const uint32_t> newTargets)
{
    m_decision.targets.clear();
    if (m_isFull || newTargets.empty()) {
        return;
    }
    std::vector<std::pair<uint64_t, uint32_t>> ranked;
    for (const uint32_t key : newTargets) {
        if (!contains(m_decision.avoided, key)) {
            ranked.emplace_back(rendezvousKey(std::to_string(m_order) + '/' + std::to_string(key)),
                                key);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    const auto wanted = static_cast<size_t>(
            std::ceil(m_decision.share * static_cast<double>(newTargets.size())));
    const size_t count = std::min(ranked.size(), std::max(minCanaryTargets, wanted));
    for (size_t i = 0; i < count; ++i) {
        m_decision.targets.push_back(ranked[i].second);
    }
}

Instant RolloutController::decideAt() const
{
    return m_orderedAt + m_duration - m_options.decisionMargin;
}

/// Plans, begins or withdraws the last step.
void RolloutController::planFull(Instant now)
{
    std::optional<Instant> &planned = m_decision.fullFrom;
    if (!hasEvidence()) {
        m_decision.reason = planned ? "doubtful responses" : m_decision.reason;
        planned.reset();
        return;
    }
    if (planned) {
        m_isFull = now >= *planned;
        m_isAnnounced = m_isAnnounced && !m_isFull;
        return;
    }
    const Duration notice = std::min(m_options.fullNotice,
                                     std::max(m_options.minFullNotice, (decideAt() - now) / 2));
    if (now + notice <= decideAt() - m_options.minFullTime && mayTakeAll(now + notice, now)) {
        planned = now + notice;
        m_decision.reason = "no finding, and the rest of the time is within the exposure";
    }
}

void RolloutController::selectShare(const RolloutInput &input, Instant now)
{
    if (input.newTargets.size() <= m_decision.avoided.size()) {
        // Without targets the requests must not be bound to the new version.
        m_isFull = false;
        m_decision.fullFrom.reset();
        m_decision.share = 0.0;
        m_decision.reason = "the new version has no target";
    } else {
        if (!m_isFull) {
            planFull(now);
        }
        m_decision.share = m_isFull ? 1.0 : m_canaryShare;
    }
    selectTargets(input.newTargets);
}

/// Estimates the rate of requests: the average, or the smaller one of two recent rates if that is
/// larger. The sum of the counters may lack some VMs for a moment, and one recent rate alone is too
/// high when they are counted again.
void RolloutController::updateRate(const RolloutCounts &counts, Instant now)
{
    m_requests = std::max(m_requests, counts.requests);
    m_newRequests = std::max(m_newRequests, counts.newRequests);
    const Duration since = now - m_orderedAt;
    if (now - m_rateAt >= rateInterval) {
        const double recent
                = static_cast<double>(m_requests - m_rateRequests) / toSeconds(now - m_rateAt);
        m_rate = std::max(std::min(recent, m_lastRecentRate),
                          static_cast<double>(m_requests) / toSeconds(since));
        m_lastRecentRate = recent;
        m_rateRequests = m_requests;
        m_rateAt = now;
    }
    if (m_isCanaryShareFinal || since < m_options.rateKnownAfter || m_requests == 0) {
        return;
    }
    // In a small fleet the slack is a large part of the bound.
    m_isCanaryShareFinal = true;
    const double expected
            = static_cast<double>(m_requests) * (toSeconds(m_duration) / toSeconds(since));
    const RolloutBounds &bounds = m_options.bounds;
    m_canaryShare = std::min(
            bounds.exposureShare * m_options.maxCanaryFraction,
            m_options.canaryFraction
                    * (bounds.exposureShare
                       + bounds.exposureSlack * m_options.usedSlack / std::max(1.0, expected)));
}

const RolloutDecision &RolloutController::update(const RolloutInput &input, Instant now)
{
    if (m_decision.state != RolloutState::Running) {
        return m_decision;
    }
    if (input.counts.order == m_order) {
        updateRate(input.counts, now);
        decayOldRates(now);
        const Deltas deltas = takeNew(input.counts, now);
        for (const std::pair<const EvidenceKey, ResponseCounts> &delta : deltas) {
            for (const Fault fault : {Fault::Failure, Fault::Slow}) {
                m_series.try_emplace({delta.first.route, fault});
                m_series.try_emplace({allRoutes, fault});
            }
        }
        for (std::pair<const SeriesKey, Series> &series : m_series) {
            const uint32_t route = series.first.first;
            addTo(series.second, deltas, route == allRoutes ? std::nullopt : std::optional(route),
                  series.first.second);
        }
        for (std::pair<const SeriesKey, Series> &series : m_series) {
            evaluate(series.second, series.first.second, input.newTargets.size());
            if (m_decision.state != RolloutState::Running) {
                return m_decision;
            }
        }
    }
    if (m_isFull && isOldVersionFree(input)) {
        end(RolloutState::Completed, "no request is at an old target");
    } else if (now >= decideAt()) {
        const bool isGood = m_isFull && hasEvidence() && !input.newTargets.empty();
        end(isGood ? RolloutState::Completed : RolloutState::RolledBack,
            isGood          ? "the order's time is over"
            : hasEvidence() ? "the exposure did not allow all traffic within the order's time"
                            : "too little or doubtful evidence within the order's time");
    } else {
        selectShare(input, now);
    }
    return m_decision;
}

} // namespace teaseldrift
