#include "teaseldrift/queueing/fair_queue.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>

#include "dispatch_rate.hpp"
#include "fair_queue_state.hpp"

namespace teaseldrift::queueing {

namespace {

/// Minimum retry-after time of a refusal.
constexpr Duration minRetryAfter = 100ms;
/// Retry-after time of a refusal while the dispatch rate is unknown.
constexpr Duration defaultRetryAfter = 1s;
constexpr double minCost = 1.0;
/// Number of samples of virtual time per idle credit window.
constexpr int virtualTimeSampleCount = 16;
constexpr double minWeight = 1e-6;

Duration fromSeconds(double seconds)
{
    constexpr double longest = 1e9;
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::min(seconds, longest)));
}

/// @param waitSeconds expected wait, 0 if it is unknown
Duration retryAfter(double waitSeconds)
{
    return waitSeconds > 0.0 ? std::max(fromSeconds(waitSeconds), minRetryAfter)
                             : defaultRetryAfter;
}

} // namespace

struct FairQueue::Impl
{
    FairQueueOptions options;
    std::unordered_map<std::string, std::unique_ptr<Organisation>, StringHash, std::equal_to<>>
            organisations;
    std::unordered_map<uint64_t, QueueEntry> entries;
    std::set<ScheduledOrganisation> schedule;
    double virtualTime = 0.0;
    /// Samples of virtual time over the idle credit window, oldest first.
    std::deque<VirtualTimeSample> virtualTimeHistory;
    uint64_t arrivals = 0;
    DispatchRate dispatchRate;

    explicit Impl(const FairQueueOptions &queueOptions)
        : options(queueOptions), dispatchRate(queueOptions.dispatchRateWindow)
    { }

    Organisation &organisationOf(std::string_view name);
    void add(Organisation &organisation, const QueuedRequest &request);
    void remove(const QueueEntry &entry);
    void reschedule(Organisation &organisation, double startTag);
    void advanceTime(Instant now);
    void sampleVirtualTime(Instant now);
    void dropIdle();
    double workAhead(const Organisation *organisation, double weight, double ownCost) const;
    double waitSeconds(const Organisation *organisation, double weight, double ownCost) const;
    Organisation *longestQueue() const;
    PushResult pushWhenFull(Organisation &organisation, const QueuedRequest &request, double wait);
};

Organisation &FairQueue::Impl::organisationOf(std::string_view name)
{
    const auto known = organisations.find(name);
    if (known != organisations.end()) {
        return *known->second;
    }
    std::unique_ptr<Organisation> added = std::make_unique<Organisation>();
    added->name = name;
    return *organisations.emplace(added->name, std::move(added)).first->second;
}

void FairQueue::Impl::reschedule(Organisation &organisation, double startTag)
{
    if (organisation.waiting.empty()) {
        organisation.startTag = startTag;
        return;
    }
    schedule.erase({organisation.startTag, &organisation});
    organisation.startTag = startTag;
    schedule.insert({organisation.startTag, &organisation});
}

void FairQueue::Impl::add(Organisation &organisation, const QueuedRequest &request)
{
    const WaitingRequest waiting{
            .priority = request.priority,
            .dispatchBy = request.dispatchBy,
            .arrival = arrivals++,
            .id = request.id,
            .cost = std::max(request.costTokens, minCost),
    };
    if (organisation.waiting.empty()) {
        organisation.startTag
                = std::max(organisation.startTag, virtualTimeHistory.front().virtualTime);
        schedule.insert({organisation.startTag, &organisation});
    }
    organisation.weight = std::max(request.weight, minWeight);
    organisation.waiting.insert(waiting);
    organisation.backlog += waiting.cost;
    entries.emplace(request.id, QueueEntry{&organisation, waiting});
}

void FairQueue::Impl::remove(const QueueEntry &entry)
{
    Organisation &organisation = *entry.organisation;
    organisation.waiting.erase(entry.waiting);
    organisation.backlog -= entry.waiting.cost;
    if (organisation.waiting.empty()) {
        organisation.backlog = 0.0;
        schedule.erase({organisation.startTag, &organisation});
    }
    entries.erase(entry.waiting.id);
}

