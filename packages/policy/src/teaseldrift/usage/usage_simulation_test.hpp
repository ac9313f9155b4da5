#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "teaseldrift/usage/distributed_usage_limiter.hpp"

namespace teaseldrift {

/// @brief VMs that enforce one organisation's limit, with their store and links simulated.
///
/// Checks the sum of the granted units in each window against the allowed one.
class UsageSimulation
{
public:
    static constexpr Duration step = 10ms;

    struct Options
    {
        size_t vms = 6;
        double rate = 36000.0;
        double burst = 36000.0;
        double slack = 140000.0;
        double overrun = 0.1;
        Duration window = 8s;
        /// Difference of the times at which one VM and the next one read the list.
        Duration readStagger = 150ms;
        Duration tickInterval = step;
    };

    /// How queries from a VM to the owner fare.
    enum class Link {
        Up,
        /// The owner decides, but its response arrives after the timeout.
        Slow,
        Down,
    };

    struct Vm
    {
        std::string id;
        std::unique_ptr<DistributedUsageLimiter> limiter;
        bool isSuspended = false;
        /// The process was killed and has not started again; its host refuses connections.
        bool isGone = false;
        bool reachesStore = true;
        bool isLeaving = false;
        Link link = Link::Up;
        Instant renewedAt;
        Instant nextRead;
        Instant nextMaintenance;
        Instant nextTick;
    };

    struct Grant
    {
        Instant at;
        double units = 0.0;
        bool isRefunded = false;
        size_t vm = 0;
        Instant grantedAt;
    };

    static constexpr std::string_view organisation = "shop";
    static constexpr Duration leaseTtl = 3s;
    static constexpr Duration readInterval = 1s;
    static constexpr Duration maintenanceInterval = 500ms;

    explicit UsageSimulation(Options options) : m_options(options)
    {
        for (size_t i = 0; i < options.vms; ++i) {
            m_vms.push_back({.id = "vm-" + std::to_string(i)});
            m_registered.push_back(true);
            start(i);
        }
    }

    UsageSimulation() : UsageSimulation(Options{}) { }

    [[nodiscard]] Vm &vm(size_t index) { return m_vms[index]; }
    [[nodiscard]] size_t size() const { return m_vms.size(); }
    [[nodiscard]] Instant now() const { return m_now; }

    /// @brief Index of the VM that owns the limit by the list of a VM.
    [[nodiscard]] size_t owner(size_t seenBy = 0) const
    {
        return indexOf(m_vms[seenBy].limiter->ownerOf(organisation));
    }

    /// @brief Starts or restarts a VM's process; it reads configuration and VM list at once.
    void start(size_t index)
    {
        Vm &vm = m_vms[index];
        vm.limiter = std::make_unique<DistributedUsageLimiter>(
                DistributedUsageLimiterOptions{.vmId = vm.id,
                                               .slack = m_options.slack,
                                               .overrun = m_options.overrun,
                                               .window = m_options.window},
                m_now);
        vm.isLeaving = false;
        vm.isGone = false;
        vm.renewedAt = m_now;
        m_registered[index] = true;
        const std::vector<OrganisationLimit> limits{{.organisation = std::string(organisation),
                                                     .unitsPerSecond = m_options.rate,
                                                     .burst = m_options.burst}};
        vm.limiter->setLimits(limits, m_now);
        // Reads are staggered, so that lists differ for up to the interval.
        vm.nextRead = m_now;
    }

    /// @brief The store is down for all VMs; leases do not lapse meanwhile.
    void setStoreUp(bool isUp)
    {
        m_isStoreUp = isUp;
        if (isUp) {
            for (Vm &vm : m_vms) {
                vm.renewedAt = m_now;
            }
        }
    }

    /// @brief The store loses all leases and their records.
    void loseLeases()
    {
        std::fill(m_registered.begin(), m_registered.end(), false);
        for (size_t i = 0; i < m_vms.size(); ++i) {
            // Renewals fail at different times.
            m_vms[i].renewedAt = m_now - leaseTtl;
        }
        m_reregisterAt = m_now;
    }

    /// @brief Kills a VM's process; start() starts it again.
    void kill(size_t index) { m_vms[index].isGone = true; }

    void leave(size_t index)
    {
        m_vms[index].isLeaving = true;
        m_vms[index].limiter->setLeaving(m_now);
    }

