#include "teaseldrift/placement/target_chooser.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <unordered_map>

#include "chain_match.hpp"
#include "teaseldrift/placement/target_load.hpp"

namespace teaseldrift::placement {

namespace {

/// Up to this many targets, the cost of each is compared.
constexpr size_t compareAllUpTo = 32;
/// Targets compared beyond those that may hold the prefix, when there are more.
constexpr size_t randomTargets = 4;
/// Weight of one request in learned means.
constexpr double meanLearningRate = 0.02;
constexpr double initialServiceSeconds = 2.0;
constexpr double initialTargetSeconds = 0.1;
constexpr double minTrafficShare = 1e-4;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Cost of one target for one request, in seconds.
struct Cost
{
    uint32_t target = 0;
    double wait = 0.0;
    double prefill = 0.0;
    double import = 0.0;
    double total = 0.0;
    double inFlight = 0.0;
    uint32_t prefillTokens = 0;
    bool stale = false;
    bool hasRoom = false;
    std::optional<ImportPlan> plan;
};

/// A block of a chain with the age of what was believed of it when the attempt started.
struct BelievedAge
{
    uint32_t level = 0;
    Duration age{};
};

struct Attempt
{
    TargetSlot slot = unknownSlot;
    uint64_t incarnation = 0;
    std::vector<hashing::BlockHash> chain;
    std::vector<BelievedAge> ages;
    uint32_t prefillTokens = 0;
    uint32_t slots = 1;
    Instant startedAt{};
    std::optional<Instant> firstTokenAt;
};

} // namespace

struct TargetChooser::Native
{
    explicit Native(ChooserOptions chooserOptions)
        : options(std::move(chooserOptions)), index(options.index), sketch(options.hotPrefixes),
          replicas({.maxReplicas = options.maxReplicas})
    {
        options.trafficShare = std::clamp(options.trafficShare, minTrafficShare, 1.0);
    }

    ChooserOptions options;
    PrefixIndex index;
    HotPrefixSketch sketch;
    FleetRates fleetRates;
    ReplicaCounts replicas;
    ChainMatch match;
    std::vector<TargetLoad> loads;
    std::unordered_map<uint64_t, Attempt> attempts;
    std::vector<Cost> costs;
    std::vector<uint32_t> compared;
    double serviceSeconds = initialServiceSeconds;
    double targetSeconds = initialTargetSeconds;

