#include "teaseldrift/targets/target_selector.hpp"

#include <algorithm>
#include <utility>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/segments/cache_scopes.hpp"

namespace teaseldrift {

namespace {

/// Cost reduction for the first and the second target in a prefix's rendezvous ranking. The first
/// is about half of the prefill time of a prefix of several thousand tokens.
constexpr double primaryAffinityBonusMs = 20.0;
constexpr double secondaryAffinityBonusMs = 10.0;

/// Cost of a target that loads weights now: a last resort.
constexpr double loadingPenaltyMs = 2000.0;
/// Cost per time by which a request delays the target's load of weights. The target takes no other
/// requests meanwhile.
constexpr double loadDelayCostFactor = 0.02;
/// Cost of a target with older weights, since operators prefer answers of the newest version.
constexpr double outdatedWeightsPenaltyMs = 20.0;

uint64_t tokensOf(std::span<const PromptPrefix> prefixes)
{
    uint64_t tokens = 0;
    for (const PromptPrefix &prefix : prefixes) {
        tokens += prefix.tokens;
    }
    return tokens;
}

} // namespace

TargetSelector::TargetSelector(TargetSelectorOptions options)
    : m_options(std::move(options)), m_health(m_options.health),
      m_knowsSpeeds(m_options.speed.isAlwaysMeasured)
{ }

void TargetSelector::setService(const Service &service, double importTokensPerMs)
{
    m_services[service.name] = {.cacheTokens = service.cacheTokens,
                                .importTokensPerMs = importTokensPerMs,
                                .slots = service.slots};
}

void TargetSelector::setCacheStore(std::string_view address, uint64_t capacityTokens)
{
    if (m_cacheStoreAddress != address) {
        m_cacheStoreAddress = address;
        m_cacheStore = SegmentIndex(capacityTokens);
    }
}

void TargetSelector::update(const TargetEntry &target, TargetChange change, Instant now)
{
    const auto [found, isNew] = m_states.try_emplace(target.id);
    State &state = found->second;
    if (isNew || change == TargetChange::Restarted || state.service != target.service) {
        state = State();
        state.service = target.service;
        state.targetKey = targetKeyOf(target.id);
        state.speed = TargetSpeed(target.startedAtMs, m_options.speed);
        state.curve = curveOf(target.service);
        state.congestion = congestionOf(target.service);
        m_idsByKey[state.targetKey] = target.id;
        const auto capacity = m_services.find(target.service);
        if (capacity != m_services.end()) {
            state.cache = SegmentIndex(
                    static_cast<uint64_t>(static_cast<double>(capacity->second.cacheTokens)
                                          * m_options.usableCacheFraction));
        }
        m_health.removeTarget(target.id);
    }
    state.isUnconfirmed = change == TargetChange::Lapsed;
    if (change == TargetChange::Changed) {
        state.consecutiveRefusals = 0;
        state.avoidedUntil = Instant();
    }
    m_health.addTarget(target.id, target.service, now);
    m_health.setLeaving(target.id, target.isLeaving);
}

void TargetSelector::remove(std::string_view id)
{
    m_health.removeTarget(id);
    const auto found = m_states.find(id);
    if (found != m_states.end()) {
        m_idsByKey.erase(found->second.targetKey);
        m_states.erase(found);
    }
}

double TargetSelector::crossZoneCostMs(const TargetEntry &target) const
{
    return target.availabilityZone == m_options.availabilityZone ? 0.0
                                                                 : toMs(m_options.crossZoneCost);
}

const TargetSelector::State *TargetSelector::stateOf(std::string_view id) const
{
    const auto found = m_states.find(id);
    return found == m_states.end() ? nullptr : &found->second;
}

TargetSelector::State *TargetSelector::mutableState(std::string_view id)
{
    const auto found = m_states.find(id);
    return found == m_states.end() ? nullptr : &found->second;
}

/// The first two targets in the rendezvous ranking for a prefix, which is the same on all VMs.
struct TargetSelector::PreferredTargets
{
    std::string_view first;
    std::string_view second;

