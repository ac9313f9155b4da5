#include "teaseldrift/queueing/fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>

namespace teaseldrift::queueing {

namespace {

/// Shortest time after which a refused caller is asked back.
constexpr Duration minRetryAfter = 100ms;
/// Time after which a refused caller is asked back while the rate of dispatch is unknown.
constexpr Duration unknownRetryAfter = 1s;
/// Busy time from which the rate of dispatch counts as known.
constexpr double minBusySeconds = 0.25;
constexpr double minCost = 1.0;
/// Entries in which past virtual time is kept.
constexpr int catchUpSteps = 16;
constexpr double minWeight = 1e-6;

Duration fromSeconds(double seconds)
{
    constexpr double longest = 1e9;
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::min(seconds, longest)));
}

/// Order of one organisation's requests.
struct Waiting
{
    int32_t priority = 0;
    Instant dispatchBy{};
    uint64_t arrival = 0;
    uint64_t id = 0;
    double cost = 0.0;

    bool operator<(const Waiting &other) const
    {
        if (priority != other.priority) {
            return priority > other.priority;
        }
        if (dispatchBy != other.dispatchBy) {
            return dispatchBy < other.dispatchBy;
        }
        return arrival < other.arrival;
    }
};

struct Organisation
{
    std::string name;
    double weight = 1.0;
    /// Virtual time at which its next request starts.
    double start = 0.0;
    double backlog = 0.0;
    std::set<Waiting> waiting;
};

struct StringHash
{
    using is_transparent = void;
    size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};

/// Turn of an organisation that has requests waiting.
struct Turn
{
    double start = 0.0;
    Organisation *organisation = nullptr;

    bool operator<(const Turn &other) const
    {
        return start != other.start ? start < other.start
                                    : organisation->name < other.organisation->name;
    }
};

/// Virtual time at one moment.
struct PastTime
{
    Instant at{};
    double virtualTime = 0.0;
};

struct Place
{
    Organisation *organisation = nullptr;
    Waiting waiting;
};

} // namespace

struct FairQueue::Native
{
    FairQueueOptions options;
    std::unordered_map<std::string, std::unique_ptr<Organisation>, StringHash, std::equal_to<>>
            organisations;
    std::unordered_map<uint64_t, Place> places;
    std::set<Turn> turns;
    double virtualTime = 0.0;
    /// Virtual time at past moments, one entry each catchUpStep, over the catch-up time.
    std::deque<PastTime> past;
    uint64_t arrivals = 0;
    /// Cost dispatched and time spent with requests waiting, both fading over the drain window.
    double drainedCost = 0.0;
    double busySeconds = 0.0;
    Instant drainedAt{};

    Organisation &organisationOf(std::string_view name);
    void add(Organisation &organisation, const QueuedRequest &request);
    void remove(const Place &place);
    void reschedule(Organisation &organisation, double start);
    void advanceDrain(Instant now);
    void recordTime(Instant now);
    void dropIdle();
    double drainRate() const;
    double workAhead(const Organisation *organisation, double weight, double ownCost) const;
    double waitSeconds(const Organisation *organisation, double weight, double ownCost) const;
    Organisation *longestQueue() const;
};

Organisation &FairQueue::Native::organisationOf(std::string_view name)
{
    const auto known = organisations.find(name);
    if (known != organisations.end()) {
        return *known->second;
    }
    std::unique_ptr<Organisation> added = std::make_unique<Organisation>();
    added->name = name;
    return *organisations.emplace(added->name, std::move(added)).first->second;
}

void FairQueue::Native::reschedule(Organisation &organisation, double start)
{
    if (organisation.waiting.empty()) {
        organisation.start = start;
        return;
    }
    turns.erase({organisation.start, &organisation});
    organisation.start = start;
    turns.insert({organisation.start, &organisation});
}

void FairQueue::Native::add(Organisation &organisation, const QueuedRequest &request)
{
    const Waiting waiting{
            .priority = request.priority,
            .dispatchBy = request.dispatchBy,
            .arrival = arrivals++,
            .id = request.id,
            .cost = std::max(request.costTokens, minCost),
    };
    if (organisation.waiting.empty()) {
        organisation.start = std::max(organisation.start, past.front().virtualTime);
        turns.insert({organisation.start, &organisation});
    }
    organisation.weight = std::max(request.weight, minWeight);
    organisation.waiting.insert(waiting);
    organisation.backlog += waiting.cost;
    places.emplace(request.id, Place{&organisation, waiting});
}

