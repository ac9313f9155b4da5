#include "teaseldrift/targets/target_book.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

namespace {

/// Wait that the agreed place of a prefix is worth: half of the time that an engine takes to read
/// a prefix of some thousand tokens.
constexpr double firstPlaceMs = 20.0;
constexpr double secondPlaceMs = 10.0;

/// Cost of a target that is about to load weights, or does so now: only better than none.
constexpr double loadingMs = 2000.0;
/// Cost of a target whose registration ended while the store was away.
constexpr double doubtfulMs = 500.0;
/// Cost of holding up a load, as a part of that time: others could read prompts there.
constexpr double holdUpPart = 0.02;
/// Cost of another target with older weights: its answers are worth less to the operators.
constexpr double oldWeightsMs = 20.0;

/// Prefixes that other requests may share: all but the last part, which is the request's own.
std::span<const PromptPrefix> sharedOf(std::span<const PromptPrefix> prefixes)
{
    return prefixes.empty() ? prefixes : prefixes.first(prefixes.size() - 1);
}

uint64_t tokensOf(std::span<const PromptPrefix> prefixes)
{
    uint64_t tokens = 0;
    for (const PromptPrefix &prefix : prefixes) {
        tokens += prefix.tokens;
    }
    return tokens;
}

} // namespace

TargetBook::TargetBook(TargetBookOptions options)
    : m_options(std::move(options)), m_health(m_options.health)
{ }

void TargetBook::setService(const Service &service, double importTokensPerMs)
{
    m_services[service.name] = {.cacheTokens = service.cacheTokens,
                                .importTokensPerMs = importTokensPerMs,
                                .slots = service.slots};
}

void TargetBook::setCacheStore(std::string_view address, uint64_t roomTokens)
{
    if (m_cacheStoreAddress != address) {
        m_cacheStoreAddress = address;
        m_cacheStore = PartCache(roomTokens);
    }
}

void TargetBook::update(const TargetEntry &target, TargetChange change, Instant now)
{
    const auto [found, isNew] = m_states.try_emplace(target.id);
    State &state = found->second;
    if (isNew || change == TargetChange::Restarted || state.service != target.service) {
        state = State();
        state.service = target.service;
        state.workKey = targetWorkKey(target.id);
        m_idsByKey[state.workKey] = target.id;
        const auto facts = m_services.find(target.service);
        if (facts != m_services.end()) {
            state.cache = PartCache(static_cast<uint64_t>(
                    static_cast<double>(facts->second.cacheTokens) * m_options.cachePart));
        }
        m_health.removeTarget(target.id);
    }
    state.isDoubtful = change == TargetChange::Lapsed;
    if (change == TargetChange::Changed) {
        state.refusalsInRow = 0;
        state.avoidUntil = Instant();
    }
    m_health.addTarget(target.id, target.service, now);
    m_health.setLeaving(target.id, target.isLeaving);
}

void TargetBook::remove(std::string_view id)
{
    m_health.removeTarget(id);
    const auto found = m_states.find(id);
    if (found != m_states.end()) {
        m_idsByKey.erase(found->second.workKey);
        m_states.erase(found);
    }
}

/// @return null if it is not known now
const TargetWork *TargetBook::othersWork(const State &state, Instant now) const
{
    static constexpr TargetWork none;
    if (m_othersWorkAt == Instant() || now - m_othersWorkAt > m_options.othersAge) {
        return nullptr;
    }
    const WorkTable::const_iterator found = m_othersWork.find(state.workKey);
    return found == m_othersWork.end() ? &none : &found->second;
}

