#include "teaseldrift/weights/weight_rollout.hpp"

#include <algorithm>
#include <tuple>

#include "teaseldrift/targets/peer_load_tracker.hpp"

namespace teaseldrift {

size_t maxConcurrentLoads(size_t targets)
{
    constexpr size_t batches = 4;
    return std::max<size_t>(1, targets / batches);
}

std::string_view name(WeightOrderOutcome outcome)
{
    switch (outcome) {
    case WeightOrderOutcome::Accepted:
        return "accepted";
    case WeightOrderOutcome::AlreadyLoaded:
        return "holds";
    case WeightOrderOutcome::OlderVersionLoaded:
        return "holds_older";
    case WeightOrderOutcome::Busy:
        return "busy";
    case WeightOrderOutcome::Fenced:
        return "fenced";
    case WeightOrderOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

WeightRollout::WeightRollout(WeightRolloutOptions options) : m_options(options) { }

bool WeightRollout::setDesiredVersion(std::string_view model, uint64_t version)
{
    uint64_t &known = m_desiredVersions[std::string(model)];
    if (version <= known) {
        return false;
    }
    known = version;
    return true;
}

uint64_t WeightRollout::desiredVersion(std::string_view model) const
{
    const auto found = m_desiredVersions.find(model);
    return found == m_desiredVersions.end() ? 0 : found->second;
}

void WeightRollout::eraseFinished(ProgressByTarget &progressByTarget,
                                  std::span<const WeightTarget> targets, uint64_t desired) const
{
    for (ProgressByTarget::iterator it = progressByTarget.begin(); it != progressByTarget.end();) {
        const auto target = std::find_if(
                targets.begin(), targets.end(),
                [&it](const WeightTarget &candidate) { return candidate.id == it->first; });
        const bool isMissing = target == targets.end();
        const bool isDone = !isMissing && target->version >= desired;
        const bool isRestarted = !isMissing && target->startedAtMs != it->second.startedAtMs;
        const bool isErasable = isMissing || !it->second.isQueryPending;
        it = isErasable && (isMissing || isDone || isRestarted) ? progressByTarget.erase(it)
                                                                : std::next(it);
    }
}

/// Adds targets with older weights that are not tracked yet.
void WeightRollout::addOutdated(ProgressByTarget &progressByTarget,
                                std::span<const WeightTarget> targets, uint64_t desired)
{
    for (const WeightTarget &target : targets) {
        if (target.version < desired) {
            progressByTarget.try_emplace(std::string(target.id),
                                         TargetProgress{.initialRequests = target.requests,
                                                        .startedAtMs = target.startedAtMs});
        }
    }
}

/// Targets with older weights in the order in which they load. The oldest weights come first, since
/// requests may start on old weights for a limited time only; then the targets with the fewest
/// requests to finish.
std::vector<WeightTarget> WeightRollout::sortedByLoadOrder(const ProgressByTarget &progressByTarget,
                                                           std::span<const WeightTarget> targets,
                                                           uint64_t desired)
{
    std::vector<WeightTarget> ordered;
    for (const WeightTarget &target : targets) {
        if (target.version < desired && progressByTarget.contains(target.id)) {
            ordered.push_back(target);
        }
    }
    std::sort(ordered.begin(), ordered.end(),
              [&progressByTarget](const WeightTarget &a, const WeightTarget &b) {
                  return std::tuple(a.version, progressByTarget.find(a.id)->second.initialRequests,
                                    a.id)
                         < std::tuple(b.version,
                                      progressByTarget.find(b.id)->second.initialRequests, b.id);
              });
    return ordered;
}

std::vector<std::string> WeightRollout::dueTargets(std::string_view model,
                                                   std::span<const WeightTarget> targets,
                                                   Instant now)
{
    std::vector<std::string> queried;
    const uint64_t desired = desiredVersion(model);
    ProgressByTarget &progressByTarget = m_progressByModel[std::string(model)];
    eraseFinished(progressByTarget, targets, desired);
    addOutdated(progressByTarget, targets, desired);
    const size_t allowed = maxConcurrentLoads(targets.size());
    size_t inProgress = static_cast<size_t>(
            std::count_if(progressByTarget.begin(), progressByTarget.end(),
                          [](const std::pair<const std::string, TargetProgress> &progress) {
                              return progress.second.isInProgress();
                          }));
    for (const WeightTarget &target : sortedByLoadOrder(progressByTarget, targets, desired)) {
        TargetProgress &progress = progressByTarget.find(target.id)->second;
        const bool isCounted = progress.isInProgress();
        const bool isTimedOut
                = progress.isLoading && now >= progress.acceptedAt + m_options.loadTimeout;
        if (target.isQuiet || progress.isQueryPending || (now < progress.nextQueryAt && !isTimedOut)
            || (!isCounted && inProgress >= allowed)) {
            continue;
        }
        inProgress += isCounted ? 0 : 1;
        progress.isQueryPending = true;
        progress.startedAtMs = target.startedAtMs;
        progress.version = desired;
        queried.emplace_back(target.id);
    }
    return queried;
}

RolloutPlan WeightRollout::plan(std::string_view model, std::span<const WeightTarget> targets) const
{
    RolloutPlan plan{.model = std::string(model),
                     .version = desiredVersion(model),
                     .batchSize = maxConcurrentLoads(targets.size())};
    const auto modelProgress = m_progressByModel.find(model);
    if (modelProgress == m_progressByModel.end()) {
        return plan;
    }
    for (const WeightTarget &target :
         sortedByLoadOrder(modelProgress->second, targets, plan.version)) {
        const bool isLoading = modelProgress->second.find(target.id)->second.isLoading;
        (isLoading ? plan.loading : plan.waiting).push_back(targetKeyOf(target.id));
    }
    for (const WeightTarget &target : targets) {
        if (target.version >= plan.version) {
            plan.loaded.push_back(targetKeyOf(target.id));
        }
    }
    return plan;
}

bool WeightRollout::wasOrdered(std::string_view model, std::string_view target,
                               uint64_t version) const
{
    const auto modelProgress = m_progressByModel.find(model);
    if (modelProgress == m_progressByModel.end()) {
        return false;
    }
    const ProgressByTarget::const_iterator progress = modelProgress->second.find(target);
    return progress != modelProgress->second.end() && progress->second.isLoading
           && progress->second.loadingVersion <= version;
}

void WeightRollout::orderEnded(std::string_view model, std::string_view target,
                               WeightOrderOutcome outcome, Instant now)
{
    const auto modelProgress = m_progressByModel.find(model);
    if (modelProgress == m_progressByModel.end()) {
        return;
    }
    const auto found = modelProgress->second.find(target);
    if (found == modelProgress->second.end()) {
        return;
    }
    TargetProgress &progress = found->second;
    progress.isQueryPending = false;
    switch (outcome) {
    case WeightOrderOutcome::Accepted:
        progress.isLoading = true;
        progress.loadingVersion = progress.version;
        progress.acceptedAt = now;
        progress.nextQueryAt = now + m_options.queryDelay;
        return;
    case WeightOrderOutcome::AlreadyLoaded:
    case WeightOrderOutcome::OlderVersionLoaded:
        modelProgress->second.erase(found);
        return;
    case WeightOrderOutcome::Busy:
        progress.nextQueryAt = now + m_options.queryDelay;
        return;
    case WeightOrderOutcome::Fenced:
    case WeightOrderOutcome::Unknown:
        progress.isLoading = false;
        progress.nextQueryAt = now + m_options.retryDelay;
        return;
    }
}

void WeightRollout::reset()
{
    m_progressByModel.clear();
}

} // namespace teaseldrift
