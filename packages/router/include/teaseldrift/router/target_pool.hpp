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

/// @brief Requirements of a request, from which the pool selects a target.
struct TargetQuery
{
    std::string organisation;
    /// Model of a completion; empty for a plain service.
    std::string model;
    std::string adapter;
    /// Service name of a plain service.
    std::string service;
    /// Complete prompt of a completion.
    std::string prompt;
    uint32_t maxTokens = 0;
    int32_t priority = 0;
    double weight = 1.0;
    /// Time by which the first token must have arrived.
    Instant deadline{};
};

/// @brief Restrictions on the selection of a target for one attempt.
struct AcquireOptions
{
    /// Id of the only target allowed; empty for any.
    std::string onlyTarget;
    std::vector<std::string> excludedTargets;
    /// Not the first attempt of the request; it is queued ahead of first attempts.
    bool isRetry = false;
};

/// @brief The target acquired for an attempt, or the reason why there is none.
struct AcquireResult
{
    /// OK if a target was acquired.
    schema::ResultCode code = schema::OK;
    /// With NO_TARGET: time until the first target is available again, if that is known.
    std::optional<Duration> retryAfter;
    std::string target;
    /// Incarnation that the target last reported; 0 if it has not.
    uint64_t incarnation = 0;
    http::Endpoint endpoint;
    /// Reason for the selection, for debug headers; may be empty unless explanations are enabled.
    std::string explanation;
    /// Id to pass to firstToken() and release(); the same that acquire() returned.
    uint64_t acquisitionId = 0;
};

/// @brief What an attempt showed about its target.
struct AttemptFeedback
{
    std::optional<HealthObservation> observation;
    /// Prompt tokens that the engine reused from its cache, if it reported them.
    std::optional<uint64_t> cachedTokens;
    uint64_t promptTokens = 0;
};

/// @brief Load report of a target.
struct TargetLoad
{
    /// Changes whenever the engine's cache starts empty.
    uint64_t incarnation = 0;
    uint32_t running = 0;
    uint32_t queued = 0;
    uint64_t prefillBacklogTokens = 0;
    uint32_t slots = 0;
    /// Requests a second that the target takes from all VMs together; empty for no limit.
    std::optional<double> requestsPerSecond;
    /// The report names a limit that is no number, negative, or larger than any target's.
    bool hasInvalidLimit = false;
    Instant observedAt{};
    /// Versions of the weights that the engine serves, by model; a model that is still being loaded
    /// is absent. Empty if the engine does not report its models.
    std::map<std::string, std::string> models;
};

/// @brief Address of a target to poll or probe.
struct TargetAddress
{
    std::string id;
    http::Endpoint endpoint;
    bool isEngine = true;
};

/// @brief Tracks load and health of the fleet's targets, queues requests and assigns targets to
/// them.
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

    /// @brief Replaces the configuration.
    void configure(std::shared_ptr<const RoutingTable> table);

    /// @brief Sets the targets that the platform's list shows as leaving; they receive no new
    /// requests.
    void setLeaving(const std::vector<std::string> &targets);

    /// @brief Stores a target's load report.
    void report(const std::string &target, const TargetLoad &report);

    /// @brief Assigns no requests to a target until then.
    void setUnavailableUntil(const std::string &target, Instant until);

    /// @brief Records the result of a probe of a target.
    void reportObservation(const std::string &target, HealthObservation observation);

    [[nodiscard]] std::vector<TargetAddress> addresses() const;

    /// @brief Returns the targets that are due for a probe because they are ejected or idle.
    std::vector<TargetAddress> takeProbes();

    /// @brief Enables AcquireResult::explanation for every selection, as debug headers need it.
    void setExplanationsEnabled(bool enabled);

    /// @brief Sets the fraction of the fleet's requests that this VM receives.
    void setTrafficShare(double share);

    /// @brief Queues a request until a target with a free slot can be assigned to it.
    /// @param done called once from the event loop, never from within acquire()
    AcquisitionId acquire(std::shared_ptr<const TargetQuery> query, AcquireOptions options,
                          Done done);

    /// @brief Cancels a waiting acquisition; its `done` is then not called. If it has already been
    /// dispatched, releases its target; `done` may then still be called.
    void cancel(AcquisitionId acquisitionId);

    /// @brief Records that the first token of an attempt has arrived.
    void firstToken(uint64_t acquisitionId);

    /// @brief Releases the target of an attempt.
    void release(uint64_t acquisitionId, const AttemptFeedback &feedback);

    /// @brief Returns the state of all targets as JSON, for /admin/status.
    [[nodiscard]] std::string statusJson() const;

    /// @brief Returns as JSON which target would be selected for a query now, and why.
    [[nodiscard]] std::string explainJson(const TargetQuery &query);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
