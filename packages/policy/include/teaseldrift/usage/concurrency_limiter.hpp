#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

struct ConcurrencyLimiterOptions
{
    /// Requests that the target processes at once.
    uint32_t slots = 1;
    /// Requests that may wait at the target, as a fraction of its slots, so that its slots are in
    /// use while messages about the next requests are under way.
    double waitingFraction = 1.0 / 3.0;
    /// After the target has refused a request for want of room, the limit is at most what the
    /// target had then, and grows by one request in this time.
    Duration increaseInterval = 5s;
    /// Requests that other senders have at the target are assumed for this long after its report.
    Duration foreignLoadMaxAge = 500ms;
    /// Refusals a second that the target bears.
    double bearableRefusals = 1.0;
    /// Queries are refused at once whose expected wait is more than this fraction of the longest
    /// one: those that wait should not be refused later.
    double expectedWaitFraction = 0.5;
    /// Requests that wait for a permit at most.
    size_t maxWaiting = 256;
};

/// @brief Asks for the permit to have a request at the target.
struct ConcurrencyQuery
{
    /// Arbitrary, unique among the queries of a limiter.
    uint64_t id = 0;
    /// 0 is the most urgent.
    uint32_t priority = 0;
    /// Longest wait for the permit.
    Duration maxWait{0};
    /// The target ends the request by then, whatever happens to its sender.
    Duration term{0};
};

enum class ConcurrencyOutcome { Granted, Waiting, Refused };

struct ConcurrencyVerdict
{
    ConcurrencyOutcome outcome = ConcurrencyOutcome::Refused;
    /// For `Refused`: time until a permit may be available.
    Duration retryAfter{0};
};

/// @brief What the response to a request showed of its target.
struct ConcurrencyFeedback
{
    /// The target refused the request and has not run it.
    bool wasRefused = false;
    /// Requests at the target that run and that wait; empty if it did not say.
    std::optional<uint32_t> running;
    uint32_t waiting = 0;
};

/// @brief Limits the requests that all VMs together have at one target at once; used by the VM that
/// owns the limit.
///
/// A permit is held from before the request is sent until its response has ended, and lapses at the
/// request's deadline if its holder is gone. The limit starts low, since requests of which this
/// limiter does not know may be at the target, and grows with each response.
///
/// ```cpp
/// if (limiter.acquire({.id = 1, .maxWait = 100ms, .term = 2s}, now).outcome == Granted) {
///     limiter.release(1, {.running = 6, .waiting = 0}, later);
///     for (const auto &[id, verdict] : limiter.takeDecisions(later)) { ... }
/// }
/// ```
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(ConcurrencyLimiterOptions options);

    [[nodiscard]] ConcurrencyVerdict acquire(const ConcurrencyQuery &query, Instant now);

    /// @brief The request has ended. Unknown permits are ignored: they have lapsed.
    void release(uint64_t id, const ConcurrencyFeedback &feedback, Instant now);

    /// @brief Ends a query whose sender is gone, or a permit that was not used.
    void cancel(uint64_t id, Instant now);

    /// @brief Decisions about queries that have waited since the last call.
    [[nodiscard]] std::vector<std::pair<uint64_t, ConcurrencyVerdict>> takeDecisions(Instant now);

    /// @brief When takeDecisions() should be called if no permit is released before; empty if no
    /// query waits.
    [[nodiscard]] std::optional<Instant> nextDecision() const;

    /// @brief Requests that may be at the target at present.
    [[nodiscard]] size_t limit() const;
    [[nodiscard]] size_t outstanding() const { return m_permits.size(); }
    [[nodiscard]] size_t waiting() const { return m_waiting.size(); }

    /// @brief Sets the refusals a second that the target bears.
    void setBearableRefusals(double perSecond) { m_options.bearableRefusals = perSecond; }

private:
    struct Permit
    {
        Instant grantedAt;
        Instant lapsesAt;
    };

    struct WaitingQuery
    {
        ConcurrencyQuery query;
        Instant since;
    };

    /// Most urgent first, then in the order of arrival.
    using QueueKey = std::pair<uint32_t, uint64_t>;

    [[nodiscard]] bool isRoom(Instant now) const;
    [[nodiscard]] Duration expectedWait(size_t ahead) const;
    [[nodiscard]] ConcurrencyVerdict refusal();
    void grant(const ConcurrencyQuery &query, Instant now);
    void removeLapsed(Instant now);
    void raise(Instant now);
    void applyFeedback(const ConcurrencyFeedback &feedback, Instant now);

    ConcurrencyLimiterOptions m_options;
    /// Requests that may be at the target; between 1 and `m_ceiling`.
    double m_limit;
    /// What the target is known to take.
    double m_ceiling;
    std::map<uint64_t, Permit> m_permits;
    std::map<QueueKey, WaitingQuery> m_waiting;
    uint64_t m_arrivals = 0;
    /// Requests at the target without a permit of this limiter, by its last report.
    double m_foreign = 0.0;
    std::optional<Instant> m_foreignAt;
    /// Last refusal for want of room.
    std::optional<Instant> m_refusedAt;
    /// Last change of a ceiling that is lower than it was at first.
    std::optional<Instant> m_loweredAt;
    /// Mean time for which a permit is held.
    Duration m_meanHold;
    uint32_t m_refusedSinceGrant = 0;
};

} // namespace teaseldrift
