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
#include "teaseldrift/rollout/version_evidence.hpp"
#include "teaseldrift/rollout/version_split.hpp"

namespace teaseldrift {

/// @brief What a bad version may receive.
struct RolloutBounds
{
    /// Fraction of the requests to the service from the order to its end.
    double exposureShare = 0.1;
    /// Requests in addition to that.
    double exposureSlack = 50.0;
    /// Time after the 50th bad response from which a bad version gets no request.
    Duration rollbackTime = 5s;
};

struct RolloutControllerOptions
{
    RolloutBounds bounds;
    /// The canary's part of RolloutBounds::exposureShare.
    double canaryFraction = 0.3;
    /// Part of the order's duration after which all traffic may go to the new version.
    double fullFrom = 0.8;
    /// Time for which the last step is announced in advance: several exchanges between VMs.
    Duration fullNotice = 1s;
    /// Shorter notice if doubt ends late, and the least time for the old targets' last requests.
    Duration minFullNotice = 300ms;
    Duration minFullTime = 300ms;
    /// Time after the order from which the rate of requests is known, and the largest part of
    /// RolloutBounds::exposureShare that the canary then gets in a small fleet.
    Duration rateKnownAfter = 1500ms;
    double maxCanaryFraction = 0.6;
    /// Part of RolloutBounds::exposureSlack that is spent; the rest covers requests that are not
    /// counted yet and the VMs' initial credits.
    double usedSlack = 0.4;
    /// Time before the end at which the result is decided, so that it is known at the end.
    Duration decisionMargin = 250ms;
    /// Responses of the new version without which it does not get all traffic.
    uint64_t minResponses = 10;

    // Sequential test of the new version's rate of bad responses against the old one's.
    /// Probability that a good version is found to be bad by one series of responses.
    double falsePositiveRate = 1e-4;
    /// The same once one target is avoided: a second fault is rarely another target's own.
    double falsePositiveRateAfterAvoiding = 1e-3;
    /// The same for the responses that remain when the worst target is left out.
    double falsePositiveRateOfOthers = 0.02;
    /// Part of the threshold of a finding from which the new version does not get all traffic.
    double doubt = 0.4;
    /// Rate of bad responses that is always accepted: single failures of targets and connections.
    double acceptedRate = 0.02;
    /// Difference of the rates that a bad version has at least.
    double rateDifference = 0.08;
    /// Weight of the accepted rate in the old version's rate, in responses.
    double priorResponses = 100.0;
    /// Half-lives of the old version's responses in its rate. The larger one of both rates counts,
    /// so that a burst of load, which changes both versions' responses within an exchange between
    /// VMs, is not taken for a fault of the new version.
    Duration oldRateHalfLife = 3s;
    Duration burstHalfLife = 500ms;
    /// Weight of the accepted rate in the second one.
    double priorResponsesOfBurst = 20.0;
    /// Bad responses from which also a smaller difference is a finding: half of the 50 after which
    /// RolloutBounds::rollbackTime begins.
    uint64_t manyBadResponses = 25;
    /// Time for which a sum that has become smaller is taken for incomplete. It covers a change of
    /// the VM that adds up the counters.
    Duration incompleteTime = 1s;
};

/// @brief State of a rollout's deployment, as far as the leader knows it.
struct RolloutInput
{
    /// Sum of the VMs' counters.
    RolloutCounts counts;
    /// VMs of the fleet.
    size_t vms = 0;
    /// Available targets of the new version, by targetKeyOf().
    std::span<const uint32_t> newTargets;
};

/// @brief What the leader of a rollout announces, and why.
struct RolloutDecision
{
    RolloutState state = RolloutState::Running;
    /// RolloutAnnouncement::share.
    double share = 0.0;
    std::vector<uint32_t> targets;
    std::vector<uint32_t> avoided;
    std::optional<Instant> fullFrom;
    /// Reason of the last change, in words for the log; never empty.
    std::string_view reason;
};

/// @brief Controls the rollout of one order.
///
/// A canary gets a part of the exposure share. Each route's responses, and all together, are tested
/// by a sequential probability ratio test that restarts when the evidence for a good version
/// outweighs (CUSUM), so that a fault that begins late is found as fast as an early one. The
/// finding must hold without the new version's worst target: otherwise this target alone is
/// avoided.
///
/// All traffic goes to the new version once the rest of the order's time is so short that the
/// exposure stays within the bound even if the version becomes bad in that step. A rollout without
/// enough evidence by then is rolled back at its end.
///
/// ```cpp
/// RolloutController controller(options, order.number, orderedAt, duration);
/// const RolloutDecision &decision = controller.update(input, now);
/// ```
class RolloutController
{
public:
    /// @param order RolloutOrder::number
    /// @param orderedAt time of the order, also for a leader that continues another one's rollout
    RolloutController(RolloutControllerOptions options, uint64_t order, Instant orderedAt,
                      Duration duration);