double TargetBook::waitMs(const State &state, uint32_t priority, Instant now) const
{
    double running = state.inFlight;
    double waiting = 0.0;
    double unread = static_cast<double>(state.tokensAhead);
    const TargetWork *others = othersWork(state, now);
    // Past waits tell of work that this VM cannot see.
    const Duration queue = others != nullptr ? state.queue.overdue(priority, now)
                                             : state.queue.expected(priority, now);
    const double slots = std::max<double>(1.0, state.report.slots);
    if (others != nullptr) {
        running += others->requests;
        unread += others->unreadTokens;
        waiting = state.report.slots == 0 ? 0.0 : std::max(0.0, running - slots);
        running -= waiting;
    } else if (state.reportedAt != Instant() && now - state.reportedAt < m_options.reportAge) {
        const double since
                = static_cast<double>(state.inFlight) - static_cast<double>(state.inFlightAtReport);
        const double all
                = std::max(0.0, static_cast<double>(state.report.running)
                                        + static_cast<double>(state.report.waiting) + since);
        running = std::max(running, all);
        waiting = std::max(0.0, running - slots);
        running = std::min(running, slots);
    }
    const double doubtMs = state.isDoubtful ? doubtfulMs : 0.0;
    const double readMs = unread / m_options.promptTokensPerMs;
    return doubtMs + std::max(readMs, toMs(queue)) + running * toMs(m_options.perRunningRequest)
           + waiting * toMs(m_options.perWaitingRequest);
}

double TargetBook::zoneMs(const TargetEntry &target) const
{
    return target.availabilityZone == m_options.availabilityZone ? 0.0 : toMs(m_options.zoneDelay);
}

std::string TargetBook::saltOf(const TargetQuery &query, uint64_t weights)
{
    std::string salt(query.model);
    salt += '/';
    salt += std::to_string(weights);
    if (!query.wall.empty()) {
        salt += '/';
        salt += query.wall;
    }
    return salt;
}

const TargetBook::State *TargetBook::stateOf(std::string_view id) const
{
    const auto found = m_states.find(id);
    return found == m_states.end() ? nullptr : &found->second;
}

TargetBook::State *TargetBook::mutableState(std::string_view id)
{
    const auto found = m_states.find(id);
    return found == m_states.end() ? nullptr : &found->second;
}

/// The targets that all VMs put first and second for a prefix.
struct TargetBook::Places
{
    std::string_view first;
    std::string_view second;

    [[nodiscard]] double bonusMs(std::string_view id) const
    {
        if (id == first) {
            return firstPlaceMs;
        }
        return id == second ? secondPlaceMs : 0.0;
    }
};

TargetBook::Places TargetBook::placesOf(const std::vector<const TargetEntry *> &targets,
                                        const TargetQuery &query) const
{
    Places places;
    if (query.model.empty()) {
        return places;
    }
    // Without the weights version, so that a roll of weights moves no prefix.
    const std::vector<PromptPrefix> prefixes = prefixesOf(query.parts, query.wall);
    const std::span<const PromptPrefix> shared = sharedOf(prefixes);
    const uint64_t key = shared.empty() ? query.seed : shared.back().key;
    double firstScore = 0.0;
    double secondScore = 0.0;
    for (const TargetEntry *target : targets) {
        const double score
                = m_health.isEligible(target->id) ? rendezvousScore(key, target->id) : 0.0;
        if (score > firstScore) {
            secondScore = std::exchange(firstScore, score);
            places.second = std::exchange(places.first, target->id);
        } else if (score > secondScore) {
            secondScore = score;
            places.second = target->id;
        }
    }
    return places;
}

/// Cost of a target's older weights. What still runs when its turn to load comes holds it up, and
/// nothing else may begin there meanwhile.
double TargetBook::rollMs(const State &state, uint64_t weights, const TargetQuery &query,
                          Instant now) const
{
    if (weights >= query.newestWeights) {
        return 0.0;
    }
    const auto known = m_rollPlans.find(query.model);
    if (known == m_rollPlans.end() || now - known->second.statedAt > m_options.planAge) {
        return oldWeightsMs;
    }
    const std::optional<size_t> turns = known->second.plan.turnsUntil(state.workKey);
    if (!turns) {
        return oldWeightsMs;
    }
    if (*turns == 0) {
        return loadingMs;
    }
    const Duration untilOrder = m_options.turnTime * (static_cast<int64_t>(*turns) - 1);
    const Duration holdUp = std::max(Duration(0), query.expectedRun - untilOrder);
    return oldWeightsMs + toMs(holdUp) * holdUpPart;
}

