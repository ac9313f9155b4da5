#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief What one or several VMs have under way at a target.
struct TargetWork
{
    /// Prompt tokens that the target has not read yet.
    uint32_t unreadTokens = 0;
    /// Requests that have not ended.
    uint32_t requests = 0;

    TargetWork &operator+=(const TargetWork &other);
    bool operator==(const TargetWork &) const = default;
};

/// @brief Work by target; a target without an entry has none. The key is targetWorkKey().
using WorkTable = std::map<uint32_t, TargetWork>;

/// @brief Short name of a target in tables that VMs exchange.
[[nodiscard]] uint32_t targetWorkKey(std::string_view targetId);

/// @brief What the other VMs have under way at the targets.
///
/// Each VM tells one VM of its availability zone, and those tell each other the sums of their
/// zones, so that a choice can count the work of all VMs although each sends only a small part.
///
/// ```cpp
/// load.takeVm("vm-2", theirs, now);                // vm-2 asked
/// answer(load.forVm("vm-2", own, now));
/// load.takeZone("zone-b", sums, now);
/// answer(load.ofZone(own, now));
/// ```
class SharedLoad
{
public:
    struct Options
    {
        /// Work that was told longer ago than this is no longer counted: several turns of telling.
        Duration maxAge = 500ms;
    };

    explicit SharedLoad(Options options);
    SharedLoad();

    /// @brief Takes the work of another VM of the same availability zone.
    void takeVm(std::string_view vmId, WorkTable work, Instant now);

    /// @brief Takes the work of all VMs of another availability zone.
    void takeZone(std::string_view availabilityZone, WorkTable work, Instant now);

    /// @brief The work of this VM and of those of its availability zone that told theirs.
    [[nodiscard]] WorkTable ofZone(const WorkTable &own, Instant now) const;

    /// @brief All work known to this VM, but that of the VM that asks.
    [[nodiscard]] WorkTable forVm(std::string_view vmId, const WorkTable &own, Instant now) const;

    /// @brief All work known to this VM, but its own.
    [[nodiscard]] WorkTable ofOthers(Instant now) const;

    /// @brief Whether an availability zone told its work within a time.
    [[nodiscard]] bool wasTold(std::string_view availabilityZone, Duration within,
                               Instant now) const;

    /// @brief Forgets what is too old.
    void expire(Instant now);

private:
    struct Told
    {
        WorkTable work;
        Instant at;
    };

    using ToldBy = std::map<std::string, Told, std::less<>>;

    void add(WorkTable &sum, const ToldBy &told, std::string_view except, Instant now) const;

    Options m_options;
    ToldBy m_vms;
    ToldBy m_zones;
};

} // namespace teaseldrift