void FairQueue::Impl::advanceTime(Instant now)
{
    dispatchRate.advance(!entries.empty(), now);
    sampleVirtualTime(now);
}

void FairQueue::Impl::sampleVirtualTime(Instant now)
{
    const Duration step = options.idleCreditWindow / virtualTimeSampleCount;
    if (virtualTimeHistory.empty() || now - virtualTimeHistory.back().sampledAt >= step) {
        virtualTimeHistory.push_back({.sampledAt = now, .virtualTime = virtualTime});
    }
    while (virtualTimeHistory.size() > 1
           && now - virtualTimeHistory[1].sampledAt >= options.idleCreditWindow) {
        virtualTimeHistory.pop_front();
    }
}

/// Cost that fair queueing dispatches until `ownCost` of an organisation's requests is dispatched.
double FairQueue::Impl::workAhead(const Organisation *organisation, double weight,
                                  double ownCost) const
{
    double ahead = ownCost;
    for (const ScheduledOrganisation &scheduled : schedule) {
        if (scheduled.organisation != organisation) {
            ahead += std::min(scheduled.organisation->backlog,
                              ownCost * scheduled.organisation->weight / weight);
        }
    }
    return ahead;
}

double FairQueue::Impl::waitSeconds(const Organisation *organisation, double weight,
                                    double ownCost) const
{
    const double rate = dispatchRate.perSecond();
    return rate > 0.0 ? workAhead(organisation, weight, ownCost) / rate : 0.0;
}

Organisation *FairQueue::Impl::longestQueue() const
{
    const auto longest
            = std::ranges::max_element(schedule, {}, [](const ScheduledOrganisation &scheduled) {
                  return scheduled.organisation->backlog / scheduled.organisation->weight;
              });
    return longest == schedule.end() ? nullptr : longest->organisation;
}

/// Removes organisations that have no waiting requests and no start tag ahead of virtual time.
void FairQueue::Impl::dropIdle()
{
    constexpr size_t maxIdle = 64;
    if (organisations.size() < 2 * schedule.size() + maxIdle) {
        return;
    }
    std::erase_if(organisations, [this](const auto &entry) {
        return entry.second->waiting.empty() && entry.second->startTag <= virtualTime;
    });
}

FairQueue::FairQueue(const FairQueueOptions &options) : m_impl(std::make_unique<Impl>(options)) { }

FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue &&) noexcept = default;
FairQueue &FairQueue::operator=(FairQueue &&) noexcept = default;

PushResult FairQueue::push(const QueuedRequest &request, Instant now)
{
    Impl &impl = *m_impl;
    impl.advanceTime(now);
    impl.dropIdle();
    Organisation &organisation = impl.organisationOf(request.organisation);
    const double weight = std::max(request.weight, minWeight);
    const double wait = impl.waitSeconds(&organisation, weight, organisation.backlog);
    const Duration left
            = request.dispatchBy == Instant::max() ? Duration::max() : request.dispatchBy - now;
    if (left < Duration::zero() || fromSeconds(wait) > left) {
        return {.refused
                = Refusal{.id = request.id,
                          .code = schema::DEADLINE_UNREACHABLE,
                          .retryAfter = std::max(fromSeconds(wait) - left, minRetryAfter)}};
    }
    if (impl.entries.contains(request.id)) {
        return {.refused = Refusal{.id = request.id, .code = schema::INTERNAL}};
    }
    if (impl.entries.size() < impl.options.maxWaiting) {
        impl.add(organisation, request);
        return {};
    }
    return impl.pushWhenFull(organisation, request, wait);
}

/// Removes the last request of the organisation with the longest queue by weight, or refuses the
/// new request if its own organisation has the longest queue.
PushResult FairQueue::Impl::pushWhenFull(Organisation &organisation, const QueuedRequest &request,
                                         double wait)
{
    const double weight = std::max(request.weight, minWeight);
    const double ownQueue = (organisation.backlog + request.costTokens) / weight;
    Organisation *longest = longestQueue();
    if (longest == nullptr || longest == &organisation
        || longest->backlog / longest->weight <= ownQueue) {
        return {.refused = Refusal{request.id, schema::QUEUE_FULL, retryAfter(wait)}};
    }
    const QueueEntry last{longest, *longest->waiting.rbegin()};
    const double longestWait = waitSeconds(longest, longest->weight, longest->backlog);
    remove(last);
    add(organisation, request);
    return {.displaced = Refusal{last.waiting.id, schema::QUEUE_FULL, retryAfter(longestWait)}};
}