std::span<const PromptPrefix> TargetBook::Prompt::shared() const
{
    return sharedOf(prefixes);
}

TargetBook::Prompt TargetBook::promptOf(const std::vector<const TargetEntry *> &targets,
                                        const TargetQuery &query, uint64_t weights,
                                        Instant now) const
{
    Prompt prompt{.prefixes = prefixesOf(query.parts, saltOf(query, weights))};
    const std::span<const PromptPrefix> shared = prompt.shared();
    prompt.sharedTokens = tokensOf(shared);
    if (!m_cacheStoreAddress.empty()) {
        prompt.storedTokens = m_cacheStore.heldTokens(shared, PartCertainty::Confirmed, now);
        prompt.importableTokens = prompt.storedTokens;
        prompt.source = prompt.storedTokens > 0 ? m_cacheStoreAddress : "";
        prompt.isStored = m_cacheStore.heldTokens(shared, PartCertainty::Expected, now)
                          == prompt.sharedTokens;
    }
    for (const TargetEntry *target : targets) {
        const State *state = stateOf(target->id);
        if (state == nullptr || !m_health.isEligible(target->id)) {
            continue;
        }
        const uint64_t confirmed = state->cache.heldTokens(shared, PartCertainty::Confirmed, now);
        const uint64_t expected = state->cache.heldTokens(shared, PartCertainty::Expected, now);
        prompt.isBeingRead = prompt.isBeingRead || expected > confirmed;
        // A target near by rather than the store, which serves all.
        const bool isNear = target->availabilityZone == m_options.availabilityZone;
        if (confirmed > prompt.importableTokens
            || (isNear && confirmed == prompt.importableTokens && confirmed > 0)) {
            prompt.importableTokens = confirmed;
            prompt.source = target->address;
        }
    }
    return prompt;
}

/// Time that a target needs to get hold of the shared prefix, with the cost of reading it twice.
double TargetBook::cacheMs(const Prompt &prompt, uint64_t held, double importRate,
                           bool isFirstPlace) const
{
    const uint64_t importable = importRate > 0.0 && prompt.importableTokens > held
                                        ? prompt.importableTokens - held
                                        : 0;
    const double importMs
            = importable == 0 ? 0.0 : 1.0 + static_cast<double>(importable) / importRate;
    const double unread = static_cast<double>(prompt.sharedTokens - held - importable);
    const double readMs = unread / m_options.promptTokensPerMs;
    const bool isReadElsewhere = prompt.isBeingRead || !isFirstPlace;
    return importMs + readMs * (isReadElsewhere ? m_options.rereadFactor : 1.0);
}

