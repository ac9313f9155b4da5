#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaseldrift/hashing/block_chain.hpp"
#include "teaseldrift/placement/cache_aware_policy.hpp"
#include "teaseldrift/placement/dispatcher.hpp"
#include "teaseldrift/queueing/fair_queue.hpp"
#include "teaseldrift/router/target_pool.hpp"

namespace teaseldrift::router {

/// Assumed for a target that neither reports nor configures its slots.
inline constexpr uint32_t defaultTargetSlots = 8;

/// Configuration, last load report and this VM's in-flight requests of a target.
struct TargetState
{
    schema::Target target;
    TargetLoad report;
    bool hasReport = false;
    uint32_t inFlight = 0;
    /// See TargetPool::setUnavailableUntil().
    Instant unavailableUntil{};

    [[nodiscard]] uint32_t slots() const
    {
        if (report.slots > 0) {
            return report.slots;
        }
        return target.slots() > 0 ? target.slots() : defaultTargetSlots;
    }

    [[nodiscard]] bool serves(const std::string &model) const
    {
        return report.models.empty() || report.models.contains(model);
    }

    [[nodiscard]] std::string_view versionOf(const std::string &model) const
    {
        const auto found = report.models.find(model);
        return found == report.models.end() ? std::string_view() : found->second;
    }
};

/// A request that waits for a target.
struct WaitingRequest
{
    std::shared_ptr<const TargetQuery> query;
    AcquireOptions options;
    std::vector<hashing::BlockHash> chain;
    uint32_t promptTokens = 0;
    TargetPool::Done done;
    Instant since{};

    [[nodiscard]] placement::RequestView view() const
    {
        return {.chain = chain, .promptTokens = promptTokens, .outputTokens = query->maxTokens};
    }

    /// Hashes the prompt's blocks and estimates its token count.
    void hashPrompt(const hashing::ChainOptions &chainOptions)
    {
        chain = hashing::hashChain({.organisation = query->organisation,
                                    .model = query->model,
                                    .adapter = query->adapter},
                                   query->prompt, chainOptions);
        promptTokens = hashing::estimateTokens(query->prompt, chainOptions);
    }

    [[nodiscard]] bool excludes(const std::string &target) const
    {
        if (!options.onlyTarget.empty()) {
            return target != options.onlyTarget;
        }
        return std::find(options.excludedTargets.begin(), options.excludedTargets.end(), target)
               != options.excludedTargets.end();
    }
};

/// Interchangeable targets (of one model or one plain service) and the requests that wait for them.
struct Pool
{
    /// Waiting requests of a plain service.
    queueing::FairQueue queue;
    /// Waiting first attempts for engines; targets are assigned as late as possible.
    placement::Dispatcher dispatcher;
    /// Waiting retries for engines. Each has its own excluded targets, so they bypass the
    /// dispatcher; they are dispatched before first attempts.
    std::deque<TargetPool::AcquisitionId> retries;
    std::vector<TargetState *> targets;
    /// Model of the engines; empty for a plain service.
    std::string model;
    std::map<TargetPool::AcquisitionId, WaitingRequest> waiting;
    /// Set for engines only.
    std::optional<placement::CacheAwarePolicy> policy;
    hashing::ChainOptions chainOptions;
    size_t roundRobinOffset = 0;

    [[nodiscard]] size_t size() const { return waiting.size(); }
};

/// The target selected for a request, and the reason.
struct Selection
{
    placement::ChoiceOutcome outcome = placement::ChoiceOutcome::NoTarget;
    TargetState *target = nullptr;
    std::string explanation;
};

/// @brief Selects the eligible target of a plain service with the fewest requests in flight; ties
/// are resolved by round robin.
Selection selectServiceTarget(Pool &pool, const WaitingRequest &waiting,
                              const TargetHealth &health);

/// @brief Converts a target's state to the placement policy's view.
placement::TargetView viewOf(const TargetState &state, const std::string &model, bool accepting);

} // namespace teaseldrift::router
