#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/usage/limit_claim.hpp"
#include "teaseldrift/usage/refund_pool.hpp"
#include "teaseldrift/usage/usage_limiter.hpp"

namespace teaseldrift {

/// @brief Configuration of a DistributedUsageLimiter.
struct DistributedUsageLimiterOptions
{
    std::string vmId;
    /// Units by which all VMs together may exceed a limit within `window`.
    double slack = 0.0;
    /// The same as a fraction of the limit.
    double overrun = 0.0;
    Duration window = 8s;
    /// During `settlingTime` after its start, a VM may not know all others yet; it assumes at least
    /// this many VMs.
    size_t minVmCount = 3;
    Duration settlingTime = 3s;
    /// Time for which other VMs agree not to claim a VM's limits.
    Duration extensionTerm = 2500ms;
    /// Whether VMs that are refused one after the other are told to come back one after the other.
    bool spreadsRefusals = false;
};

/// @brief An organisation's usage limit, for all VMs together.
struct OrganisationLimit
{
    std::string organisation;
    /// 0 for no limit.
    double unitsPerSecond = 0.0;
    double burst = 0.0;
};

/// @brief A VM in the list of VMs.
struct UsageVm
{
    std::string id;
    bool isLeaving = false;
};

/// @brief Decision about a request for units.
enum class UsageOutcome {
    Granted,
    Refused,
    /// The limit's owner must be queried.
    QueryOwner,
    /// This VM must claim the ownership of the limit before it can decide.
    Claim,
    /// No VM may grant units at present.
    NoOwner,
};

/// @brief Result of a request for units.
struct UsageVerdict
{
    UsageOutcome outcome = UsageOutcome::Refused;
    /// Time until the units are available; for `Refused` and `NoOwner`.
    Duration retryAfter{0};
    /// When a limiter granted the units; for `Granted`. Passed to refund().
    Instant grantedAt;
    /// Time to wait before the units are used; for `Granted`.
    Duration wait{0};
    /// For `QueryOwner`; valid until the next call to the limiter.
    std::string_view owner;
};

/// @brief Enforces usage limits that all VMs share; one VM's part of the decision.
///
/// At most one VM owns each limit and grants units of it; the others query it. The first VM in
/// rendezvous order should own a limit. It becomes the owner by a claim, to which the VM that owned
/// the limit before hands it over, with the state of its limiter. A VM owns limits only while its
/// lease at the store is renewed or, if the store is away, while most of the VMs that could claim
/// its limits have agreed not to.
///
/// While the owner does not respond, a VM grants units from its part of the excess over the limit
/// that is allowed, since the owner may be granting the whole limit to other VMs.
///
/// ```cpp
/// UsageVerdict verdict = limiter.acquire("shop", 100, now);
/// if (verdict.outcome == UsageOutcome::QueryOwner) {
///     // On the owner: verdict = limiter.answer("shop", 100, now);
/// } else if (verdict.outcome == UsageOutcome::Claim) {
///     std::vector<std::string> vms = limiter.beginClaim("shop", now);
///     // On each of them: LimitClaimReply reply = limiter.answerClaim("shop", claimant, now);
///     limiter.finishClaim("shop", results, now);
///     verdict = limiter.acquire("shop", 100, now);
/// }
/// // If nobody decided: verdict = limiter.acquireFallback("shop", 100, now);
/// ```
class DistributedUsageLimiter
{
public:
    DistributedUsageLimiter(DistributedUsageLimiterOptions options, Instant now);

    /// @brief Replaces the limits.
    void setLimits(std::span<const OrganisationLimit> limits, Instant now);

    /// @brief Replaces the list of VMs by one read from the store.
    /// @param readAt when the read began
    void setVms(std::span<const UsageVm> vms, Instant readAt, Instant now);

    /// @brief This VM is about to stop and no longer owns limits.
    void setLeaving(Instant now);

    /// @brief Counts the VMs among which limits are divided anew.
    void tick(Instant now);

    /// @brief Number of VMs among which limits are divided: those in the list and those that were
    /// in it within the last window, as they may still be granting.
    [[nodiscard]] size_t vmCount() const { return m_vmCount; }

