#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/weights/roll_plan.hpp"

namespace teaseldrift {

/// @brief How many of a model's targets load new weights at once: a quarter, so that the others
/// can carry its load, and at least one.
size_t concurrentLoads(size_t targets);

/// @brief Bounds of a roll of weights.
struct WeightRollOptions
{
    /// Pause before a target is asked again after an order that had no effect or no answer.
    Duration retryPause = 700ms;
    /// Time from an accepted order to the first look at the target's report.
    Duration firstCheck = 250ms;
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
enum class WeightOrderEnd {
    /// The target loads the weights.
    Accepted,
    /// The target has the weights.
    Holds,
    /// The target has the weights that it was ordered to load, but newer ones have been named
    /// meanwhile: other targets may be further behind.
    HoldsOlder,
    /// The target is at another order, or its state had changed.
    Busy,
    /// The target has seen a newer controller.
    Fenced,
    /// No answer: the order may take effect later.
    Unknown,
};

/// @brief The outcome as it stands in logs.
[[nodiscard]] std::string_view name(WeightOrderEnd end);

/// @brief Brings all targets of a model to the newest named weights, a part of them at a time.
///
/// ```cpp
/// roll.setWanted("model-a", 7);
/// for (const std::string &target : roll.due("model-a", targets, now)) { ... send an order ... }
/// roll.ended("model-a", target, WeightOrderEnd::Accepted, now);
/// ```
class WeightRoll
{
public:
    explicit WeightRoll(WeightRollOptions options = {});

    /// @brief Names the newest version of a model; an older one is ignored.
    /// @return whether the version is news
    bool setWanted(std::string_view model, uint64_t version);

    /// @brief The newest version named; 0 if none was.
    [[nodiscard]] uint64_t wanted(std::string_view model) const;

    [[nodiscard]] const std::map<std::string, uint64_t, std::less<>> &allWanted() const
    {
        return m_wanted;
    }

    /// @brief Targets that shall be asked for their report, and ordered if it says so, now. Each
    /// is taken to be busy until ended() is called.
    std::vector<std::string> due(std::string_view model, std::span<const WeightTarget> targets,
                                 Instant now);

    /// @brief What is under way, for the other VMs. Without its controller and number.
    [[nodiscard]] RollPlan plan(std::string_view model,
                                std::span<const WeightTarget> targets) const;

    /// @brief Whether the target was ordered to load these or older weights.
    [[nodiscard]] bool wasOrdered(std::string_view model, std::string_view target,
                                  uint64_t version) const;

    /// @brief What became of the target's question or order.
    void ended(std::string_view model, std::string_view target, WeightOrderEnd end, Instant now);

    /// @brief Forgets all work under way: another VM may give orders now.
    void reset();

private:
    struct Work
    {
        /// Version of the question or order under way.
        uint64_t version = 0;
        uint64_t loadingVersion = 0;
        /// Requests at the target when it was first seen; its place does not change with them.
        uint32_t requestsAtFirst = 0;
        uint64_t startedAtMs = 0;
        bool isAsking = false;
        bool isLoading = false;
        Instant nextAsk;
        Instant acceptedAt;

        [[nodiscard]] bool isUnderWay() const { return isAsking || isLoading; }
    };

    using Works = std::map<std::string, Work, std::less<>>;

    void settle(Works &works, std::span<const WeightTarget> targets, uint64_t wantedVersion) const;
    static void rank(Works &works, std::span<const WeightTarget> targets, uint64_t wantedVersion);
    static std::vector<WeightTarget>
    inOrder(const Works &works, std::span<const WeightTarget> targets, uint64_t wantedVersion);

    WeightRollOptions m_options;
    std::map<std::string, uint64_t, std::less<>> m_wanted;
    std::map<std::string, Works, std::less<>> m_works;
};

} // namespace teaseldrift