    /// @brief Continues from another leader's last announcement of this order.
    void resume(const RolloutAnnouncement &announcement);

    /// @brief Sets the fencing token and sequence number with which the current decision was
    /// announced; the old targets are free once all VMs use it.
    void announced(uint64_t fencing, uint64_t sequence);

    const RolloutDecision &update(const RolloutInput &input, Instant now);

    [[nodiscard]] const RolloutDecision &decision() const { return m_decision; }

private:
    enum class Fault { Failure, Slow };

    /// A sum that the VMs report, with the part that has been tested.
    struct Tested
    {
        ResponseCounts counts;
        /// Since when the reported sum has been smaller.
        std::optional<Instant> smallerSince;
    };

    /// The old version's recent responses of a route.
    struct OldRate
    {
        double responses = 0.0;
        double bad = 0.0;
    };

    /// The test of a series of responses.
    struct Series
    {
        double score = 0.0;
        /// Scores without the responses of one target.
        std::map<uint32_t, double> scoreWithout;
        OldRate old;
        OldRate oldInBurst;
        /// All responses of targets that are not avoided.
        std::map<uint32_t, OldRate> byTarget;
        OldRate oldTotal;
    };

    using SeriesKey = std::pair<uint32_t, Fault>;
    using Deltas = std::map<EvidenceKey, ResponseCounts>;

    Deltas takeNew(const RolloutCounts &counts, Instant now);
    void decayOldRates(Instant now);
    void addTo(Series &series, const Deltas &deltas, std::optional<uint32_t> route, Fault fault);
    [[nodiscard]] double acceptedRateOf(const Series &series) const;
    [[nodiscard]] bool hasManyBad(const Series &series) const;
    void evaluate(Series &series, Fault fault, size_t newTargets);
    void avoid(uint32_t target);
    void end(RolloutState state, std::string_view reason);
    void selectShare(const RolloutInput &input, Instant now);
    void selectTargets(std::span<const uint32_t> newTargets);
    [[nodiscard]] bool mayTakeAll(Instant from, Instant now) const;
    [[nodiscard]] double threshold() const;
    [[nodiscard]] bool isDoubtful(const Series &series) const;
    void updateRate(const RolloutCounts &counts, Instant now);
    [[nodiscard]] bool isOldVersionFree(const RolloutInput &input) const;
    [[nodiscard]] bool hasEvidence() const;
    [[nodiscard]] Instant decideAt() const;
    void planFull(Instant now);

    RolloutControllerOptions m_options;
    uint64_t m_order;
    Instant m_orderedAt;
    Duration m_duration;
    RolloutDecision m_decision{.reason = "ordered"};
    bool m_isFull = false;
    uint64_t m_fencing = 0;
    uint64_t m_sequence = 0;
    bool m_isAnnounced = false;
    std::map<EvidenceKey, Tested> m_tested;
    std::map<SeriesKey, Series> m_series;
    Instant m_updatedAt;
    double m_canaryShare = 0.0;
    bool m_isCanaryShareFinal = false;
    uint64_t m_requests = 0;
    uint64_t m_newRequests = 0;
    /// Requests per second to the service.
    double m_rate = 0.0;
    uint64_t m_rateRequests = 0;
    double m_lastRecentRate = 0.0;
    Instant m_rateAt;
};

} // namespace teaseldrift
