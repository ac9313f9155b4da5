/// Use of the targets' speeds in their selection.

#include <algorithm>
#include <cmath>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/targets/target_selector.hpp"

namespace teaseldrift {

namespace {

/// Shorter prefills say little about the speed: the fixed part of the time prevails.
constexpr uint64_t minObservedTokens = 200;

/// Scale of the spreading cost, relative to the time to the first event at a target of the mean
/// speed. A larger one sends too many requests to slow targets, a smaller one lets long prompts
/// queue because all VMs choose the same targets.
constexpr double spread = 0.15;

/// Speeds in one message, at 8 bytes each: at most 256 bytes.
constexpr std::ptrdiff_t maxRecentPerMessage = 24;
constexpr size_t maxOthersPerMessage = 8;
/// A change is sent with all messages for this time: two intervals of the exchange in a large
/// region.
constexpr Duration changeAnnouncementTime = 500ms;

} // namespace

std::shared_ptr<PrefillCurve> TargetSelector::curveOf(const std::string &service)
{
    std::shared_ptr<PrefillCurve> &curve = m_curves[service];
    if (curve == nullptr) {
        curve = std::make_shared<PrefillCurve>(m_options.prefillTokensPerMs,
                                               toMs(m_options.firstEventTime));
    }
    return curve;
}

/// Time that a target takes at present for the prefill of one token.
double TargetSelector::msPerToken(const State &state, Instant now) const
{
    return state.speed.isReported() ? state.curve->msPerToken() * state.speed.factor(now)
                                    : 1.0 / m_options.prefillTokensPerMs;
}

/// Time to the first event of a request at a target besides prefill, without a queue.
double TargetSelector::firstEventMs(const State &state, Instant now) const
{
    return state.speed.isReported() ? state.curve->baseMs() * state.speed.factor(now)
                                    : toMs(m_options.firstEventTime);
}

/// Additional time of the parts of a request that take the same time at all targets of the mean
/// speed, and so are in no other term of the cost. Adds a random cost by target and request, so
/// that targets are chosen with a probability that falls exponentially with their cost: the load of
/// the other VMs is known late, and without it all of them would send to the same few targets
/// meanwhile.
/// @param tokens prompt tokens that no target holds
double TargetSelector::ownPrefillCostMs(const State &state, uint64_t tokens, uint64_t seed,
                                        Instant now) const
{
    if (!state.speed.isReported()) {
        return 0.0;
    }
    constexpr uint64_t multiplier = 0x9e3779b97f4a7c15U;
    constexpr int fractionShift = 40;
    constexpr double fractionRange = 1U << 24U;
    uint64_t hash = ((state.targetKey * multiplier) ^ seed) * multiplier;
    hash = (hash ^ (hash >> 32U)) * multiplier;
    const double fraction = (static_cast<double>(hash >> fractionShift) + 0.5) / fractionRange;
    return state.curve->expectedMs(static_cast<double>(tokens))
           * (state.speed.factor(now) - 1.0 + spread * std::log(-std::log(fraction)));
}

/// Whether no prompt is known to be queued at a target.
bool TargetSelector::isQueueEmpty(const State &state, Instant now) const
{
    if (state.backlogTokens > 0) {
        return false;
    }
    if (const InFlightLoad *others = peerLoad(state, now)) {
        return others->backlogTokens == 0;
    }
    return state.reportedAt != Instant() && now - state.reportedAt < m_options.loadReportMaxAge
           && state.report.waiting == 0;
}

void TargetSelector::observeSpeed(State &state, const TargetChoice &choice, Instant now)
{
    if (!choice.sentUnqueuedAt || !state.speed.isReported()
        || choice.prefillTokens < minObservedTokens) {
        return;
    }
    const double tokens = static_cast<double>(choice.prefillTokens);
    const double ms = toMs(now - *choice.sentUnqueuedAt);
    if (state.curve->isSettled()) {
        state.speed.observe(ms / state.curve->expectedMs(tokens), now);
    }
    state.curve->observe(tokens, ms);
}

std::shared_ptr<CongestionEstimator> TargetSelector::congestionOf(const std::string &service)
{
    std::shared_ptr<CongestionEstimator> &congestion = m_congestion[service];
    if (congestion == nullptr) {
        congestion = std::make_shared<CongestionEstimator>();
    }
    return congestion;
}

void TargetSelector::observeCongestion(const State &state, const TargetChoice &choice, Instant now)
{
    if (choice.firstEventByLoad > Duration(0)) {
        state.congestion->observe(now - choice.sentAt, choice.firstEventByLoad, now);
    }
}

/// Adds the delay that the known load does not explain to the expected wait. It is the same for
/// prompts of all lengths, so that long ones are not refused for their length.
void TargetSelector::addCongestion(const State &state, TargetChoice &choice, Instant now) const
{
    if (!state.speed.isReported()) {
        return;
    }
    const Duration idle = fromMs(static_cast<double>(choice.prefillTokens) * msPerToken(state, now)
                                 + firstEventMs(state, now));
    choice.firstEventByLoad = choice.expectedWait + idle;
    choice.expectedWait += state.congestion->delay(now);
}

std::vector<KnownTargetSpeed> TargetSelector::speeds(Instant now) const
{
    std::vector<KnownTargetSpeed> known;
    for (const std::pair<const std::string, State> &state : m_states) {
        if (const std::optional<SharedSpeed> speed = state.second.speed.shared(now)) {
            known.push_back({.id = state.first,
                             .targetKey = state.second.targetKey,
                             .speed = *speed,
                             .changedAt = state.second.speed.changedAt()});
        }
    }
    return known;
}

std::vector<KnownTargetSpeed> TargetSelector::speedsToSend(uint64_t seed, Instant now) const
{
    if (!m_knowsSpeeds) {
        return {};
    }
    std::vector<KnownTargetSpeed> known = speeds(now);
    const auto isRecent = [now](const KnownTargetSpeed &speed) {
        return speed.changedAt != Instant() && now - speed.changedAt < changeAnnouncementTime;
    };
    const auto others = std::partition(known.begin(), known.end(), isRecent);
    const auto lastRecent
            = known.begin() + std::min<std::ptrdiff_t>(others - known.begin(), maxRecentPerMessage);
    std::partial_sort(known.begin(), lastRecent, others,
                      [](const KnownTargetSpeed &left, const KnownTargetSpeed &right) {
                          return left.changedAt > right.changedAt;
                      });
    std::vector<KnownTargetSpeed> chosen(known.begin(), lastRecent);
    // Of those left, a run that begins anywhere.
    const size_t left = static_cast<size_t>(known.end() - lastRecent);
    const size_t first = left == 0 ? 0 : seed % left;
    for (size_t i = 0; i < std::min(left, maxOthersPerMessage); ++i) {
        chosen.push_back(*(lastRecent + static_cast<std::ptrdiff_t>((first + i) % left)));
    }
    return chosen;
}

void TargetSelector::applySpeed(uint32_t targetKey, const SharedSpeed &speed, Instant now)
{
    if (State *state = mutableState(idOf(targetKey))) {
        state->speed.merge(speed, now);
        m_knowsSpeeds = true;
    }
}

std::optional<double> TargetSelector::meanPrefillTokensPerMs(std::string_view service) const
{
    for (const std::pair<const std::string, State> &state : m_states) {
        if (state.second.service == service && state.second.speed.isReported()) {
            return 1.0 / state.second.curve->msPerToken();
        }
    }
    return std::nullopt;
}

} // namespace teaseldrift
