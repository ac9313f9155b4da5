#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

enum class RolloutState {
    Running,
    /// All traffic goes to the new version; the old targets have stopped.
    Completed,
    /// All traffic goes to the old version.
    RolledBack,
};

/// @brief The operators' order to move a service's traffic to another software version.
struct RolloutOrder
{
    std::string service;
    std::string version;
    /// Increases with each order for the service, such as its revision in the store. An order that
    /// is written again is a new one.
    uint64_t number = 0;
};

/// @brief What the leader of a rollout announces to the other VMs.
struct RolloutAnnouncement
{
    RolloutOrder order;
    RolloutState state = RolloutState::Running;
    /// Fraction of the service's requests that go to the new version, from 0 to 1.
    double share = 0.0;
    /// The only targets of the new version that receive requests, by targetKeyOf(); all if empty.
    std::vector<uint32_t> targets;
    /// Targets of the new version that receive none because only they misbehave.
    std::vector<uint32_t> avoided;
    /// Time from which all requests go to the new version, on the clock of the VM that holds the
    /// announcement. It is announced in advance so that all VMs change at the same time.
    std::optional<Instant> fullFrom;
    /// Fencing token of the leader.
    uint64_t fencing = 0;
    /// Incremented with each change of the announcement.
    uint64_t sequence = 0;

    /// @brief Whether this one is newer: by order, then fencing token, then sequence number.
    [[nodiscard]] bool supersedes(const RolloutAnnouncement &other) const;

    /// @brief Whether both are equal apart from fencing token and sequence number.
    [[nodiscard]] bool hasSameContent(const RolloutAnnouncement &other) const;
};

/// @brief An announcement and the time at which the leader last made it.
struct AnnouncedRollout
{
    RolloutAnnouncement announcement;
    Instant announcedAt;
};

/// @brief Restricts a request to targets by their software version.
struct VersionRule
{
    enum class Kind {
        /// No rollout is known: any version.
        Any,
        Require,
        Exclude,
    };

    Kind kind = Kind::Any;
    std::string version;
    /// Only these targets of a required version, by targetKeyOf(); all if empty.
    std::vector<uint32_t> targets;
    /// Targets of a required version that are left out.
    std::vector<uint32_t> avoided;

    /// @brief Whether a target may receive the request.
    /// @param targetKey targetKeyOf() of the target
    [[nodiscard]] bool allows(std::string_view softwareVersion, uint32_t targetKey) const;
};

struct VersionSplitOptions
{
    /// Older announcements have no effect: the VM uses the old version only.
    Duration announcementMaxAge = 1500ms;
    /// Largest factor of a route's share.
    double maxRouteFactor = 3.0;
    /// Requests after which a route's part of the requests is known.
    double routePriorRequests = 20.0;
    /// Random number of this run of the process, which spreads the first requests that the VMs send
    /// to a new version.
    uint64_t seed = 0;
};

/// @brief Decides which software version a VM uses for its next request to a service.
///
/// Each request to the service adds `share` of a credit, and a request to the new version costs one
/// credit. The balance starts at a random fraction of a credit and is at most one credit, so that
/// the VMs together send `share` of their requests on average and each VM at most one request more,
/// regardless of restarts and partitions.
///
/// Routes with little traffic get up to `maxRouteFactor` times the share at the expense of the
/// others, so that there is evidence of each route.
///
/// ```cpp
/// split.setOrder({.service = "chat", .version = "v2", .number = revision});
/// split.apply(announcement, announcedAt);
/// query.version = split.next("chat", "chat-route", now);
/// ```
class VersionSplit
{
public:
    explicit VersionSplit(VersionSplitOptions options = {}) : m_options(options) { }

    /// @brief Handles an order; from now on its version is used only as announced. An order that is
    /// older than a known one has no effect.
    void setOrder(const RolloutOrder &order);

    /// @brief Applies an announcement. One that is superseded has no effect; one with the same
    /// number only renews the known one.
    /// @return whether its content is new
    bool apply(const RolloutAnnouncement &announcement, Instant announcedAt);

    /// @brief Counts a request to the service and selects its version.
    VersionRule next(std::string_view service, std::string_view route, Instant now);

    /// @brief The rule for a request that must not use credit, such as a repetition while a rollout
    /// is running: the old version, unless the new one is the only one.
    [[nodiscard]] VersionRule withoutCredit(std::string_view service, Instant now) const;

    /// @brief The newest order for a service; null if none is known.
    [[nodiscard]] const RolloutOrder *order(std::string_view service) const;

    /// @brief The newest announcement for a service; null if none is known.
    [[nodiscard]] const AnnouncedRollout *find(std::string_view service) const;

    /// @brief Announcements to pass on to other VMs: fresh ones, and those of ended rollouts.
    [[nodiscard]] std::vector<AnnouncedRollout> announcements(Instant now) const;

private:
    struct RouteCredit
    {
        double credit = 0.0;
        double requests = 0.0;
    };

    struct State
    {
        RolloutOrder order;
        std::optional<AnnouncedRollout> announced;
        double credit = 0.0;
        double requests = 0.0;
        std::map<std::string, RouteCredit, std::less<>> routes;
    };

    [[nodiscard]] double initialCredit(const RolloutOrder &order, std::string_view route) const;
    void begin(State &state, const RolloutOrder &order) const;
    [[nodiscard]] double routeFactor(const State &state, const RouteCredit &route) const;
    bool takeCredit(State &state, std::string_view route) const;
    [[nodiscard]] bool isFresh(const State &state, Instant now) const;
    [[nodiscard]] static bool isFull(const State &state, Instant now);
    [[nodiscard]] VersionRule ruleOf(const State &state, bool mayUseNew, Instant now) const;

    VersionSplitOptions m_options;
    std::map<std::string, State, std::less<>> m_services;
};

} // namespace teaseldrift