void FairQueue::Native::remove(const Place &place)
{
    Organisation &organisation = *place.organisation;
    organisation.waiting.erase(place.waiting);
    organisation.backlog -= place.waiting.cost;
    if (organisation.waiting.empty()) {
        organisation.backlog = 0.0;
        turns.erase({organisation.start, &organisation});
    }
    places.erase(place.waiting.id);
}

void FairQueue::Native::advanceDrain(Instant now)
{
    const double elapsed = std::max(0.0, toSeconds(now - drainedAt));
    const double kept = std::exp(-elapsed / toSeconds(options.drainWindow));
    drainedCost *= kept;
    busySeconds = busySeconds * kept + (places.empty() ? 0.0 : elapsed);
    drainedAt = now;
    recordTime(now);
}

void FairQueue::Native::recordTime(Instant now)
{
    const Duration step = options.catchUp / catchUpSteps;
    if (past.empty() || now - past.back().at >= step) {
        past.push_back({.at = now, .virtualTime = virtualTime});
    }
    while (past.size() > 1 && now - past[1].at >= options.catchUp) {
        past.pop_front();
    }
}

double FairQueue::Native::drainRate() const
{
    return busySeconds < minBusySeconds ? 0.0 : drainedCost / busySeconds;
}

/// Work that fair queueing does before an organisation has got through `ownCost` of its own.
double FairQueue::Native::workAhead(const Organisation *organisation, double weight,
                                    double ownCost) const
{
    double ahead = ownCost;
    for (const Turn &turn : turns) {
        if (turn.organisation != organisation) {
            ahead += std::min(turn.organisation->backlog,
                              ownCost * turn.organisation->weight / weight);
        }
    }
    return ahead;
}

double FairQueue::Native::waitSeconds(const Organisation *organisation, double weight,
                                      double ownCost) const
{
    const double rate = drainRate();
    return rate > 0.0 ? workAhead(organisation, weight, ownCost) / rate : 0.0;
}

Organisation *FairQueue::Native::longestQueue() const
{
    const auto longest = std::ranges::max_element(turns, {}, [](const Turn &turn) {
        return turn.organisation->backlog / turn.organisation->weight;
    });
    return longest == turns.end() ? nullptr : longest->organisation;
}

/// Forgets organisations that wait for nothing and owe nothing.
void FairQueue::Native::dropIdle()
{
    constexpr size_t keptIdle = 64;
    if (organisations.size() < 2 * turns.size() + keptIdle) {
        return;
    }
    std::erase_if(organisations, [this](const auto &entry) {
        return entry.second->waiting.empty() && entry.second->start <= virtualTime;
    });
}

FairQueue::FairQueue(const FairQueueOptions &options) : m_native(std::make_unique<Native>())
{
    m_native->options = options;
}

FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue &&) noexcept = default;
FairQueue &FairQueue::operator=(FairQueue &&) noexcept = default;

PushResult FairQueue::push(const QueuedRequest &request, Instant now)
{
    Native &native = *m_native;
    native.advanceDrain(now);
    native.dropIdle();
    Organisation &organisation = native.organisationOf(request.organisation);
    const double weight = std::max(request.weight, minWeight);
    const double wait = native.waitSeconds(&organisation, weight, organisation.backlog);
    const Duration left
            = request.dispatchBy == Instant::max() ? Duration::max() : request.dispatchBy - now;
    if (left < Duration::zero() || fromSeconds(wait) > left) {
        return {.refused
                = Refusal{.id = request.id,
                          .code = schema::DEADLINE_UNREACHABLE,
                          .retryAfter = std::max(fromSeconds(wait) - left, minRetryAfter)}};
    }
    if (native.places.contains(request.id)) {
        return {.refused = Refusal{.id = request.id, .code = schema::INTERNAL}};
    }
    if (native.places.size() < native.options.maxWaiting) {
        native.add(organisation, request);
        return {};
    }
    const Duration retryAfter
            = wait > 0.0 ? std::max(fromSeconds(wait), minRetryAfter) : unknownRetryAfter;
    Organisation *longest = native.longestQueue();
    const double ownShare = (organisation.backlog + request.costTokens) / weight;
    if (longest == nullptr || longest == &organisation
        || longest->backlog / longest->weight <= ownShare) {
        return {.refused = Refusal{request.id, schema::QUEUE_FULL, retryAfter}};
    }
    const Place last{longest, *longest->waiting.rbegin()};
    const double longestWait = native.waitSeconds(longest, longest->weight, longest->backlog);
    native.remove(last);
    native.add(organisation, request);
    return {.displaced
            = Refusal{last.waiting.id, schema::QUEUE_FULL,
                      longestWait > 0.0 ? std::max(fromSeconds(longestWait), minRetryAfter)
                                        : unknownRetryAfter}};
}

