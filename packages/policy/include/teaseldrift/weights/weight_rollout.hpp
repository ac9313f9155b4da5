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

/// @brief Number of a model's targets that load new weights at once: a quarter, so that the others
/// can carry the model's requests, but at least one.
size_t maxConcurrentLoads(size_t targets);

struct WeightRolloutOptions
{
    /// Delay before a target is queried again after an order was rejected or not answered.
    Duration retryDelay = 700ms;
    /// Delay from an accepted order to the next query of the target's report, and between queries.
    Duration queryDelay = 250ms;
    /// A target that has not confirmed its load within this time is queried and ordered again.
    Duration loadTimeout = 8s;
};

/// @brief A target that serves a model.
struct WeightTarget
{
    std::string_view id;
    /// Last known weights version.
    uint64_t version = 0;
    /// Start of the target's incarnation; a restarted target has lost its orders.
    uint64_t startedAtMs = 0;
    /// Requests in flight at the target, which finish before it loads.
    uint32_t requests = 0;
    /// The target has asked to be sent nothing at present.
    bool isQuiet = false;
};

/// @brief Outcome of an order or of the query for a report before it.
enum class WeightOrderOutcome {
    /// The target has accepted the order and loads the weights.
    Accepted,
    /// The target has the desired weights.
    AlreadyLoaded,
    /// The target has the weights that it was ordered to load, but a newer version has become the
    /// desired one meanwhile. Targets with older weights go first.
    OlderVersionLoaded,
    /// The target executes another order, or its state has changed since the report.
    Busy,
    /// The target has seen a newer fencing token.
    Fenced,
    /// No response; the order may still take effect.
    Unknown,
};

/// @brief Name of the outcome in logs.
[[nodiscard]] std::string_view name(WeightOrderOutcome outcome);

/// @brief Rolls the desired weights of each model out to its targets in batches.
///
/// ```cpp
/// rollout.setDesiredVersion("model-a", 7);
/// for (const std::string &target : rollout.dueTargets("model-a", targets, now)) {
///     sendOrder(target);
/// }
/// rollout.orderEnded("model-a", target, WeightOrderOutcome::Accepted, now);
/// ```
class WeightRollout
{
public:
    explicit WeightRollout(WeightRolloutOptions options = {});

    /// @brief Sets the desired version of a model; an older one is ignored.
    /// @return whether the version is new
    bool setDesiredVersion(std::string_view model, uint64_t version);

    /// @brief The desired version of a model; 0 if none is set.
    [[nodiscard]] uint64_t desiredVersion(std::string_view model) const;

    [[nodiscard]] const std::map<std::string, uint64_t, std::less<>> &desiredVersions() const
    {
        return m_desiredVersions;
    }

    /// @brief Targets to query now for their report, and to order to load if it shows older
    /// weights. A target is not returned again until orderEnded() is called for it.
    std::vector<std::string> dueTargets(std::string_view model,
                                        std::span<const WeightTarget> targets, Instant now);

    /// @brief The plan to announce; the caller sets fencing token and sequence number.
    [[nodiscard]] RolloutPlan plan(std::string_view model,
                                   std::span<const WeightTarget> targets) const;

    /// @brief Whether the target has accepted an order to load this version or an older one.
    [[nodiscard]] bool wasOrdered(std::string_view model, std::string_view target,
                                  uint64_t version) const;

    /// @brief Records the outcome of a target's query or order.
    void orderEnded(std::string_view model, std::string_view target, WeightOrderOutcome outcome,
                    Instant now);

    /// @brief Drops all progress, since another VM may have given orders meanwhile.
    void reset();

private:
    struct TargetProgress
    {
        /// Version of the pending query or order.
        uint64_t version = 0;
        uint64_t loadingVersion = 0;
        /// Requests when the target was first seen; later changes do not affect the load order.
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