    /// @brief The VM that owns a limit by the list of VMs; empty if there is none.
    [[nodiscard]] std::string_view ownerOf(std::string_view organisation) const;

    /// @brief Requests units for this VM.
    /// @param maxWait longest time after which the units may be there
    [[nodiscard]] UsageVerdict acquire(std::string_view organisation, double units, Instant now,
                                       Duration maxWait = Duration(0));

    /// @brief Requests units from this VM's own part, because the owner did not decide.
    /// @return `NoOwner` if the VM has started too recently to have a part
    [[nodiscard]] UsageVerdict acquireFallback(std::string_view organisation, double units,
                                               Instant now);

    /// @brief The record under this VM's lease is in the store; the lease was granted or renewed by
    /// a call sent at `sentAt`.
    /// @param term time from `sentAt` for which this VM may own limits: shorter than the lease, so
    /// that it stops granting before the others take over
    void leaseRenewed(Instant sentAt, Duration term, Instant now);

    /// @brief A VM cannot own limits at present: its process is gone, or it says so itself.
    void setUnavailable(std::string_view vm, Instant now);

    /// @brief Another VM replied that `owner` owns a limit.
    void setOwner(std::string_view organisation, std::string_view owner, Instant now);

    /// @brief Limits that this VM owns, each with the VM that should claim it from this one. That
    /// VM may not know of this one, which claimed the limit when its list was shorter.
    [[nodiscard]] std::vector<LimitOffer> offers(Instant now);

    /// @brief Limits that this VM should own and claim without waiting for a request.
    [[nodiscard]] std::vector<std::string> limitsToClaim(Instant now);

    /// @brief Begins a claim to own a limit.
    /// @return VMs that must be asked
    [[nodiscard]] std::vector<std::string> beginClaim(std::string_view organisation, Instant now);

    /// @brief Replies to another VM's claim.
    [[nodiscard]] LimitClaimReply answerClaim(std::string_view organisation,
                                              std::string_view claimant, Instant now);

    /// @brief Ends a claim with the results of all VMs that were asked.
    LimitClaimOutcome finishClaim(std::string_view organisation,
                                  std::span<const LimitClaimResult> results, Instant now);

    /// @brief VMs to ask not to claim this VM's limits, because its lease could not be renewed.
    [[nodiscard]] ExtensionQuery extensionQuery(Instant now);

    /// @brief The VMs that agreed to an extension, asked at `askedAt`.
    void extend(std::span<const std::string> vms, Instant askedAt);

    /// @brief Another VM asks this one not to claim its limits for a term.
    /// @return whether this VM agrees
    [[nodiscard]] bool answerExtension(std::string_view owner,
                                       std::span<const std::string> organisations, Instant now);

    /// @brief Whether this VM owns a limit.
    [[nodiscard]] bool isOwner(std::string_view organisation, Instant now);

    /// @brief Decides as the owner about another VM's request.
    [[nodiscard]] UsageVerdict answer(std::string_view organisation, double units, Instant now,
                                      Duration maxWait = Duration(0));

    /// @brief Refunds units of a request that did not run.
    /// @param grantedAt as in the verdict that granted them
    void refund(std::string_view organisation, double units, Instant grantedAt, Instant now);

private:
    struct Entry
    {
        OrganisationLimit limit;
        UsageLimiter owned;
        bool hasOwned = false;
        UsageLimiter fallback;
        bool hasFallback = false;
        RefundPool refunds;
        bool isOwner = false;
        /// Requests that this VM has refused as the owner since it last granted one.
        uint32_t refusedSinceGrant = 0;
        /// When this VM last owned the limit.
        std::optional<Instant> ownedUntil;
        /// When the VMs that could claim the limit were last asked and agreed not to.
        std::optional<Instant> extendedAt;
        /// The VM whose ownership this VM has extended, and until when.
        std::string extendedOwner;
        Instant extendedUntil;
        /// Another VM that owns the limit, and until when that is assumed.
        std::string otherOwner;
        Instant otherOwnerUntil;
        bool isClaiming = false;
        /// A VM that precedes this one has claimed the limit meanwhile.
        bool isClaimOvertaken = false;
        /// After a claim that was blocked.
        Instant nextClaimAt;
        /// Other VMs that are not leaving, first in rendezvous order, by list `rankedList`.
        std::vector<std::string> ranking;
        uint64_t rankedList = 0;
    };