std::optional<uint64_t> FairQueue::next() const
{
    if (m_native->turns.empty()) {
        return std::nullopt;
    }
    return m_native->turns.begin()->organisation->waiting.begin()->id;
}

std::vector<uint64_t> FairQueue::head(size_t count) const
{
    /// Where one organisation's turn has come to.
    struct Cursor
    {
        double start = 0.0;
        const Organisation *organisation = nullptr;
        std::set<Waiting>::const_iterator waiting;
    };
    std::vector<Cursor> cursors;
    for (const Turn &turn : m_native->turns) {
        cursors.push_back({turn.start, turn.organisation, turn.organisation->waiting.begin()});
    }
    std::vector<uint64_t> ids;
    while (ids.size() < count && !cursors.empty()) {
        const auto earliest = std::ranges::min_element(cursors, {}, &Cursor::start);
        ids.push_back(earliest->waiting->id);
        earliest->start += earliest->waiting->cost / earliest->organisation->weight;
        if (++earliest->waiting == earliest->organisation->waiting.end()) {
            cursors.erase(earliest);
        }
    }
    return ids;
}

bool FairQueue::take(uint64_t id, Instant now)
{
    Native &native = *m_native;
    const auto found = native.places.find(id);
    if (found == native.places.end()) {
        return false;
    }
    native.advanceDrain(now);
    const Place place = found->second;
    Organisation &organisation = *place.organisation;
    native.virtualTime = std::max(native.virtualTime, organisation.start);
    native.reschedule(organisation, organisation.start + place.waiting.cost / organisation.weight);
    native.remove(place);
    native.drainedCost += place.waiting.cost;
    return true;
}

bool FairQueue::cancel(uint64_t id)
{
    const auto found = m_native->places.find(id);
    if (found == m_native->places.end()) {
        return false;
    }
    m_native->remove(Place(found->second));
    return true;
}

std::vector<Refusal> FairQueue::expire(Instant now)
{
    Native &native = *m_native;
    native.advanceDrain(now);
    std::vector<Refusal> refusals;
    std::vector<Place> given;
    for (const Turn &turn : native.turns) {
        double ahead = 0.0;
        for (const Waiting &waiting : turn.organisation->waiting) {
            const double wait
                    = native.waitSeconds(turn.organisation, turn.organisation->weight, ahead);
            if (waiting.dispatchBy == Instant::max()
                || now + fromSeconds(wait) <= waiting.dispatchBy) {
                ahead += waiting.cost;
                continue;
            }
            refusals.push_back({
                    .id = waiting.id,
                    .code = schema::DEADLINE_UNREACHABLE,
                    .retryAfter = std::max(now + fromSeconds(wait) - waiting.dispatchBy,
                                           Duration(minRetryAfter)),
            });
            given.push_back({turn.organisation, waiting});
        }
    }
    for (const Place &place : given) {
        native.remove(place);
    }
    return refusals;
}

void FairQueue::settle(std::string_view organisation, double estimatedTokens, double actualTokens)
{
    const auto known = m_native->organisations.find(organisation);
    if (known == m_native->organisations.end()) {
        return;
    }
    Organisation &owner = *known->second;
    const double corrected = owner.start + (actualTokens - estimatedTokens) / owner.weight;
    m_native->reschedule(owner, std::max(corrected, std::min(owner.start, m_native->virtualTime)));
}

Duration FairQueue::expectedWait(std::string_view organisation, double weight, double costTokens,
                                 Instant now) const
{
    Native &native = *m_native;
    native.advanceDrain(now);
    const auto known = native.organisations.find(organisation);
    const Organisation *owner = known == native.organisations.end() ? nullptr : known->second.get();
    const double backlog = owner == nullptr ? 0.0 : owner->backlog;
    return fromSeconds(
            native.waitSeconds(owner, std::max(weight, minWeight), backlog + costTokens));
}

size_t FairQueue::size() const
{
    return m_native->places.size();
}

} // namespace teaseldrift::queueing
