#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief What a target has registered about itself.
struct TargetEntry
{
    /// Identity of one incarnation, sent along so that no other process takes the request.
    std::string id;
    std::string service;
    /// IP:port.
    std::string address;
    std::string availabilityZone;
    uint32_t slots = 0;
    bool isLeaving = false;
    /// Start of the incarnation, in Unix milliseconds; a target may come back under its old id.
    uint64_t startedAtMs = 0;
    /// Weights version of each model that it serves.
    std::map<std::string, uint64_t, std::less<>> weights;
};

/// @brief How a change of an entry affects its target.
enum class TargetChange {
    None,
    Added,
    /// A new incarnation under a known id, which holds nothing of before.
    Restarted,
    Changed,
    Removed,
    /// The entry ended while the store was away: the target stays until its grace is over.
    Lapsed,
};

/// @brief Bounds of the directory.
struct TargetDirectoryOptions
{
    /// Time after the store's return within which living targets have registered again.
    Duration lapseGrace = 2200ms;
};

/// @brief Targets by their registrations, whoever feeds them in.
///
/// Entries that end while the store is away say nothing about their targets. Such a target is kept
/// until the store has been back for the grace time.
class TargetDirectory
{
public:
    explicit TargetDirectory(TargetDirectoryOptions options = {});

    /// @brief Takes a registration.
    TargetChange put(const TargetEntry &entry);

    /// @brief A registration ended.
    TargetChange remove(std::string_view id, Instant now);

    /// @brief The store answers no longer.
    void storeLost(Instant now);

    /// @brief The store answers again.
    void storeRegained(Instant now);

    /// @brief Ends lapsed targets whose grace is over.
    /// @return their ids
    std::vector<std::string> expire(Instant now);

    /// @brief Ids of all known targets that are not in `present`: their entries are gone.
    [[nodiscard]] std::vector<std::string>
    missingFrom(const std::map<std::string, TargetEntry, std::less<>> &present) const;

    [[nodiscard]] const TargetEntry *find(std::string_view id) const;

    /// @brief Targets of a service that are not leaving.
    [[nodiscard]] const std::vector<const TargetEntry *> &ofService(std::string_view service) const;

    [[nodiscard]] const std::map<std::string, TargetEntry, std::less<>> &all() const
    {
        return m_targets;
    }

    /// @brief Learned from an answer, ahead of the registration.
    void setWeights(std::string_view id, std::string_view model, uint64_t version);

private:
    void rebuild();
    [[nodiscard]] bool isInGrace(Instant now) const;

    TargetDirectoryOptions m_options;
    std::map<std::string, TargetEntry, std::less<>> m_targets;
    std::map<std::string, std::vector<const TargetEntry *>, std::less<>> m_byService;
    /// Lapsed targets by the time at which they are taken for gone; empty until the store is back.
    std::map<std::string, std::optional<Instant>, std::less<>> m_lapsed;
    bool m_isStoreUnavailable = false;
    std::optional<Instant> m_storeRecoveredAt;
};

} // namespace teaseldrift