    [[nodiscard]] static UsageVerdict decide(UsageLimiter &limiter, double units, Duration maxWait,
                                             Instant now);
    [[nodiscard]] UsageVerdict decideAsOwner(Entry &entry, double units, Duration maxWait,
                                             Instant now);
    [[nodiscard]] UsageVerdict verdictWithoutOwnership(const Entry &entry, Instant now) const;
    /// Ends the ownership if its term is over.
    bool checkOwner(Entry &entry, Instant now);
    void becomeOwner(Entry &entry, std::optional<double> level, bool isHistoryKnown, Instant now);
    /// Whether this VM may own a limit that it owns already.
    [[nodiscard]] bool isWithinTerm(const Entry &entry, Instant now) const;
    /// Whether this VM's lease was renewed within the term.
    [[nodiscard]] bool isLeaseFresh(Instant now) const;
    /// Whether this VM may claim limits. Of two VMs that start at the same time, at least one knows
    /// the other, because each reads the list after its own record was written.
    [[nodiscard]] bool canClaim(Instant now) const;
    /// VMs that could claim a limit, first in rendezvous order.
    [[nodiscard]] std::vector<std::string> claimants(std::string_view organisation) const;
    /// Whether another VM is taken for the owner of a limit by its own or a third VM's word.
    [[nodiscard]] bool hasOtherOwner(const Entry &entry, Instant now) const;
    [[nodiscard]] bool isUnavailable(std::string_view vm, Instant now) const;
    /// Records VMs that another VM knows of.
    /// @return whether one of them must be asked and was not
    bool learnCandidates(std::string_view organisation, std::span<const LimitClaimResult> results,
                         Instant now);
    /// Whether a VM that does not reply to a claim may own limits.
    [[nodiscard]] bool maySilentVmOwn(std::string_view vm, const Entry &entry, Instant now) const;
    /// First VM in rendezvous order that may own limits; empty if there is none.
    [[nodiscard]] std::string_view firstInOrder(std::string_view organisation, Entry &entry,
                                                bool includesLocal, Instant now) const;
    /// First other VMs in rendezvous order that are not leaving.
    [[nodiscard]] std::vector<std::string> rank(std::string_view organisation, size_t count) const;
    [[nodiscard]] std::optional<double> knownLevel(Entry &entry, Instant now) const;
    /// Time for which a VM that is missing from the list may run by itself.
    [[nodiscard]] Duration maxVanishedVmAge() const { return m_options.window + 2s; }
    void divide(Instant now);
    [[nodiscard]] UsageLimit limitOf(const Entry &entry) const;
    [[nodiscard]] UsageLimit fallbackLimitOf(const Entry &entry) const;
    [[nodiscard]] double allowedExcess(const Entry &entry) const;
    [[nodiscard]] Duration maxRefundAge(const Entry &entry) const;

    DistributedUsageLimiterOptions m_options;
    Instant m_startedAt;
    std::map<std::string, Entry, std::less<>> m_entries;
    std::map<std::string, bool, std::less<>> m_vms;
    /// Counts the changes of `m_vms`.
    uint64_t m_listNumber = 1;
    /// When each VM was last in the list.
    std::map<std::string, Instant, std::less<>> m_listedAt;
    /// Until when VMs are taken for unable to own limits.
    std::map<std::string, Instant, std::less<>> m_unavailableUntil;
    std::optional<Instant> m_leaseRenewedAt;
    Duration m_leaseTerm{0};
    /// When this VM's record was first written.
    std::optional<Instant> m_joinedAt;
    bool m_hasReadListSinceJoining = false;
    /// Since when the list contains less than half of the VMs that may be running.
    std::optional<Instant> m_shortListSince;
    size_t m_vmCount = 1;
    bool m_isLeaving = false;
};

} // namespace teaseldrift
