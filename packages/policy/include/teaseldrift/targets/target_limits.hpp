#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Identifies an incarnation of a target among the VMs.
struct TargetLimitKey
{
    /// targetKeyOf() of the target's id.
    uint32_t target = 0;
    /// See TargetEntry::startedAtMs.
    uint64_t startedAtMs = 0;

    bool operator==(const TargetLimitKey &) const = default;
    bool operator<(const TargetLimitKey &other) const
    {
        return std::tie(target, startedAtMs) < std::tie(other.target, other.startedAtMs);
    }
};

/// @brief Key of the incarnation of a target.
[[nodiscard]] TargetLimitKey limitKeyOf(std::string_view targetId, uint64_t startedAtMs);

/// @brief Name of an incarnation's limit, by which the VMs agree on its owner.
[[nodiscard]] std::string limitName(TargetLimitKey key);

/// @brief The incarnation that limitName() names; an empty key for any other text.
[[nodiscard]] TargetLimitKey targetOfLimit(std::string_view name);

/// @brief Key of a service whose targets are brittle.
[[nodiscard]] TargetLimitKey brittleServiceKey(std::string_view service);

/// @brief What an incarnation of a target last stated about its limit.
struct TargetLimit
{
    TargetLimitKey key;
    /// Requests a second that the target takes from all VMs together; empty if it names no limit.
    std::optional<double> perSecond;
    Instant statedAt;
};

struct TargetLimitsOptions
{
    /// A limit ends if responses to requests sent after the target last named it have lacked it
    /// for this time. Responses can overtake each other.
    Duration endConfirmation = 1s;
    /// Larger limits count only if they are larger by this fraction, so that small changes cause no
    /// messages. Lower ones count at once.
    double increaseThreshold = 0.05;
    /// Lowest limit that is applied: without any request, the end of a limit would go unnoticed.
    double minPerSecond = 0.1;
    /// Time for which the end of a limit is remembered; other VMs learn of it within this time.
    Duration endMemory = 10s;
    /// Statements kept; beyond it, new limits are not recorded.
    size_t maxTargets = 16384;
};

/// @brief Limits that targets name in their responses.
///
/// VMs exchange their statements; the newest one about an incarnation counts, so they merge in any
/// order and any number of times.
class TargetLimits
{
public:
    explicit TargetLimits(TargetLimitsOptions options = {}) : m_options(options) { }

    /// @brief A response named a limit.
    /// @return whether the limit that applies has changed
    bool named(TargetLimitKey key, double perSecond, Instant now);

    /// @brief A response that would have named a limit did not.
    /// @param sentAt when its request was sent
    /// @return whether the limit has ended
    bool notNamed(TargetLimitKey key, Instant sentAt, Instant now);

    /// @brief Applies another VM's statement.
    /// @return whether the limit that applies has changed
    bool merge(const TargetLimit &limit, Instant now);

    /// @brief Requests a second that an incarnation takes; empty if it names no limit.
    [[nodiscard]] std::optional<double> of(TargetLimitKey key) const;

    /// @brief What an incarnation last stated; empty if that is not known.
    [[nodiscard]] std::optional<TargetLimit> find(TargetLimitKey key) const;

    /// @brief Limits in force and those that ended lately.
    [[nodiscard]] std::vector<TargetLimit> statements(Instant now) const;

    /// @brief Number of limits in force.
    [[nodiscard]] size_t count() const;

    /// @brief Equal on VMs that know the same limits in force.
    [[nodiscard]] uint64_t digest() const;

    /// @brief Drops what earlier incarnations of a target stated, and applies to the new one what
    /// it may have stated itself: a registration can be read after responses of the incarnation.
    /// @param since time from which responses are those of the new incarnation
    /// @return whether a limit was in force
    bool restarted(TargetLimitKey key, Instant since);

    /// @brief Drops what is known of a target that is gone.
    /// @return whether a limit was in force
    bool remove(uint32_t target);

private:
    struct State
    {
        std::optional<double> perSecond;
        Instant statedAt;
        /// When a response first lacked the limit since it was last named.
        std::optional<Instant> lackedSince;
    };

    bool set(State &state, std::optional<double> perSecond, Instant statedAt);
    void expire(Instant now);

    TargetLimitsOptions m_options;
    std::map<TargetLimitKey, State> m_states;
};

} // namespace teaseldrift
