#include "teaseldrift/weights/weight_roll.hpp"

#include <algorithm>

namespace teaseldrift {

size_t concurrentLoads(size_t targets)
{
    constexpr size_t groups = 4;
    return std::max<size_t>(1, targets / groups);
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

std::vector<std::string> WeightRoll::due(std::string_view model,
                                         std::span<const WeightTarget> targets, Instant now)
{
    std::vector<std::string> asked;
    const uint64_t wantedVersion = wanted(model);
    Works &works = m_works[std::string(model)];
    settle(works, targets, wantedVersion);
    const size_t allowed = concurrentLoads(targets.size());
    size_t underWay = static_cast<size_t>(std::count_if(
            works.begin(), works.end(), [](const std::pair<const std::string, Work> &w) {
                return w.second.isAsking || w.second.isLoading;
            }));
    // Requests may begin on old weights for a limited time only, so the oldest come first.
    std::vector<WeightTarget> oldestFirst(targets.begin(), targets.end());
    std::stable_sort(
            oldestFirst.begin(), oldestFirst.end(),
            [](const WeightTarget &a, const WeightTarget &b) { return a.version < b.version; });
    for (const WeightTarget &target : oldestFirst) {
        if (target.version >= wantedVersion) {
            continue;
        }
        Work &work = works[std::string(target.id)];
        const bool isCounted = work.isAsking || work.isLoading;
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
        work.acceptedAt = now;
        work.nextAsk = now + m_options.firstCheck;
        return;
    case WeightOrderEnd::Holds:
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