std::optional<uint64_t> FairQueue::next() const
{
    if (m_impl->schedule.empty()) {
        return std::nullopt;
    }
    return m_impl->schedule.begin()->organisation->waiting.begin()->id;
}

std::vector<uint64_t> FairQueue::head(size_t count) const
{
    /// Next request of one organisation and its start tag.
    struct Cursor
    {
        double startTag = 0.0;
        const Organisation *organisation = nullptr;
        std::set<WaitingRequest>::const_iterator waiting;
    };
    std::vector<Cursor> cursors;
    for (const ScheduledOrganisation &scheduled : m_impl->schedule) {
        cursors.push_back({scheduled.startTag, scheduled.organisation,
                           scheduled.organisation->waiting.begin()});
    }
    std::vector<uint64_t> ids;
    while (ids.size() < count && !cursors.empty()) {
        const auto earliest = std::ranges::min_element(cursors, {}, &Cursor::startTag);
        ids.push_back(earliest->waiting->id);
        earliest->startTag += earliest->waiting->cost / earliest->organisation->weight;
        if (++earliest->waiting == earliest->organisation->waiting.end()) {
            cursors.erase(earliest);
        }
    }
    return ids;
}

bool FairQueue::take(uint64_t id, Instant now)
{
    Impl &impl = *m_impl;
    const auto found = impl.entries.find(id);
    if (found == impl.entries.end()) {
        return false;
    }
    impl.advanceTime(now);
    const QueueEntry entry = found->second;
    Organisation &organisation = *entry.organisation;
    impl.virtualTime = std::max(impl.virtualTime, organisation.startTag);
    impl.reschedule(organisation, organisation.startTag + entry.waiting.cost / organisation.weight);
    impl.remove(entry);
    impl.dispatchRate.add(entry.waiting.cost);
    return true;
}

bool FairQueue::cancel(uint64_t id)
{
    const auto found = m_impl->entries.find(id);
    if (found == m_impl->entries.end()) {
        return false;
    }
    m_impl->remove(QueueEntry(found->second));
    return true;
}

std::vector<Refusal> FairQueue::expire(Instant now)
{
    Impl &impl = *m_impl;
    impl.advanceTime(now);
    std::vector<Refusal> refusals;
    std::vector<QueueEntry> expired;
    for (const ScheduledOrganisation &scheduled : impl.schedule) {
        double ahead = 0.0;
        for (const WaitingRequest &waiting : scheduled.organisation->waiting) {
            const double wait = impl.waitSeconds(scheduled.organisation,
                                                 scheduled.organisation->weight, ahead);
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
            expired.push_back({scheduled.organisation, waiting});
        }
    }
    for (const QueueEntry &entry : expired) {
        impl.remove(entry);
    }
    return refusals;
}

void FairQueue::adjustCharge(std::string_view organisation, double estimatedTokens,
                             double actualTokens)
{
    const auto known = m_impl->organisations.find(organisation);
    if (known == m_impl->organisations.end()) {
        return;
    }
    Organisation &owner = *known->second;
    const double corrected = owner.startTag + (actualTokens - estimatedTokens) / owner.weight;
    m_impl->reschedule(owner, std::max(corrected, std::min(owner.startTag, m_impl->virtualTime)));
}

Duration FairQueue::expectedWait(std::string_view organisation, double weight, double costTokens,
                                 Instant now) const
{
    Impl &impl = *m_impl;
    impl.advanceTime(now);
    const auto known = impl.organisations.find(organisation);
    const Organisation *owner = known == impl.organisations.end() ? nullptr : known->second.get();
    const double backlog = owner == nullptr ? 0.0 : owner->backlog;
    return fromSeconds(impl.waitSeconds(owner, std::max(weight, minWeight), backlog + costTokens));
}

size_t FairQueue::size() const
{
    return m_impl->entries.size();
}

} // namespace teaseldrift::queueing