std::optional<TargetChoice> TargetBook::choose(const TargetDirectory &directory,
                                               const TargetQuery &query, Instant now) const
{
    const std::vector<const TargetEntry *> &targets = directory.ofService(query.service);
    std::map<uint64_t, Prompt> prompts;
    const auto facts = m_services.find(query.service);
    const double importRate = facts == m_services.end() ? 0.0 : facts->second.importTokensPerMs;
    const Places places = placesOf(targets, query);
    std::optional<Scored> best;
    std::optional<Scored> avoided;
    for (const TargetEntry *target : targets) {
        const State *state = stateOf(target->id);
        const bool isExcluded = std::find(query.excluded.begin(), query.excluded.end(), target->id)
                                != query.excluded.end();
        if (state == nullptr || isExcluded || !m_health.isEligible(target->id)) {
            continue;
        }
        Scored scored{.target = target, .state = state};
        scored.costMs = waitMs(*state, query.priority, now) + zoneMs(*target);
        if (!query.model.empty()) {
            const auto weights = target->weights.find(query.model);
            if (weights == target->weights.end() || weights->second < query.minWeights) {
                continue;
            }
            scored.weights = weights->second;
            auto prompt = prompts.find(scored.weights);
            if (prompt == prompts.end()) {
                prompt = prompts.emplace(scored.weights,
                                         promptOf(targets, query, scored.weights, now))
                                 .first;
            }
            scored.held = state->cache.heldTokens(prompt->second.shared(), PartCertainty::Expected,
                                                  now);
            scored.costMs
                    += cacheMs(prompt->second, scored.held, importRate, target->id == places.first);
            scored.costMs -= places.bonusMs(target->id);
            scored.costMs += rollMs(*state, scored.weights, query, now);
        } else {
            constexpr uint64_t jitterSteps = 1024;
            scored.costMs
                    += static_cast<double>((rendezvousKey(target->id) ^ query.seed) % jitterSteps)
                       / static_cast<double>(jitterSteps);
        }
        std::optional<Scored> &slot = now < state->avoidUntil ? avoided : best;
        if (!slot || scored.costMs < slot->costMs) {
            slot = scored;
        }
    }
    const std::optional<Scored> &chosen = best ? best : avoided;
    if (!chosen) {
        return std::nullopt;
    }
    TargetChoice choice{.id = chosen->target->id, .address = chosen->target->address};
    choice.expectedWait = fromMs(waitMs(*chosen->state, query.priority, now));
    if (othersWork(*chosen->state, now) != nullptr) {
        choice.loadAge = now - m_othersWorkAt;
    }
    choice.priority = query.priority;
    if (!query.model.empty()) {
        const Prompt &prompt = prompts.at(chosen->weights);
        choice.weights = chosen->weights;
        choice.cacheSalt = saltOf(query, chosen->weights);
        choice.prefixes = prompt.prefixes;
        addImport(choice, prompt, chosen->held);
    }
    return choice;
}

void TargetBook::addImport(TargetChoice &choice, const Prompt &prompt, uint64_t held) const
{
    if (prompt.sharedTokens == 0) {
        choice.tokensToRead = tokensOf(choice.prefixes);
        return;
    }
    const uint64_t importable = prompt.source.empty() ? 0 : prompt.importableTokens;
    choice.tokensToRead = tokensOf(choice.prefixes) - std::max(held, importable);
    // The store is asked also when nobody is known to hold the prefix: the question costs a
    // millisecond at most.
    if (prompt.source != choice.address && importable > 0) {
        choice.importFrom = prompt.source;
    } else if (!m_cacheStoreAddress.empty()) {
        choice.importFrom = m_cacheStoreAddress;
    }
    // The whole prompt is kept, so that a long part of the request's own would drive others out.
    const uint64_t ownTokens = choice.prefixes.back().tokens;
    if (!m_cacheStoreAddress.empty() && !prompt.isStored && ownTokens <= prompt.sharedTokens) {
        choice.saveTo = m_cacheStoreAddress;
    }
}

void TargetBook::sent(TargetChoice &choice, Instant now)
{
    State *state = mutableState(choice.id);
    if (state == nullptr) {
        return;
    }
    ++state->inFlight;
    const double ownMs = choice.prefixes.empty() ? 0.0
                                                 : static_cast<double>(choice.tokensToRead)
                                                                   / m_options.promptTokensPerMs
                                                           + toMs(m_options.firstEventTime);
    choice.ticket = state->queue.sent(choice.priority, fromMs(ownMs), now);
    state->tokensAhead += choice.tokensToRead;
    state->cache.expect(choice.prefixes, now);
    if (!choice.saveTo.empty() && choice.saveTo == m_cacheStoreAddress) {
        m_cacheStore.expect(sharedOf(choice.prefixes), now);
    }
}

void TargetBook::promptRead(const TargetChoice &choice, Instant now)
{
    State *state = mutableState(choice.id);
    if (state != nullptr) {
        state->tokensAhead -= std::min(state->tokensAhead, choice.tokensToRead);
        state->queue.read(choice.ticket, now);
        for (const PartEvent &read : state->cache.confirm(sharedOf(choice.prefixes))) {
            // Without listeners nobody takes them.
            constexpr size_t maxNews = 1000;
            if (m_news.size() < maxNews) {
                m_news.push_back({.targetKey = state->workKey, .event = read});
            }
        }
    }
}

