#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/health/target_health.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/router/routing_table.hpp"
#include "teaseldrift/schema/result_code.pb.h"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::router {

class RouterMetrics;

/// @brief What a request needs of a target.
struct TargetQuery
{
    std::string organisation;
    /// Model of a completion; empty for a plain service.
    std::string model;
    std::string adapter;
    /// Service name of a plain service.
    std::string service;
    /// Whole prompt of a completion.
    std::string prompt;
    uint32_t maxTokens = 0;
    int32_t priority = 0;
    double weight = 1.0;
    /// When the first token must be there.
    Instant deadline{};
};

/// @brief Limits of one acquisition.
struct AcquireOptions
{
    /// Only this target; empty for any.
    std::string onlyTarget;
    std::vector<std::string> excludedTargets;
    /// The request was admitted before, so it waits ahead of new ones.
    bool isRetry = false;
};

/// @brief A target taken for one attempt, or why there is none.
struct AcquireResult
{
    /// OK if a target was taken.
    schema::ResultCode code = schema::OK;
    std::optional<Duration> retryAfter;
    std::string target;
    http::Endpoint endpoint;
    /// Why this target was chosen, for debug headers; may be empty without
    /// setExplanationsEnabled().
    std::string explanation;
    /// Identifies the use of the target in release().
    uint64_t acquisitionId = 0;
};

/// @brief What an attempt learned about its target.
struct AttemptFeedback
{
    std::optional<HealthObservation> observation;
    /// Tokens that the engine took from its cache, if it said so.
    std::optional<uint64_t> cachedTokens;
    uint64_t promptTokens = 0;
};

/// @brief What a target reported of itself.
struct TargetLoad
{
    /// Changes whenever the engine's cache starts empty.
    uint64_t incarnation = 0;
    uint32_t running = 0;
    uint32_t queued = 0;
    uint64_t prefillBacklogTokens = 0;
    uint32_t slots = 0;
    Instant observedAt{};
    /// Weights version by model that the engine serves now; a model that is being loaded is
    /// missing. Empty if the engine does not say.
    std::map<std::string, std::string> models;
};

/// @brief A target to be asked for a report.
struct TargetAddress
{
    std::string id;
    http::Endpoint endpoint;
    bool isEngine = true;
};

/// @brief The targets of this fleet as one VM uses them: who may get work, who gets it, in which
/// order requests wait.
class TargetPool
{
public:
    using AcquisitionId = uint64_t;
    using Done = std::function<void(const AcquireResult &)>;

    TargetPool(http::EventLoop &loop, RouterMetrics &metrics, std::string availabilityZone,
               uint64_t seed);
    ~TargetPool();
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    /// @brief Uses this configuration from now on.
    void configure(std::shared_ptr<const RoutingTable> table);

    /// @brief Targets that the platform's list shows as leaving; they get no new work.
    void setLeaving(const std::vector<std::string> &targets);

    /// @brief Takes a target's report.
    void report(const std::string &target, const TargetLoad &report);

    /// @brief Takes what a probe of a target showed.
    void reportObservation(const std::string &target, HealthObservation observation);

    /// @brief All targets.
    [[nodiscard]] std::vector<TargetAddress> addresses() const;

    /// @brief Targets to be probed now, because they are ejected or have been idle.
    std::vector<TargetAddress> takeProbes();

    /// @brief Whether each choice is explained in AcquireResult::explanation, as debug headers need
    /// it.
    void setExplanationsEnabled(bool enabled);

    /// @brief This VM's part of all requests, as VMs come and go.
    void setTrafficShare(double share);

    /// @brief Takes a target as soon as one has room.
    /// @param done called once from the loop, never inside acquire()
    AcquisitionId acquire(std::shared_ptr<const TargetQuery> query, AcquireOptions options,
                          Done done);

    /// @brief Gives up waiting; `done` is not called any more.
    void cancel(AcquisitionId acquisitionId);

    /// @brief The first token of a use has arrived.
    void firstToken(uint64_t acquisitionId);

    /// @brief Ends the use of a target.
    void release(uint64_t acquisitionId, const AttemptFeedback &feedback);

    /// @brief State of all targets as JSON, for /admin/status.
    [[nodiscard]] std::string statusJson() const;

    /// @brief Why a target would be chosen for a query now, as JSON.
    [[nodiscard]] std::string explainJson(const TargetQuery &query);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
