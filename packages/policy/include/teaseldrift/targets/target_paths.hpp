#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

struct TargetPathsOptions
{
    /// Interval at which a path that is cut is tried again.
    Duration probeInterval = 700ms;
    /// Most paths that are tried again at once.
    size_t maxProbes = 4;
    /// Time for which no other VM is asked for a target that none of those asked could reach.
    Duration unreachableMemory = 500ms;
    /// Time for which VMs of an availability zone are asked last after one of them could not reach
    /// a target that another VM reached.
    Duration zoneCooldown = 2s;
    /// Paths that must be cut or silent, while nothing arrives on any other, for the VM to count as
    /// cut off from all targets.
    size_t minFailedPaths = 3;
    /// Time without anything from any target for the VM to count as cut off. Targets under load let
    /// single requests wait for longer, but not all of them.
    Duration minSilence = 300ms;
    /// Time for which a path that was cut or silent counts towards that.
    Duration failureMemory = 3s;
};

/// @brief A VM that may pass requests on to targets.
struct ForwardingVm
{
    std::string_view id;
    std::string_view availabilityZone;
};

/// @brief Which targets this VM reaches itself, and through which VMs it reaches the others.
///
/// A target to which this VM cannot connect has failed, or only the path to it is cut. The path
/// counts as cut once another VM has reached the target. Paths are named by the target's IP:port.
///
/// ```cpp
/// if (paths.isCut(address)) { ... } // send through another VM
/// const std::optional<size_t> vm = paths.chooseVm(address, zone, vms, triedZones, now);
/// ```
class TargetPaths
{
public:
    explicit TargetPaths(std::string availabilityZone, TargetPathsOptions options = {});

    /// @brief Whether other VMs reach the target and this one does not.
    [[nodiscard]] bool isCut(std::string_view address) const;

    /// @brief Number of paths that are cut.
    [[nodiscard]] size_t cutCount() const { return m_cut.size(); }

    /// @brief Whether another VM may reach the target: it is not known that none does.
    [[nodiscard]] bool mayBeReachedByOthers(std::string_view address, Instant now) const;

    /// @brief Records that another VM has reached a target to which this VM could not connect.
    /// @param failedZones availability zones of VMs that did not reach it
    /// @return whether the path was not known to be cut
    bool reachedByOther(std::string_view address, std::string_view vmId,
                        std::span<const std::string> failedZones, Instant now);

    /// @brief Records that none of the VMs that were asked reached the target.
    void reachedByNone(std::string_view address, Instant now);

    /// @brief Records that a request that this VM has sent to the target itself is not answered for
    /// unusually long.
    void silent(std::string_view address, Instant now);

    /// @brief Records that something has arrived from a target over a connection of this VM.
    void arrived(Instant now)
    {
        m_failedAt.clear();
        m_arrivedAt = now;
    }

    /// @brief Whether this VM is probably cut off from all targets: several paths failed, and
    /// nothing has arrived on any for some time.
    [[nodiscard]] bool isVmCutOff(Instant now) const;

    /// @brief Records that this VM has connected to the target.
    /// @return whether the path was cut until now
    bool reached(std::string_view address, Instant now);

    /// @brief Returns the addresses to which this VM should connect now to see whether their paths
    /// are still cut.
    std::vector<std::string> takeProbes(Instant now);

    /// @brief Forgets a path, as its target is gone.
    void remove(std::string_view address);

    /// @brief Selects the VM through which to send a request: the one that reached the target last
    /// if it is there.
    /// @param triedZones availability zones of VMs that were asked for this request in vain
    /// @return index into `vms`; empty if there are none
    [[nodiscard]] std::optional<size_t> chooseVm(std::string_view address,
                                                 std::string_view targetZone,
                                                 std::span<const ForwardingVm> vms,
                                                 std::span<const std::string> triedZones,
                                                 Instant now) const;

private:
    struct CutPath
    {
        Instant nextProbe;
        /// The VM that reached the target last.
        std::string reachedBy;
    };

    [[nodiscard]] bool isCoolingDown(std::string_view zone, Instant now) const;

    std::string m_availabilityZone;
    TargetPathsOptions m_options;
    /// By address.
    std::map<std::string, CutPath, std::less<>> m_cut;
    std::map<std::string, Instant, std::less<>> m_unreachableUntil;
    std::map<std::string, Instant, std::less<>> m_zoneCooldowns;
    /// When something last arrived from any target.
    std::optional<Instant> m_arrivedAt;
    /// When paths were last found to be cut or silent, since something arrived on any.
    std::map<std::string, Instant, std::less<>> m_failedAt;
};

} // namespace teaseldrift