void TargetBook::ended(const TargetChoice &choice, bool promptWasRead)
{
    State *state = mutableState(choice.id);
    if (state == nullptr) {
        return;
    }
    state->inFlight -= std::min<uint32_t>(state->inFlight, 1);
    state->queue.dropped(choice.ticket);
    if (!promptWasRead) {
        state->tokensAhead -= std::min(state->tokensAhead, choice.tokensToRead);
        state->cache.dropExpected(choice.prefixes);
    }
}

PartCache *TargetBook::cacheOf(std::string_view id)
{
    if (id.empty()) {
        return &m_cacheStore;
    }
    State *state = mutableState(id);
    return state == nullptr ? nullptr : &state->cache;
}

void TargetBook::applyEvents(std::string_view id, std::span<const PartEvent> events)
{
    PartCache *cache = cacheOf(id);
    if (cache == nullptr) {
        return;
    }
    cache->setFollowed(true);
    for (const PartEvent &event : events) {
        cache->apply(event);
    }
}

void TargetBook::applyNews(std::span<const PartNews> news)
{
    for (const PartNews &one : news) {
        const std::map<uint32_t, std::string>::const_iterator id = m_idsByKey.find(one.targetKey);
        State *state = id == m_idsByKey.end() ? nullptr : mutableState(id->second);
        if (state != nullptr) {
            state->cache.apply(one.event);
        }
    }
}

void TargetBook::forgetCache(std::string_view id)
{
    if (PartCache *cache = cacheOf(id)) {
        cache->clear();
    }
}

void TargetBook::reportLoad(std::string_view id, const TargetLoadReport &report, Instant now)
{
    State *state = mutableState(id);
    if (state != nullptr) {
        state->report = report;
        state->reportedAt = now;
        state->inFlightAtReport = state->inFlight;
    }
}

WorkTable TargetBook::work() const
{
    WorkTable work;
    for (const std::pair<const std::string, State> &state : m_states) {
        if (state.second.inFlight > 0) {
            work[state.second.workKey]
                    += {.unreadTokens = static_cast<uint32_t>(std::min<uint64_t>(
                                state.second.tokensAhead, std::numeric_limits<uint32_t>::max())),
                        .requests = state.second.inFlight};
        }
    }
    return work;
}

void TargetBook::setOthersWork(WorkTable work, Instant now)
{
    m_othersWork = std::move(work);
    m_othersWorkAt = now;
}

uint32_t TargetBook::requestsAt(std::string_view id, Instant now) const
{
    const State *state = stateOf(id);
    if (state == nullptr) {
        return 0;
    }
    const TargetWork *others = othersWork(*state, now);
    return state->inFlight + (others == nullptr ? 0 : others->requests);
}

bool TargetBook::setRollPlan(const RollPlan &plan, Instant statedAt)
{
    StatedPlan &known = m_rollPlans[plan.model];
    const bool isNew = plan.replaces(known.plan);
    if (isNew || (!known.plan.replaces(plan) && statedAt > known.statedAt)) {
        known = {.plan = plan, .statedAt = statedAt};
    }
    return isNew;
}

std::vector<StatedPlan> TargetBook::rollPlans(Instant now) const
{
    std::vector<StatedPlan> plans;
    for (const std::pair<const std::string, StatedPlan> &plan : m_rollPlans) {
        if (now - plan.second.statedAt <= m_options.planAge) {
            plans.push_back(plan.second);
        }
    }
    return plans;
}

void TargetBook::accepted(std::string_view id)
{
    State *state = mutableState(id);
    if (state != nullptr) {
        state->refusalsInRow = 0;
        state->avoidUntil = Instant();
    }
}

void TargetBook::refused(std::string_view id, Instant now)
{
    State *state = mutableState(id);
    if (state == nullptr || now < state->avoidUntil) {
        return;
    }
    Duration pause = m_options.refusalPause;
    for (uint32_t i = 0; i < state->refusalsInRow && pause < m_options.longestRefusalPause; ++i) {
        pause *= 2;
    }
    ++state->refusalsInRow;
    state->avoidUntil = now + std::min(pause, m_options.longestRefusalPause);
}

} // namespace teaseldrift
