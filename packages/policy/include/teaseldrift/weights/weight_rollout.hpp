#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/weights/rollout_plan.hpp"

namespace teaseldrift {

/// @brief How many of a model's targets load new weights at once: a quarter, so that the others
/// can carry its load, and at least one.
size_t maxConcurrentLoads(size_t targets);

/// @brief Bounds of a roll of weights.
struct WeightRolloutOptions
{
    /// Pause before a target is asked again after an order that had no effect or no answer.
    Duration retryDelay = 700ms;
    /// Time from an accepted order to the first look at the target's report.
    Duration firstCheckDelay = 250ms;
    /// A load that is not confirmed for this long is ordered again.
    Duration loadTimeout = 8s;
};

/// @brief A target that serves a model, as far as the weights matter.
struct WeightTarget
{
    std::string_view id;
    /// Version that the target is known to have.
    uint64_t version = 0;
    /// Start of the target's incarnation: a restart forgets orders.
    uint64_t startedAtMs = 0;
    /// Requests that the target has: it loads once they have ended.
    uint32_t requests = 0;
};

/// @brief What became of an order or of a question for a report.
enum class WeightOrderOutcome {
    /// The target loads the weights.
    Accepted,
    /// The target has the weights.
    AlreadyLoaded,
    /// The target has the weights that it was ordered to load, but newer ones have been named
    /// meanwhile: other targets may be further behind.
    OlderVersionLoaded,
    /// The target is at another order, or its state had changed.
    Busy,
    /// The target has seen a newer controller.
    Fenced,
    /// No answer: the order may take effect later.
    Unknown,
};

/// @brief The outcome as it stands in logs.
[[nodiscard]] std::string_view name(WeightOrderOutcome outcome);

/// @brief Brings all targets of a model to the newest named weights, a part of them at a time.
///
/// ```cpp
/// rollout.setDesiredVersion("model-a", 7);
/// for (const std::string &target : rollout.dueTargets("model-a", targets, now)) { ... send an
/// order ... } rollout.orderEnded("model-a", target, WeightOrderOutcome::Accepted, now);
/// ```
class WeightRollout
{
public:
    explicit WeightRollout(WeightRolloutOptions options = {});

    /// @brief Names the newest version of a model; an older one is ignored.
    /// @return whether the version is news
    bool setDesiredVersion(std::string_view model, uint64_t version);

    /// @brief The newest version named; 0 if none was.
    [[nodiscard]] uint64_t desiredVersion(std::string_view model) const;

    [[nodiscard]] const std::map<std::string, uint64_t, std::less<>> &desiredVersions() const
    {
        return m_desiredVersions;
    }

    /// @brief Targets that shall be asked for their report, and ordered if it says so, now. Each
    /// is taken to be busy until ended() is called.
    std::vector<std::string> dueTargets(std::string_view model,
                                        std::span<const WeightTarget> targets, Instant now);

    /// @brief What is under way, for the other VMs. Without its controller and number.
    [[nodiscard]] RolloutPlan plan(std::string_view model,
                                   std::span<const WeightTarget> targets) const;

    /// @brief Whether the target was ordered to load these or older weights.
    [[nodiscard]] bool wasOrdered(std::string_view model, std::string_view target,
                                  uint64_t version) const;

    /// @brief What became of the target's question or order.
    void orderEnded(std::string_view model, std::string_view target, WeightOrderOutcome outcome,
                    Instant now);

    /// @brief Forgets all work under way: another VM may give orders now.
    void reset();

private:
    struct TargetProgress
    {
        /// Version of the question or order under way.
        uint64_t version = 0;
        uint64_t loadingVersion = 0;
        /// Requests at the target when it was first seen; its place does not change with them.
        uint32_t initialRequests = 0;
        uint64_t startedAtMs = 0;
        bool isQueryPending = false;
        bool isLoading = false;
        Instant nextQueryAt;
        Instant acceptedAt;

        [[nodiscard]] bool isInProgress() const { return isQueryPending || isLoading; }
    };

    using ProgressByTarget = std::map<std::string, TargetProgress, std::less<>>;

    void eraseFinished(ProgressByTarget &progressByTarget, std::span<const WeightTarget> targets,
                       uint64_t desired) const;
    static void addOutdated(ProgressByTarget &progressByTarget,
                            std::span<const WeightTarget> targets, uint64_t desired);
    static std::vector<WeightTarget> sortedByLoadOrder(const ProgressByTarget &progressByTarget,
                                                       std::span<const WeightTarget> targets,
                                                       uint64_t desired);

    WeightRolloutOptions m_options;
    std::map<std::string, uint64_t, std::less<>> m_desiredVersions;
    std::map<std::string, ProgressByTarget, std::less<>> m_progressByModel;
};

} // namespace teaseldrift