    /// @brief Advances time by one step.
    void advance()
    {
        m_now += step;
        if (m_isStoreUp) {
            for (size_t i = 0; i < m_vms.size(); ++i) {
                registerVm(i);
            }
            for (size_t i = 0; i < m_vms.size(); ++i) {
                readList(i);
            }
        }
        for (size_t i = 0; i < m_vms.size(); ++i) {
            if (!m_vms[i].isSuspended && !m_vms[i].isGone) {
                if (m_now >= m_vms[i].nextTick) {
                    m_vms[i].nextTick = m_now + m_options.tickInterval;
                    m_vms[i].limiter->tick(m_now);
                }
                maintainOwnership(i);
            }
        }
    }

    void advance(Duration duration)
    {
        for (const Instant end = m_now + duration; m_now < end;) {
            advance();
        }
    }

    /// @brief A caller's request at a VM.
    /// @return whether it was granted
    bool request(size_t index, double units)
    {
        Vm &vm = m_vms[index];
        if (vm.isSuspended || vm.isGone) {
            return false;
        }
        const UsageVerdict verdict = acquire(index, units);
        if (verdict.outcome != UsageOutcome::Granted) {
            return false;
        }
        m_grants.push_back(
                {.at = m_now, .units = units, .vm = index, .grantedAt = verdict.grantedAt});
        return true;
    }

    /// @brief All VMs get `perVm` requests of `units` each in every step.
    /// @return number of refused requests
    size_t load(Duration duration, double units, size_t perVm = 1)
    {
        size_t refused = 0;
        for (const Instant end = m_now + duration; m_now < end;) {
            advance();
            for (size_t i = 0; i < m_vms.size(); ++i) {
                for (size_t n = 0; n < perVm; ++n) {
                    const bool isRunning = !m_vms[i].isSuspended && !m_vms[i].isGone;
                    refused += request(i, units) || !isRunning ? 0 : 1;
                }
            }
        }
        return refused;
    }

    /// @brief The newest grant that was not refunded did not run.
    void refundNewest()
    {
        for (size_t i = m_grants.size(); i > 0; --i) {
            Grant &grant = m_grants[i - 1];
            if (!grant.isRefunded) {
                refund(grant);
                return;
            }
        }
    }

    /// @brief None of the grants ran that are not older than `age`.
    void refundSince(Instant from)
    {
        for (Grant &grant : m_grants) {
            if (grant.at >= from && !grant.isRefunded) {
                refund(grant);
            }
        }
    }

    /// @brief Units above what the rule allows, in the worst window; at most 0 if the rule holds.
    [[nodiscard]] double excess() const
    {
        const double allowed = (m_options.rate * toSeconds(m_options.window) + m_options.burst)
                                       * (1.0 + m_options.overrun)
                               + m_options.slack;
        double worst = 0.0;
        double sum = 0.0;
        std::deque<Grant> window;
        for (const Grant &grant : m_grants) {
            if (grant.isRefunded) {
                continue;
            }
            window.push_back(grant);
            sum += grant.units;
            while (grant.at - window.front().at > m_options.window) {
                sum -= window.front().units;
                window.pop_front();
            }
            worst = std::max(worst, sum);
        }
        return worst - allowed;
    }

private:
    [[nodiscard]] size_t indexOf(std::string_view id) const
    {
        const auto found = std::find_if(m_vms.begin(), m_vms.end(),
                                        [id](const Vm &vm) { return vm.id == id; });
        return static_cast<size_t>(found - m_vms.begin());
    }

    /// What a VM does for a request: at most one claim and two queries.
    UsageVerdict acquire(size_t index, double units, int queries = 2)
    {
        DistributedUsageLimiter &limiter = *m_vms[index].limiter;
        UsageVerdict verdict = limiter.acquire(organisation, units, m_now);
        if (verdict.outcome == UsageOutcome::Claim) {
            claim(index);
            verdict = limiter.acquire(organisation, units, m_now);
        }
        while (queries > 0 && verdict.outcome == UsageOutcome::QueryOwner) {
            --queries;
            const std::string owner(verdict.owner);
            if (refusesConnection(indexOf(owner))) {
                limiter.setUnavailable(owner, m_now);
                return acquire(index, units, queries);
            }
            verdict = query(m_vms[index], owner, units);
            if (verdict.outcome == UsageOutcome::QueryOwner) {
                limiter.setOwner(organisation, verdict.owner, m_now);
            } else if (verdict.outcome == UsageOutcome::NoOwner) {
                limiter.setUnavailable(owner, m_now);
            }
        }
        return verdict.outcome == UsageOutcome::Granted || verdict.outcome == UsageOutcome::Refused
                       ? verdict
                       : limiter.acquireFallback(organisation, units, m_now);
    }

