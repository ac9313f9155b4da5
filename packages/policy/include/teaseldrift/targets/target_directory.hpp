#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief Registration of a target.
struct TargetEntry
{
    /// Sent with each request, so that another process at the same address rejects it.
    std::string id;
    std::string service;
    /// IP:port.
    std::string address;
    std::string availabilityZone;
    uint32_t slots = 0;
    bool isLeaving = false;
    /// Start of the incarnation in Unix milliseconds; a restarted target may keep its id.
    uint64_t startedAtMs = 0;
    /// Registrations that the incarnation has written; a smaller number is an older registration.
    uint64_t heartbeats = 0;
    /// Weights version by model.
    std::map<std::string, uint64_t, std::less<>> weights;
    /// Version of the target's software; empty if the registration does not state it.
    std::string softwareVersion = {};
};

/// @brief Effect of a registration event on its target.
enum class TargetChange {
    None,
    Added,
    /// New incarnation under a known id; its KV cache is empty.
    Restarted,
    Changed,
    Removed,
    /// The registration ended during a store outage; the target is kept for the grace period.
    Lapsed,
};

struct TargetDirectoryOptions
{
    /// Live targets register again within this time after the store has recovered.
    Duration lapseGrace = 2200ms;
    /// Number of incarnations that are gone whose last registration is remembered; the oldest ones
    /// are forgotten first. A store that returns from an older copy may contain them again, however
    /// long ago they left.
    size_t maxRemovedIncarnations = 10000;
    /// Number of leaving incarnations that are remembered; the oldest ones are forgotten first.
    size_t maxLeavingIncarnations = 4096;
};

/// @brief Known targets, from their registrations in the store.
///
/// A registration that ends while the store is unavailable says nothing about its target. Such a
/// target is kept until the grace period after the store's recovery is over. A store that returns
/// from an older copy may lack registrations and contain outdated ones; the latter are recognised
/// by their number of heartbeats.
///
/// An incarnation that is leaving never becomes available again: a registration that says
/// otherwise is older than the statement. This also holds if the registration has ended meanwhile.
class TargetDirectory
{
public:
    explicit TargetDirectory(TargetDirectoryOptions options = {});

    /// @brief Adds or updates a registration; one that is older than a known one of the same
    /// incarnation is ignored.
    TargetChange put(const TargetEntry &entry);

    /// @brief Records that a response of a target stated that it is leaving.
    /// @param startedAtMs incarnation that was sent the request
    TargetChange markLeaving(std::string_view id, uint64_t startedAtMs);

    /// @brief Handles the end of a registration.
    TargetChange remove(std::string_view id, Instant now);

    /// @brief Handles the loss of the connection to the store.
    void storeLost(Instant now);

    /// @brief Handles the store's recovery and starts the grace period.
    void storeRegained(Instant now);

    /// @brief Handles the store's return from an older copy and starts the grace period.
    void storeRestored(Instant now);

    /// @brief Removes lapsed targets whose grace period is over.
    /// @return the ids of the removed targets
    std::vector<std::string> expire(Instant now);

    /// @brief Ids of known targets that are missing from a complete read of the store.
    [[nodiscard]] std::vector<std::string>
    missingFrom(const std::map<std::string, TargetEntry, std::less<>> &present) const;

    [[nodiscard]] const TargetEntry *find(std::string_view id) const;

    /// @brief Targets of a service, without those that are leaving.
    [[nodiscard]] const std::vector<const TargetEntry *> &ofService(std::string_view service) const;

    [[nodiscard]] const std::map<std::string, TargetEntry, std::less<>> &all() const
    {
        return m_targets;
    }

    /// @brief Sets a weights version that a response showed before the registration was updated.
    void setWeights(std::string_view id, std::string_view model, uint64_t version);

private:
    /// Id of a target and TargetEntry::startedAtMs.
    using Incarnation = std::pair<std::string, uint64_t>;

    void rebuild();
    void rememberRemoval(const TargetEntry &entry);
    [[nodiscard]] bool isOutdated(const TargetEntry &entry) const;
    void rememberLeaving(std::string_view id, uint64_t startedAtMs);
    [[nodiscard]] bool isKnownToLeave(std::string_view id, uint64_t startedAtMs) const;
    [[nodiscard]] bool isInGrace(Instant now) const;

    TargetDirectoryOptions m_options;
    std::map<std::string, TargetEntry, std::less<>> m_targets;
    std::map<std::string, std::vector<const TargetEntry *>, std::less<>> m_byService;
    /// Lapsed targets with the end of their grace period; empty while the store is unavailable.
    std::map<std::string, std::optional<Instant>, std::less<>> m_lapsed;
    /// Heartbeats in the last registration.
    std::map<Incarnation, uint64_t> m_removals;
    std::deque<Incarnation> m_removalOrder;
    /// Ids of leaving incarnations with their `startedAtMs`, and the order in which they are
    /// forgotten.
    std::map<std::string, uint64_t, std::less<>> m_leaving;
    std::deque<std::string> m_leavingOrder;
    bool m_isStoreUnavailable = false;
    std::optional<Instant> m_storeRecoveredAt;
};

} // namespace teaseldrift