    TargetLoad &loadOf(TargetSlot slot);
    void selectCompared(std::mt19937_64 &generator);
    void addCost(uint32_t target, const RequestView &request, std::span<const TargetView> targets,
                 Instant now);
    double placementPenalty(uint32_t target) const;
    void planImport(Cost &cost, std::span<const TargetView> targets) const;
    const Cost &pick(std::mt19937_64 &generator) const;
    bool anyRoom() const;
    Choice describe(const Cost &cost) const;
    WalkOptions walkOptions() const;
    void learnService(const Attempt &attempt, Instant now);
    void learnCache(const Attempt &attempt, uint32_t cachedTokens);
};

TargetLoad &TargetChooser::Native::loadOf(TargetSlot slot)
{
    if (loads.size() <= slot) {
        loads.resize(size_t{slot} + 1);
    }
    return loads[slot];
}

WalkOptions TargetChooser::Native::walkOptions() const
{
    return {
            .trafficShare = options.trafficShare,
            .targetSecondsPerRequest = targetSeconds,
            .replicaUtilisation = options.replicaUtilisation,
            .blockLifeSeconds = toSeconds(options.index.initialBlockLife),
    };
}

/// With many targets, only those that may hold a part of the chain and a few others are compared.
void TargetChooser::Native::selectCompared(std::mt19937_64 &generator)
{
    const std::span<const uint32_t> eligible = match.eligible();
    if (eligible.size() <= compareAllUpTo) {
        compared.assign(eligible.begin(), eligible.end());
        return;
    }
    compared.clear();
    for (const uint32_t target : eligible) {
        if (match.matches()[target].levels > 0) {
            compared.push_back(target);
        }
    }
    for (size_t i = 0; i < randomTargets; ++i) {
        compared.push_back(eligible[generator() % eligible.size()]);
    }
    if (compared.size() > compareAllUpTo) {
        std::ranges::nth_element(
                compared, compared.begin() + compareAllUpTo, std::greater{},
                [this](uint32_t target) { return match.matches()[target].expectedBlocks; });
        compared.resize(compareAllUpTo);
    }
    std::ranges::sort(compared);
    compared.erase(std::unique(compared.begin(), compared.end()), compared.end());
}

/// Targets outside the prefix's placement cost a little more, so that copies do not multiply and a
/// restarted VM finds the blocks where the placement says.
double TargetChooser::Native::placementPenalty(uint32_t target) const
{
    return match.isPlaced(target) ? 0.0 : toSeconds(options.misplacedPenalty);
}

void TargetChooser::Native::addCost(uint32_t target, const RequestView &request,
                                    std::span<const TargetView> targets, Instant now)
{
    const TargetView &view = targets[target];
    const TargetMatch &matched = match.matches()[target];
    if (matched.slot == unknownSlot) {
        return;
    }
    const LoadEstimate load = loadOf(matched.slot)
                                      .estimate(view.load, options.prefillTokensPerSecond,
                                                options.staleReport, options.trafficShare, now);
    const double slots = std::max(1U, view.slots);
    const double cached = matched.expectedBlocks * options.blockTokens;
    Cost cost{.target = target,
              .inFlight = load.inFlight / slots,
              .stale = load.stale,
              .hasRoom = load.inFlightOfAll < options.inFlightPerSlot * slots};
    cost.prefillTokens = static_cast<uint32_t>(std::max(1.0, request.promptTokens - cached));
    cost.prefill = cost.prefillTokens / options.prefillTokensPerSecond;
    planImport(cost, targets);
    const double expectedBacklog
            = std::max(load.backlogTokens, options.meanBacklogWeight * load.meanBacklogTokens);
    cost.wait = expectedBacklog / options.prefillTokensPerSecond;
    cost.wait += std::max(0.0, load.inFlight - slots + 1.0) / slots * serviceSeconds;
    const bool near
            = options.availabilityZone.empty() || view.availabilityZone == options.availabilityZone;
    cost.total = cost.wait + cost.import + cost.prefill * (1.0 + options.prefillWeight)
                 + (near ? 0.0 : toSeconds(options.zoneRoundTrip)) + placementPenalty(target)
                 + load.inFlight / slots * toSeconds(options.occupancyPenalty);
    costs.push_back(cost);
}

void TargetChooser::Native::planImport(Cost &cost, std::span<const TargetView> targets) const
{
    if (options.importTokensPerSecond <= 0.0) {
        return;
    }
    const std::span<const TargetMatch> matches = match.matches();
    const TargetMatch &own = matches[cost.target];
    const uint32_t held = static_cast<uint32_t>(own.expectedBlocks);
    uint32_t best = held;
    for (uint32_t source = 0; source < matches.size(); ++source) {
        if (source == cost.target || matches[source].indexedBlocks <= best
            || matches[source].salt != own.salt) {
            continue;
        }
        best = matches[source].indexedBlocks;
        cost.plan = {.source = source,
                     .sourceIncarnation = targets[source].incarnation,
                     .firstBlock = held,
                     .blocks = best - held};
    }
    if (!cost.plan) {
        return;
    }
    const double tokens = static_cast<double>(cost.plan->blocks) * options.blockTokens;
    const double import
            = toSeconds(options.importOverhead) + tokens / options.importTokensPerSecond;
    const double saved = tokens / options.prefillTokensPerSecond;
    if (import >= saved * options.importGain) {
        cost.plan.reset();
        return;
    }
    cost.import = import;
    cost.prefillTokens -= std::min(cost.prefillTokens - 1, static_cast<uint32_t>(tokens));
    cost.prefill = cost.prefillTokens / options.prefillTokensPerSecond;
}

/// The cheapest target; among targets that cost about the same, the less loaded of two.
const Cost &TargetChooser::Native::pick(std::mt19937_64 &generator) const
{
    const auto cheapest = std::ranges::min_element(costs, {}, &Cost::total);
    constexpr double staleFactor = 4.0;
    const double width = toSeconds(options.tieWidth) * (cheapest->stale ? staleFactor : 1.0);
    const auto isTied = [&cheapest, width](const Cost &cost) {
        return cost.total <= cheapest->total + width;
    };
    const size_t tied = static_cast<size_t>(std::ranges::count_if(costs, isTied));
    if (tied == 1) {
        return *cheapest;
    }
    size_t first = generator() % tied;
    size_t second = generator() % (tied - 1);
    second += second >= first ? 1 : 0;
    const Cost *picked = nullptr;
    size_t position = 0;
    for (const Cost &cost : costs) {
        if (!isTied(cost)) {
            continue;
        }
        if (position == first || position == second) {
            picked = picked == nullptr || cost.inFlight < picked->inFlight ? &cost : picked;
        }
        ++position;
    }
    return *picked;
}

bool TargetChooser::Native::anyRoom() const
{
    return std::ranges::any_of(costs, &Cost::hasRoom);
}

Choice TargetChooser::Native::describe(const Cost &cost) const
{
    const TargetMatch &matched = match.matches()[cost.target];
    ChoiceReason reason = ChoiceReason::Load;
    if (matched.indexedBlocks > 0) {
        reason = ChoiceReason::CachedPrefix;
    } else if (!match.placed().empty() && match.placed().size() < match.eligible().size()
               && match.isPlaced(cost.target)) {
        reason = ChoiceReason::PlacedPrefix;
    }
    return {
            .outcome = ChoiceOutcome::Dispatch,
            .reason = reason,
            .target = cost.target,
            .expectedWait = fromSeconds(cost.wait),
            .expectedPrefill = fromSeconds(cost.prefill),
            .expectedImport = fromSeconds(cost.import),
            .expectedBlocks = matched.expectedBlocks,
            .prefillTokens = cost.prefillTokens,
            .considered = static_cast<uint32_t>(costs.size()),
            .replicas = static_cast<uint32_t>(match.placed().size()),
            .import = cost.plan,
    };
}

void TargetChooser::Native::learnService(const Attempt &attempt, Instant now)
{
    if (!attempt.firstTokenAt) {
        return;
    }
    const double prefill = attempt.prefillTokens / options.prefillTokensPerSecond;
    const double service = prefill + toSeconds(now - *attempt.firstTokenAt);
    serviceSeconds += meanLearningRate * (service - serviceSeconds);
    const double ofTarget = std::max(prefill, service / attempt.slots);
    targetSeconds += meanLearningRate * (ofTarget - targetSeconds);
}

void TargetChooser::Native::learnCache(const Attempt &attempt, uint32_t cachedTokens)
{
    const uint32_t cachedBlocks = cachedTokens / std::max(1U, options.blockTokens);
    for (const BelievedAge &believed : attempt.ages) {
        if (believed.level <= cachedBlocks) {
            index.learnLife(attempt.slot, believed.level < cachedBlocks, believed.age);
        }
    }
}

TargetChooser::TargetChooser(ChooserOptions options)
    : m_native(std::make_unique<Native>(std::move(options)))
{ }

TargetChooser::~TargetChooser() = default;
TargetChooser::TargetChooser(TargetChooser &&) noexcept = default;
TargetChooser &TargetChooser::operator=(TargetChooser &&) noexcept = default;

Choice TargetChooser::choose(const RequestView &request, std::span<const TargetView> targets,
                             Instant now, std::mt19937_64 &generator)
{
    Native &native = *m_native;
    native.match.resolve(targets, native.index);
    if (native.match.eligible().empty()) {
        return {.outcome = ChoiceOutcome::NoTarget};
    }
    native.match.walk(request, native.walkOptions(), native.index, native.sketch, native.fleetRates,
                      native.replicas, now);
    native.selectCompared(generator);
    native.costs.clear();
    for (const uint32_t target : native.compared) {
        native.addCost(target, request, targets, now);
    }
    if (!native.anyRoom() && native.compared.size() < native.match.eligible().size()) {
        native.costs.clear();
        for (const uint32_t target : native.match.eligible()) {
            native.addCost(target, request, targets, now);
        }
    }
    if (!native.anyRoom()) {
        return {.outcome = ChoiceOutcome::NoRoom};
    }
    const Cost cheapest = *std::ranges::min_element(native.costs, {}, &Cost::total);
    std::erase_if(native.costs, [](const Cost &cost) { return !cost.hasRoom; });
    const Cost &picked = native.pick(generator);
    Choice choice = native.describe(picked);
    choice.preferred = cheapest.target;
    choice.regret = cheapest.hasRoom ? Duration{} : fromSeconds(picked.total - cheapest.total);
    choice.queueStep
            = fromSeconds(native.serviceSeconds / std::max(1U, targets[cheapest.target].slots));
    return choice;
}

void TargetChooser::started(uint64_t attemptId, const RequestView &request,
                            const TargetView &target, const Choice &choice, Instant now)
{
    Native &native = *m_native;
    native.sketch.record(request.chain, now);
    const TargetSlot slot
            = native.index.observeTarget(target.id, target.incarnation, target.weightsVersion);
    if (slot == unknownSlot) {
        return;
    }
    Attempt attempt{
            .slot = slot,
            .incarnation = target.incarnation,
            .chain = {request.chain.begin(), request.chain.end()},
            .prefillTokens = choice.prefillTokens,
            .slots = std::max(1U, target.slots),
            .startedAt = now,
    };
    for (uint32_t level = 0; level < request.chain.size(); ++level) {
        const std::optional<Duration> age = native.index.ageOf(slot, request.chain[level], now);
        if (!age) {
            break;
        }
        attempt.ages.push_back({.level = level, .age = *age});
    }
    native.index.recordUse(slot, request.chain, now);
    native.loadOf(slot).started(attemptId, choice.prefillTokens, now);
    native.attempts.insert_or_assign(attemptId, std::move(attempt));
}

void TargetChooser::firstToken(uint64_t attemptId, Instant now)
{
    const auto found = m_native->attempts.find(attemptId);
    if (found != m_native->attempts.end() && !found->second.firstTokenAt) {
        found->second.firstTokenAt = now;
        m_native->loadOf(found->second.slot).firstToken(attemptId, now);
    }
}

void TargetChooser::finished(uint64_t attemptId, const AttemptEnd &end, Instant now)
{
    Native &native = *m_native;
    const auto found = native.attempts.find(attemptId);
    if (found == native.attempts.end()) {
        return;
    }
    const Attempt &attempt = found->second;
    native.loadOf(attempt.slot).finished(attemptId, now);
    if (end.completed) {
        native.learnService(attempt, now);
        if (end.cachedTokens) {
            native.learnCache(attempt, *end.cachedTokens);
        }
    } else if (!attempt.firstTokenAt) {
        const size_t known = attempt.ages.size();
        native.index.recordAbsence(attempt.slot, std::span(attempt.chain).subspan(known));
    }
    native.attempts.erase(found);
}

void TargetChooser::onCacheEvent(const CacheEvent &event, Instant now)
{
    m_native->index.onCacheEvent(event, now);
}

void TargetChooser::forgetTarget(std::string_view targetId)
{
    Native &native = *m_native;
    const std::optional<TargetSlot> slot = native.index.slotOf(targetId);
    if (!slot) {
        return;
    }
    native.index.forgetTarget(targetId);
    native.match.reset();
    native.loadOf(*slot) = {};
    std::erase_if(native.attempts,
                  [slot](const auto &entry) { return entry.second.slot == *slot; });
}

std::vector<HotPrefix> TargetChooser::hotPrefixes(Instant now) const
{
    return m_native->sketch.table(now);
}

void TargetChooser::mergeHotPrefixes(std::span<const HotPrefix> peerTable, Instant now)
{
    m_native->sketch.merge(peerTable, now);
}

void TargetChooser::setPeerTable(std::string_view peerId, std::span<const HotPrefix> peerTable,
                                 Instant now)
{
    m_native->fleetRates.setTable(peerId, peerTable, now);
}

void TargetChooser::setTrafficShare(double share)
{
    m_native->options.trafficShare = std::clamp(share, minTrafficShare, 1.0);
}

size_t TargetChooser::memoryBytes() const
{
    const Native &native = *m_native;
    size_t bytes = sizeof(Native) + native.index.memoryBytes() + native.sketch.memoryBytes()
                   + native.fleetRates.memoryBytes() + native.replicas.memoryBytes();
    for (const auto &entry : native.attempts) {
        bytes += sizeof(entry) + entry.second.chain.capacity() * sizeof(hashing::BlockHash)
                 + entry.second.ages.capacity() * sizeof(BelievedAge);
    }
    return bytes;
}

} // namespace teaseldrift::placement
