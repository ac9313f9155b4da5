#include "teaseldrift/targets/target_paths.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

TargetPaths::TargetPaths(std::string availabilityZone, TargetPathsOptions options)
    : m_availabilityZone(std::move(availabilityZone)), m_options(options)
{ }

bool TargetPaths::isCut(std::string_view address) const
{
    return m_cut.contains(address);
}

bool TargetPaths::mayBeReachedByOthers(std::string_view address, Instant now) const
{
    const auto found = m_unreachableUntil.find(address);
    return found == m_unreachableUntil.end() || now >= found->second;
}

bool TargetPaths::reachedByOther(std::string_view address, std::string_view vmId,
                                 std::span<const std::string> failedZones, Instant now)
{
    for (const std::string &zone : failedZones) {
        m_zoneCooldowns.insert_or_assign(zone, now + m_options.zoneCooldown);
    }
    const auto unreachable = m_unreachableUntil.find(address);
    if (unreachable != m_unreachableUntil.end()) {
        m_unreachableUntil.erase(unreachable);
    }
    silent(address, now);
    const auto [path, isNew] = m_cut.try_emplace(std::string(address));
    path->second.reachedBy = vmId;
    if (isNew) {
        path->second.nextProbe = now + m_options.probeInterval;
    }
    return isNew;
}

void TargetPaths::reachedByNone(std::string_view address, Instant now)
{
    std::erase_if(m_unreachableUntil, [now](const std::pair<const std::string, Instant> &entry) {
        return now >= entry.second;
    });
    m_unreachableUntil.insert_or_assign(std::string(address), now + m_options.unreachableMemory);
}

void TargetPaths::silent(std::string_view address, Instant now)
{
    // Enough to decide, however many targets there are.
    constexpr size_t maxFailedPaths = 16;
    if (m_failedAt.size() >= maxFailedPaths && !m_failedAt.contains(address)) {
        std::erase_if(m_failedAt, [&](const std::pair<const std::string, Instant> &path) {
            return now - path.second > m_options.failureMemory;
        });
    }
    if (m_failedAt.size() < maxFailedPaths || m_failedAt.contains(address)) {
        m_failedAt.insert_or_assign(std::string(address), now);
    }
}

bool TargetPaths::isVmCutOff(Instant now) const
{
    if (m_arrivedAt && now - *m_arrivedAt < m_options.minSilence) {
        return false;
    }
    const ptrdiff_t failed = std::count_if(m_failedAt.begin(), m_failedAt.end(),
                                           [&](const std::pair<const std::string, Instant> &path) {
                                               return now - path.second <= m_options.failureMemory;
                                           });
    return static_cast<size_t>(failed) >= m_options.minFailedPaths;
}

bool TargetPaths::reached(std::string_view address, Instant now)
{
    arrived(now);
    const auto found = m_cut.find(address);
    if (found == m_cut.end()) {
        return false;
    }
    m_cut.erase(found);
    // What cut this path probably cut the others, too.
    for (std::pair<const std::string, CutPath> &path : m_cut) {
        path.second.nextProbe = now;
    }
    return true;
}

std::vector<std::string> TargetPaths::takeProbes(Instant now)
{
    std::vector<std::pair<Instant, std::string>> due;
    for (const std::pair<const std::string, CutPath> &path : m_cut) {
        if (now >= path.second.nextProbe) {
            due.emplace_back(path.second.nextProbe, path.first);
        }
    }
    // Those that have been due for longest come first, so that none is left out.
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), m_options.maxProbes));
    std::vector<std::string> addresses;
    for (std::pair<Instant, std::string> &path : due) {
        m_cut[path.second].nextProbe = now + m_options.probeInterval;
        addresses.push_back(std::move(path.second));
    }
    return addresses;
}

void TargetPaths::remove(std::string_view address)
{
    const auto found = m_cut.find(address);
    if (found != m_cut.end()) {
        m_cut.erase(found);
    }
}

std::optional<size_t> TargetPaths::chooseVm(std::string_view address, std::string_view targetZone,
                                            std::span<const ForwardingVm> vms,
                                            std::span<const std::string> triedZones,
                                            Instant now) const
{
    // Lower is better: VMs of a zone that could not reach targets come last, then the way should
    // not lead through a third zone; the rest is spread.
    using Rank = std::tuple<bool, bool, bool, double>;
    const uint64_t key = rendezvousKey(address);
    const auto cut = m_cut.find(address);
    const std::string_view lastVm = cut == m_cut.end() ? std::string_view() : cut->second.reachedBy;
    std::optional<size_t> best;
    Rank bestRank;
    for (size_t i = 0; i < vms.size(); ++i) {
        const std::string_view zone = vms[i].availabilityZone;
        const bool wasTried
                = std::find(triedZones.begin(), triedZones.end(), zone) != triedZones.end();
        const bool isOnTheWay = zone == m_availabilityZone || zone == targetZone;
        const Rank rank{vms[i].id != lastVm, wasTried || isCoolingDown(zone, now), !isOnTheWay,
                        -rendezvousScore(key, vms[i].id)};
        if (!best || rank < bestRank) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
}

bool TargetPaths::isCoolingDown(std::string_view zone, Instant now) const
{
    const auto found = m_zoneCooldowns.find(zone);
    return found != m_zoneCooldowns.end() && now < found->second;
}

} // namespace teaseldrift
