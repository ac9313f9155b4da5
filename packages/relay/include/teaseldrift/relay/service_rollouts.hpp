#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/rollout/version_evidence.hpp"
#include "teaseldrift/rollout/version_split.hpp"
#include "teaseldrift/targets/target_directory.hpp"

namespace teaseldrift::relay {

/// @brief This VM's part in the rollouts of services: versions of its requests, and what their
/// responses show.
class ServiceRollouts
{
public:
    /// @param seed random number of this run of the process
    explicit ServiceRollouts(uint64_t seed) : m_split({.seed = seed}) { }

    /// @brief Handles an order of the operators; its version is used only as announced.
    void setOrder(const RolloutOrder &order) { m_split.setOrder(order); }

    /// @brief Applies the leader's announcement.
    /// @return whether its content is new
    bool apply(const RolloutAnnouncement &announcement, Instant announcedAt)
    {
        return m_split.apply(announcement, announcedAt);
    }

    VersionSplit &split() { return m_split; }
    [[nodiscard]] const VersionSplit &split() const { return m_split; }

    /// @brief Evidence of the present order of a service; null if there is none.
    VersionEvidence *evidence(std::string_view service);

    /// @brief This VM's counters of the present order of a service, with the announcement that it
    /// uses; empty if there is no order.
    [[nodiscard]] std::optional<RolloutCounts> counts(std::string_view service);

private:
    VersionSplit m_split;
    std::map<std::string, VersionEvidence, std::less<>> m_evidence;
};

/// @brief The version of one request's attempts, and the report of their outcomes.
///
/// Without a ServiceRollouts it does nothing.
class VersionedAttempt
{
public:
    /// @param rollouts null if the deployment makes no rollouts of services
    /// @param service must outlive the attempt, like the route
    VersionedAttempt(ServiceRollouts *rollouts, std::string_view service, std::string_view route)
        : m_rollouts(rollouts), m_service(service), m_route(route)
    { }
    ~VersionedAttempt() { end(); }
    VersionedAttempt(const VersionedAttempt &) = delete;
    VersionedAttempt &operator=(const VersionedAttempt &) = delete;

    /// @brief Selects the version for an attempt; a second call for the same one does not select
    /// anew. Only the request's first attempt may go to a version that is being tested.
    /// @return null for any version
    const VersionRule *select(uint64_t attempt, Instant now);

    /// @brief Selects the old version instead, if the new one's targets cannot take the request and
    /// the old ones may.
    /// @return whether the rule has changed
    bool fallBack(Instant now);

    /// @brief The attempt is sent to a target.
    /// @param target null if it is no longer known
    void sent(const TargetEntry *target, Instant now);

    /// @brief The target has responded: its first event, or its complete response.
    void responded(Instant now);

    /// @brief The attempt has failed at its target, which may have responded before.
    void failed(Instant now);

    /// @brief The attempt is no longer at its target.
    void end();

private:
    /// @return null if the attempt is not counted
    VersionEvidence *evidence();

    ServiceRollouts *m_rollouts;
    std::string_view m_service;
    std::string_view m_route;
    VersionRule m_rule;
    std::optional<uint64_t> m_attempt;
    /// Order for which the attempt is counted; 0 if it is not.
    uint64_t m_order = 0;
    uint32_t m_targetKey = EvidenceKey::oldVersion;
    Instant m_sentAt;
    bool m_hasResponded = false;
};

} // namespace teaseldrift::relay