    [[nodiscard]] double affinityBonusMs(std::string_view id) const
    {
        if (id == first) {
            return primaryAffinityBonusMs;
        }
        return id == second ? secondaryAffinityBonusMs : 0.0;
    }
};

TargetSelector::PreferredTargets
TargetSelector::preferredTargetsOf(const std::vector<const TargetEntry *> &targets,
                                   const TargetQuery &query, Instant now) const
{
    PreferredTargets preferred;
    if (query.model.empty()) {
        return preferred;
    }
    // The key leaves out the weights version and the organisations that share KV cache, so that a
    // rollout or an organisation that becomes isolated does not move the others' prefixes.
    const std::vector<PromptPrefix> prefixes
            = prefixesOf(query.segments, query.isolatedOrganisation);
    const std::span<const PromptPrefix> shared = sharedOf(prefixes);
    const uint64_t key = shared.empty() ? query.seed : shared.back().key;
    double firstScore = 0.0;
    double secondScore = 0.0;
    for (const TargetEntry *target : targets) {
        const double score
                = m_health.isEligible(target->id, now) ? rendezvousScore(key, target->id) : 0.0;
        if (score > firstScore) {
            secondScore = std::exchange(firstScore, score);
            preferred.second = std::exchange(preferred.first, target->id);
        } else if (score > secondScore) {
            secondScore = score;
            preferred.second = target->id;
        }
    }
    return preferred;
}

/// Cost of a target with older weights. A request that still runs when the target is to load new
/// weights delays the load, and no other request may start there meanwhile.
double TargetSelector::rolloutCostMs(const State &state, uint64_t weights, const TargetQuery &query,
                                     Instant now) const
{
    if (weights >= query.newestWeights) {
        return 0.0;
    }
    const auto known = m_rolloutPlans.find(query.model);
    if (known == m_rolloutPlans.end()
        || now - known->second.announcedAt > m_options.rolloutPlanMaxAge) {
        return outdatedWeightsPenaltyMs;
    }
    const std::optional<size_t> batches = known->second.plan.batchesUntilLoad(state.targetKey);
    if (!batches) {
        return outdatedWeightsPenaltyMs;
    }
    if (*batches == 0) {
        return loadingPenaltyMs;
    }
    const Duration untilLoad = m_options.rolloutBatchTime * (static_cast<int64_t>(*batches) - 1);
    const Duration loadDelay = std::max(Duration(0), query.expectedRun - untilLoad);
    return outdatedWeightsPenaltyMs + toMs(loadDelay) * loadDelayCostFactor;
}

std::span<const PromptPrefix> TargetSelector::PrefixAvailability::shared() const
{
    return sharedOf(prefixes);
}

TargetSelector::PrefixAvailability
TargetSelector::prefixAvailabilityOf(const std::vector<const TargetEntry *> &targets,
                                     const TargetQuery &query, uint64_t weights, Instant now) const
{
    PrefixAvailability availability{
            .prefixes
            = prefixesOf(query.segments, cacheSalt(query.model, weights, query.cacheScope))};
    const std::span<const PromptPrefix> shared = availability.shared();
    availability.sharedTokens = tokensOf(shared);
    if (!m_cacheStoreAddress.empty()) {
        availability.storedTokens
                = m_cacheStore.heldTokens(shared, SegmentCertainty::Confirmed, now);
        availability.importableTokens = availability.storedTokens;
        availability.importSource = availability.storedTokens > 0 ? m_cacheStoreAddress : "";
        availability.isStored = m_cacheStore.heldTokens(shared, SegmentCertainty::Expected, now)
                                == availability.sharedTokens;
    }
    for (const TargetEntry *target : targets) {
        const State *state = stateOf(target->id);
        if (state == nullptr || !m_health.isEligible(target->id, now) || isQuiet(*target, now)) {
            continue;
        }
        const uint64_t confirmed
                = state->cache.heldTokens(shared, SegmentCertainty::Confirmed, now);
        const uint64_t expected = state->cache.heldTokens(shared, SegmentCertainty::Expected, now);
        availability.isBeingPrefilled = availability.isBeingPrefilled || expected > confirmed;
        // Prefers a target of this availability zone to the KV cache store, which serves the fleet.
        const bool isNear = target->availabilityZone == m_options.availabilityZone;
        if (confirmed > availability.importableTokens
            || (isNear && confirmed == availability.importableTokens && confirmed > 0)) {
            availability.importableTokens = confirmed;
            availability.importSource = target->address;
        }
    }
    return availability;
}

/// Cost of making the shared prefix available on a target: import, then prefill of the rest.
/// Prefill is weighted by duplicatePrefillFactor if a target already computes the prefix or another
/// target is preferred for it.
double TargetSelector::cacheCostMs(const PrefixAvailability &availability, uint64_t heldTokens,
                                   double importRate, double msPerToken, bool isPrimary) const
{
    const uint64_t importable = importRate > 0.0 && availability.importableTokens > heldTokens
                                        ? availability.importableTokens - heldTokens
                                        : 0;
    const double importMs
            = importable == 0 ? 0.0 : 1.0 + static_cast<double>(importable) / importRate;
    const double missingTokens
            = static_cast<double>(availability.sharedTokens - heldTokens - importable);
    const double prefillMs = missingTokens * msPerToken;
    const bool isDuplicatePrefill = availability.isBeingPrefilled || !isPrimary;
    return importMs + prefillMs * (isDuplicatePrefill ? m_options.duplicatePrefillFactor : 1.0);
}

/// Whether a target may take the request, apart from its quiet period.
bool TargetSelector::mayTake(const TargetEntry &target, const TargetQuery &query, Instant now) const
{
    const State *state = stateOf(target.id);
    if (state == nullptr || !m_health.isEligible(target.id, now)
        || (query.versionRule != nullptr
            && !query.versionRule->allows(target.softwareVersion, state->targetKey))) {
        return false;
    }
    const auto weights = target.weights.find(query.model);
    return query.model.empty()
           || (weights != target.weights.end() && weights->second >= query.minWeights);
}

/// Earliest time at which a target may be sent a request; not after `now` if at once.
Instant TargetSelector::availableFrom(const TargetEntry &target, Instant now) const
{
    const Instant from = m_quietPeriods.availableFrom(target.id, target.startedAtMs, now);
    const State *state = stateOf(target.id);
    return state == nullptr ? from : std::max(from, state->permitAvailableFrom);
}

std::optional<TargetAvailability> TargetSelector::availableFrom(const TargetDirectory &directory,
                                                                const TargetQuery &query,
                                                                Instant now) const
{
    std::optional<TargetAvailability> earliest;
    for (const TargetEntry *target : directory.ofService(query.service)) {
        if (mayTake(*target, query, now)) {
            const Instant from = availableFrom(*target, now);
            if (!earliest || from < earliest->from) {
                earliest = {.from = from, .target = target->id, .startedAtMs = target->startedAtMs};
            }
        }
    }
    return earliest;
}

void TargetSelector::setPermitAvailable(std::string_view id, Instant from)
{
    if (State *state = mutableState(id)) {
        state->permitAvailableFrom = from;
    }
}

std::string_view TargetSelector::idOf(uint32_t targetKey) const
{
    const std::map<uint32_t, std::string>::const_iterator found = m_idsByKey.find(targetKey);
    return found == m_idsByKey.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<TargetChoice> TargetSelector::choose(const TargetDirectory &directory,
                                                   const TargetQuery &query, Instant now) const
{
    const std::vector<const TargetEntry *> &targets = directory.ofService(query.service);
    std::map<uint64_t, PrefixAvailability> availabilityByWeights;
    const auto capacity = m_services.find(query.service);
    const double importRate
            = capacity == m_services.end() ? 0.0 : capacity->second.importTokensPerMs;
    const PreferredTargets preferred = preferredTargetsOf(targets, query, now);
    std::optional<Candidate> best;
    std::optional<Candidate> avoided;
    for (const TargetEntry *target : targets) {
        const State *state = stateOf(target->id);
        const bool isExcluded = std::find(query.excluded.begin(), query.excluded.end(), target->id)
                                != query.excluded.end();
        const bool isPermitted = target->id == query.permitted;
        const Instant from
                = isPermitted ? m_quietPeriods.availableFrom(target->id, target->startedAtMs, now)
                              : availableFrom(*target, now);
        if (isExcluded || !mayTake(*target, query, now) || from > now) {
            continue;
        }
        Candidate candidate{.target = target, .state = state};
        candidate.costMs = waitMs(*state, query.priority, now) + crossZoneCostMs(*target);
        if (!query.model.empty()) {
            candidate.weights = target->weights.find(query.model)->second;
            auto availability = availabilityByWeights.find(candidate.weights);
            if (availability == availabilityByWeights.end()) {
                availability = availabilityByWeights
                                       .emplace(candidate.weights,
                                                prefixAvailabilityOf(targets, query,
                                                                     candidate.weights, now))
                                       .first;
            }
            candidate.heldTokens = state->cache.heldTokens(availability->second.shared(),
                                                           SegmentCertainty::Expected, now);
            candidate.costMs += cacheCostMs(availability->second, candidate.heldTokens, importRate,
                                            msPerToken(*state, now), target->id == preferred.first);
            candidate.costMs
                    += ownPrefillCostMs(*state, availability->second.ownTokens(), query.seed, now);
            // Without a prefix to share, targets of known speed are spread by ownPrefillCostMs().
            if (!state->speed.isReported() || availability->second.sharedTokens > 0) {
                candidate.costMs -= preferred.affinityBonusMs(target->id);
            }
            candidate.costMs += rolloutCostMs(*state, candidate.weights, query, now);
        } else {
            constexpr uint64_t jitterSteps = 1024;
            candidate.costMs
                    += static_cast<double>((rendezvousKey(target->id) ^ query.seed) % jitterSteps)
                       / static_cast<double>(jitterSteps);
        }
        if (isPermitted) {
            best = candidate;
            break;
        }
        std::optional<Candidate> &cheapest = now < state->avoidedUntil ? avoided : best;
        if (!cheapest || candidate.costMs < cheapest->costMs) {
            cheapest = candidate;
        }
    }
    const std::optional<Candidate> &chosen = best ? best : avoided;
    if (!chosen) {
        return std::nullopt;
    }
    TargetChoice choice{.id = chosen->target->id,
                        .address = chosen->target->address,
                        .startedAtMs = chosen->target->startedAtMs};
    choice.expectedWait = fromMs(waitMs(*chosen->state, query.priority, now));
    if (peerLoad(*chosen->state, now) != nullptr) {
        choice.loadAge = now - m_peerLoadAt;
    }
    choice.priority = query.priority;
    if (!query.model.empty()) {
        const PrefixAvailability &availability = availabilityByWeights.at(chosen->weights);
        choice.weights = chosen->weights;
        choice.cacheSalt = cacheSalt(query.model, chosen->weights, query.cacheScope);
        choice.prefixes = availability.prefixes;
        addImport(choice, availability, chosen->heldTokens);
        addCongestion(*chosen->state, choice, now);
    }
    return choice;
}

void TargetSelector::addImport(TargetChoice &choice, const PrefixAvailability &availability,
                               uint64_t heldTokens) const
{
    if (availability.sharedTokens == 0) {
        choice.prefillTokens = tokensOf(choice.prefixes);
        return;
    }
    const uint64_t importable
            = availability.importSource.empty() ? 0 : availability.importableTokens;
    choice.prefillTokens = tokensOf(choice.prefixes) - std::max(heldTokens, importable);
    // The KV cache store is queried even if it is not known to hold the prefix: a miss costs at
    // most 1 ms.
    if (availability.importSource != choice.address && importable > 0) {
        choice.importFrom = availability.importSource;
    } else if (!m_cacheStoreAddress.empty()) {
        choice.importFrom = m_cacheStoreAddress;
    }
    // The store saves the whole prompt, so a long segment that nothing shares would evict others.
    const uint64_t ownTokens = choice.prefixes.back().tokens;
    if (!m_cacheStoreAddress.empty() && !availability.isStored
        && ownTokens <= availability.sharedTokens) {
        choice.saveTo = m_cacheStoreAddress;
    }
}

SegmentIndex *TargetSelector::cacheOf(std::string_view id)
{
    if (id.empty()) {
        return &m_cacheStore;
    }
    State *state = mutableState(id);
    return state == nullptr ? nullptr : &state->cache;
}

void TargetSelector::applyCacheEvents(std::string_view id, std::span<const SegmentEvent> events)
{
    SegmentIndex *cache = cacheOf(id);
    if (cache == nullptr) {
        return;
    }
    cache->setEventsFollowed(true);
    for (const SegmentEvent &event : events) {
        cache->apply(event);
    }
}

void TargetSelector::applyPrefilledSegments(std::span<const PrefilledSegment> prefilled)
{
    for (const PrefilledSegment &segment : prefilled) {
        if (State *state = mutableState(idOf(segment.targetKey))) {
            state->cache.apply(segment.event);
        }
    }
}

void TargetSelector::clearCache(std::string_view id)
{
    if (SegmentIndex *cache = cacheOf(id)) {
        cache->clear();
    }
}

void TargetSelector::clearCaches()
{
    m_cacheStore.clear();
    for (std::pair<const std::string, State> &state : m_states) {
        state.second.cache.clear();
    }
}

bool TargetSelector::setRolloutPlan(const RolloutPlan &plan, Instant announcedAt)
{
    AnnouncedRolloutPlan &known = m_rolloutPlans[plan.model];
    const bool isNew = plan.supersedes(known.plan);
    if (isNew || (!known.plan.supersedes(plan) && announcedAt > known.announcedAt)) {
        known = {.plan = plan, .announcedAt = announcedAt};
    }
    return isNew;
}

std::vector<AnnouncedRolloutPlan> TargetSelector::rolloutPlans(Instant now) const
{
    std::vector<AnnouncedRolloutPlan> plans;
    for (const std::pair<const std::string, AnnouncedRolloutPlan> &plan : m_rolloutPlans) {
        if (now - plan.second.announcedAt <= m_options.rolloutPlanMaxAge) {
            plans.push_back(plan.second);
        }
    }
    return plans;
}

void TargetSelector::accepted(std::string_view id, Instant now)
{
    m_quietPeriods.accepted(id, now);
    State *state = mutableState(id);
    if (state != nullptr) {
        state->consecutiveRefusals = 0;
        state->avoidedUntil = Instant();
    }
}

void TargetSelector::refused(std::string_view id, Instant now)
{
    State *state = mutableState(id);
    if (state == nullptr || now < state->avoidedUntil) {
        return;
    }
    Duration pause = m_options.refusalBackoff;
    for (uint32_t i = 0; i < state->consecutiveRefusals && pause < m_options.maxRefusalBackoff;
         ++i) {
        pause *= 2;
    }
    ++state->consecutiveRefusals;
    state->avoidedUntil = now + std::min(pause, m_options.maxRefusalBackoff);
}

} // namespace teaseldrift
