#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Outcomes of responses.
struct ResponseCounts
{
    uint64_t responses = 0;
    uint64_t failures = 0;
    /// Responses whose time could be compared with the old version's.
    uint64_t timed = 0;
    /// Responses that took VersionEvidenceOptions::slowFactor times as long.
    uint64_t slow = 0;

    ResponseCounts &operator+=(const ResponseCounts &other);
    bool operator==(const ResponseCounts &) const = default;
};

/// @brief What a count applies to.
struct EvidenceKey
{
    /// Key of the old version's targets, which are counted together.
    static constexpr uint32_t oldVersion = 0;
    /// Key of further targets of the new version, for which there is no space.
    static constexpr uint32_t otherTargets = std::numeric_limits<uint32_t>::max();

    /// routeKeyOf().
    uint32_t route = 0;
    /// targetKeyOf() of a target of the new version, or one of the constants.
    uint32_t target = oldVersion;

    bool operator==(const EvidenceKey &) const = default;
    bool operator<(const EvidenceKey &other) const
    {
        return std::tie(route, target) < std::tie(other.route, other.target);
    }
};

/// @brief Counters of one or several VMs for one rollout.
struct RolloutCounts
{
    /// RolloutOrder::number; counters of different orders are not added.
    uint64_t order = 0;
    /// VMs that are counted.
    uint32_t vms = 0;
    /// Requests to the service, and those of them that were sent to the new version.
    uint64_t requests = 0;
    uint64_t newRequests = 0;
    /// Requests in flight at targets of the old version.
    uint64_t oldInFlight = 0;
    /// Smallest sequence number of the announcement that the VMs use, with its fencing token.
    uint64_t fencing = 0;
    uint64_t sequence = 0;
    std::map<EvidenceKey, ResponseCounts> responses;

    /// @brief Adds the counters of other VMs; those of a newer order replace these.
    RolloutCounts &operator+=(const RolloutCounts &other);
};

/// @brief 32-bit hash of a route's name, which stands for the route in messages between VMs.
[[nodiscard]] uint32_t routeKeyOf(std::string_view route);

struct VersionEvidenceOptions
{
    /// A response is slow if it takes this many times the old version's mean.
    double slowFactor = 2.5;
    /// Responses of the old version after which its mean is used, and the weight of one response.
    uint32_t minOldResponses = 4;
    double meanWeight = 1.0 / 16.0;
    /// Age of the old version's last response above which its mean is not used: longer than the
    /// last step of a rollout, in which the old version gets no requests.
    Duration meanMaxAge = 4s;
    /// Most counters; responses of further targets are counted together.
    size_t maxCounters = 64;
};

/// @brief Counts the outcomes of one VM's responses by route and version during a rollout.
///
/// Slow responses of both versions are measured against the old version's mean of the same route
/// and time, so that load affects both equally.
class VersionEvidence
{
public:
    explicit VersionEvidence(VersionEvidenceOptions options = {}) : m_options(options) { }

    /// @brief Starts counting for another order.
    void reset(uint64_t order);

    void sent(bool isNewVersion);

    /// @brief Records a response, or the failure of an attempt, also one that had responded.
    /// @param targetKey targetKeyOf() of a target of the new version; EvidenceKey::oldVersion else
    /// @param time empty if it says nothing about the version
    void responded(std::string_view route, uint32_t targetKey, bool isFailure,
                   std::optional<Duration> time, Instant now);

    /// @brief Records that an attempt that sent() was called for is no longer at its target.
    void finished(bool isNewVersion);

    [[nodiscard]] const RolloutCounts &counts() const { return m_counts; }

private:
    struct Mean
    {
        double ms = 0.0;
        uint32_t responses = 0;
        Instant updatedAt;
    };

    ResponseCounts *countsOf(uint32_t route, uint32_t target);
    [[nodiscard]] std::optional<bool> isSlow(uint32_t route, Duration time, Instant now) const;

    VersionEvidenceOptions m_options;
    RolloutCounts m_counts;
    std::map<uint32_t, Mean> m_oldMeans;
};

} // namespace teaseldrift
