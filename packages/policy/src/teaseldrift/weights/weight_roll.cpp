#include "teaseldrift/weights/weight_roll.hpp"

#include <algorithm>
#include <tuple>

#include "teaseldrift/targets/peer_load_tracker.hpp"

namespace teaseldrift {

size_t concurrentLoads(size_t targets)
{
    constexpr size_t groups = 4;
    return std::max<size_t>(1, targets / groups);
}

std::string_view name(WeightOrderEnd end)
{
    switch (end) {
    case WeightOrderEnd::Accepted:
        return "accepted";
    case WeightOrderEnd::Holds:
        return "holds";
    case WeightOrderEnd::HoldsOlder:
        return "holds_older";
    case WeightOrderEnd::Busy:
        return "busy";
    case WeightOrderEnd::Fenced:
        return "fenced";
    case WeightOrderEnd::Unknown:
        return "unknown";
    }
    return "unknown";
}

WeightRoll::WeightRoll(WeightRollOptions options) : m_options(options) { }

bool WeightRoll::setWanted(std::string_view model, uint64_t version)
{
    uint64_t &known = m_wanted[std::string(model)];
    if (version <= known) {
        return false;
    }
    known = version;
    return true;
}

uint64_t WeightRoll::wanted(std::string_view model) const
{
    const auto found = m_wanted.find(model);
    return found == m_wanted.end() ? 0 : found->second;
}

void WeightRoll::settle(Works &works, std::span<const WeightTarget> targets,
                        uint64_t wantedVersion) const
{
    for (Works::iterator it = works.begin(); it != works.end();) {
        const auto target = std::find_if(
                targets.begin(), targets.end(),
                [&it](const WeightTarget &candidate) { return candidate.id == it->first; });
        const bool isGone = target == targets.end();
        const bool isDone = !isGone && target->version >= wantedVersion;
        const bool isRestarted = !isGone && target->startedAtMs != it->second.startedAtMs;
        const bool mayEnd = isGone || !it->second.isAsking;
        it = mayEnd && (isGone || isDone || isRestarted) ? works.erase(it) : std::next(it);
    }
}

/// Gives new targets their places.
void WeightRoll::rank(Works &works, std::span<const WeightTarget> targets, uint64_t wantedVersion)
{
    for (const WeightTarget &target : targets) {
        if (target.version < wantedVersion) {
            works.try_emplace(std::string(target.id), Work{.requestsAtFirst = target.requests,
                                                           .startedAtMs = target.startedAtMs});
        }
    }
}

/// Targets with older weights, in the order in which they load. Requests may begin on old weights
/// for a limited time only, so the oldest come first; then those with the least to finish.
std::vector<WeightTarget> WeightRoll::inOrder(const Works &works,
                                              std::span<const WeightTarget> targets,
                                              uint64_t wantedVersion)
{
    std::vector<WeightTarget> ordered;
    for (const WeightTarget &target : targets) {
        if (target.version < wantedVersion && works.contains(target.id)) {
            ordered.push_back(target);
        }
    }
    std::sort(ordered.begin(), ordered.end(),
              [&works](const WeightTarget &a, const WeightTarget &b) {
                  return std::tuple(a.version, works.find(a.id)->second.requestsAtFirst, a.id)
                         < std::tuple(b.version, works.find(b.id)->second.requestsAtFirst, b.id);
              });
    return ordered;
}

std::vector<std::string> WeightRoll::due(std::string_view model,
                                         std::span<const WeightTarget> targets, Instant now)
{
    std::vector<std::string> asked;
    const uint64_t wantedVersion = wanted(model);
    Works &works = m_works[std::string(model)];
    settle(works, targets, wantedVersion);
    rank(works, targets, wantedVersion);
    const size_t allowed = concurrentLoads(targets.size());
    size_t underWay = static_cast<size_t>(std::count_if(
            works.begin(), works.end(), [](const std::pair<const std::string, Work> &work) {
                return work.second.isUnderWay();
            }));
    for (const WeightTarget &target : inOrder(works, targets, wantedVersion)) {
        Work &work = works.find(target.id)->second;
        const bool isCounted = work.isUnderWay();
        const bool isStuck = work.isLoading && now >= work.acceptedAt + m_options.loadTimeout;
        if (work.isAsking || (now < work.nextAsk && !isStuck)
            || (!isCounted && underWay >= allowed)) {
            continue;
        }
        underWay += isCounted ? 0 : 1;
        work.isAsking = true;
        work.startedAtMs = target.startedAtMs;
        work.version = wantedVersion;
        asked.emplace_back(target.id);
    }
    return asked;
}

RollPlan WeightRoll::plan(std::string_view model, std::span<const WeightTarget> targets) const
{
    RollPlan plan{.model = std::string(model),
                  .version = wanted(model),
                  .together = concurrentLoads(targets.size())};
    const auto works = m_works.find(model);
    if (works == m_works.end()) {
        return plan;
    }
    for (const WeightTarget &target : inOrder(works->second, targets, plan.version)) {
        const bool isLoading = works->second.find(target.id)->second.isLoading;
        (isLoading ? plan.loading : plan.waiting).push_back(targetKeyOf(target.id));
    }
    for (const WeightTarget &target : targets) {
        if (target.version >= plan.version) {
            plan.loaded.push_back(targetKeyOf(target.id));
        }
    }
    return plan;
}

bool WeightRoll::wasOrdered(std::string_view model, std::string_view target, uint64_t version) const
{
    const auto works = m_works.find(model);
    if (works == m_works.end()) {
        return false;
    }
    const Works::const_iterator work = works->second.find(target);
    return work != works->second.end() && work->second.isLoading
           && work->second.loadingVersion <= version;
}

void WeightRoll::ended(std::string_view model, std::string_view target, WeightOrderEnd end,
                       Instant now)
{
    const auto works = m_works.find(model);
    if (works == m_works.end()) {
        return;
    }
    const auto found = works->second.find(target);
    if (found == works->second.end()) {
        return;
    }
    Work &work = found->second;
    work.isAsking = false;
    switch (end) {
    case WeightOrderEnd::Accepted:
        work.isLoading = true;
        work.loadingVersion = work.version;
        work.acceptedAt = now;
        work.nextAsk = now + m_options.firstCheck;
        return;
    case WeightOrderEnd::Holds:
    case WeightOrderEnd::HoldsOlder:
        works->second.erase(found);
        return;
    case WeightOrderEnd::Busy:
        work.nextAsk = now + m_options.firstCheck;
        return;
    case WeightOrderEnd::Fenced:
    case WeightOrderEnd::Unknown:
        work.isLoading = false;
        work.nextAsk = now + m_options.retryPause;
        return;
    }
}

void WeightRoll::reset()
{
    m_works.clear();
}

} // namespace teaseldrift