    UsageVerdict query(Vm &asking, std::string_view ownerId, double units)
    {
        const size_t index = indexOf(ownerId);
        if (!reaches(asking, index)) {
            return asking.limiter->acquireFallback(organisation, units, m_now);
        }
        UsageVerdict verdict = m_vms[index].limiter->answer(organisation, units, m_now);
        if (verdict.outcome == UsageOutcome::Claim) {
            claim(index);
            verdict = m_vms[index].limiter->answer(organisation, units, m_now);
        }
        return asking.link == Link::Slow
                       ? asking.limiter->acquireFallback(organisation, units, m_now)
                       : verdict;
    }

    [[nodiscard]] bool reaches(const Vm &asking, size_t index) const
    {
        return index != m_vms.size() && asking.link != Link::Down && !m_vms[index].isSuspended
               && m_vms[index].link != Link::Down && !m_vms[index].isGone;
    }

    [[nodiscard]] bool refusesConnection(size_t index) const
    {
        return index != m_vms.size() && m_vms[index].isGone;
    }

    void claim(size_t index)
    {
        Vm &claimant = m_vms[index];
        std::vector<LimitClaimResult> results;
        for (const std::string &id : claimant.limiter->beginClaim(organisation, m_now)) {
            LimitClaimResult result{.vm = id,
                                    .isProcessGone = refusesConnection(indexOf(id))
                                                     && claimant.link != Link::Down};
            if (const size_t asked = indexOf(id); reaches(claimant, asked)) {
                const LimitClaimReply reply
                        = m_vms[asked].limiter->answerClaim(organisation, claimant.id, m_now);
                if (claimant.link != Link::Slow) {
                    result.reply = reply;
                }
            }
            results.push_back(std::move(result));
        }
        claimant.limiter->finishClaim(organisation, results, m_now);
    }

    void claimIfDue(size_t index)
    {
        if (!m_vms[index].limiter->limitsToClaim(m_now).empty()) {
            claim(index);
        }
    }

    /// Periodic work for the ownership of limits.
    void maintainOwnership(size_t index)
    {
        Vm &owner = m_vms[index];
        if (m_now < owner.nextMaintenance) {
            return;
        }
        owner.nextMaintenance = m_now + maintenanceInterval;
        for (const LimitOffer &offer : owner.limiter->offers(m_now)) {
            if (const size_t first = indexOf(offer.vm); reaches(owner, first)) {
                m_vms[first].limiter->setOwner(organisation, owner.id, m_now);
                claimIfDue(first);
            }
        }
        claimIfDue(index);
        std::vector<std::string> agreed;
        const ExtensionQuery extension = owner.limiter->extensionQuery(m_now);
        for (const std::string &id : extension.vms) {
            const size_t asked = indexOf(id);
            if (reaches(owner, asked)
                && m_vms[asked].limiter->answerExtension(owner.id, extension.organisations, m_now)
                && owner.link != Link::Slow) {
                agreed.push_back(id);
            }
        }
        owner.limiter->extend(agreed, m_now);
    }

    void registerVm(size_t index)
    {
        Vm &vm = m_vms[index];
        // A VM notices a lost lease at its next renewal, each at a different time.
        constexpr size_t differentTimes = 6;
        const Duration noticed = 150ms * static_cast<int64_t>(index % differentTimes + 1);
        if (!vm.isSuspended && !vm.isGone && vm.reachesStore && m_now >= m_reregisterAt + noticed) {
            vm.renewedAt = m_now;
            vm.limiter->leaseRenewed(m_now, leaseTtl - 500ms, m_now);
            m_registered[index] = true;
        } else if (m_now - vm.renewedAt > leaseTtl) {
            m_registered[index] = false;
        }
    }

    void readList(size_t index)
    {
        Vm &vm = m_vms[index];
        if (vm.isSuspended || vm.isGone || !vm.reachesStore || m_now < vm.nextRead) {
            return;
        }
        const bool isFirst = vm.nextRead == Instant(0s);
        vm.nextRead
                = m_now + readInterval
                  + (isFirst ? m_options.readStagger * static_cast<int64_t>(index) : Duration(0));
        std::vector<UsageVm> list;
        for (size_t i = 0; i < m_vms.size(); ++i) {
            if (m_registered[i]) {
                list.push_back({.id = m_vms[i].id, .isLeaving = m_vms[i].isLeaving});
            }
        }
        vm.limiter->setVms(list, m_now, m_now);
    }

    void refund(Grant &grant)
    {
        grant.isRefunded = true;
        m_vms[grant.vm].limiter->refund(organisation, grant.units, grant.grantedAt, m_now);
    }

    Options m_options;
    std::vector<Vm> m_vms;
    std::vector<bool> m_registered;
    std::vector<Grant> m_grants;
    Instant m_now{0s};
    Instant m_reregisterAt{0s};
    bool m_isStoreUp = true;
};

} // namespace teaseldrift
