#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/placement/choice.hpp"
#include "teaseldrift/placement/routing_policy.hpp"
#include "teaseldrift/placement/views.hpp"
#include "teaseldrift/queueing/fair_queue.hpp"

namespace teaseldrift::placement {

struct DispatcherOptions
{
    queueing::FairQueueOptions queue;
    /// Requests at the head of the queue for which a target is looked for.
    size_t lookahead = 16;
    /// Regret that a request is forgiven each time another one went before it.
    Duration bypassCredit = 100ms;
    /// Longest time for which a request is held back from targets with room.
    Duration maxHoldTime = 2s;
    /// Time before its deadline from which a request takes any target with room.
    Duration urgencyMargin = 500ms;
};

/// @brief A request bound for a target.
struct Dispatch
{
    uint64_t id = 0;
    Choice choice;
};

/// @brief Binds the waiting requests of one model to targets as late as possible.
///
/// A request whose cheapest target is full is held back while waiting for that target costs less
/// than running elsewhere, counting the requests that are held for it already. Prefixes so stay
/// together when all targets are busy, and requests behind the held one may go first. Each time
/// that happens the held one's claim grows, which bounds how long it waits.
///
/// ```cpp
/// dispatcher.push({.id = 7, .organisation = "acreage", .costTokens = 9000}, request, now);
/// while (std::optional<Dispatch> dispatch = dispatcher.next(chooser, targets, now, generator)) {
///     // send the request, then chooser.started(...)
/// }
/// ```
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options = {});

    /// @brief Adds a request; its chain is copied.
    queueing::PushResult push(const queueing::QueuedRequest &queued, const RequestView &request,
                              Instant now);

    /// @brief The next request to send, removed from the queue; empty if all are to wait.
    ///
    /// Ask again when a request arrives or ends, and when a target reports.
    template <RoutingPolicy Policy>
    std::optional<Dispatch> next(Policy &policy, std::span<const TargetView> targets, Instant now,
                                 std::mt19937_64 &generator);

    /// @brief Removes a request whose caller has gone.
    bool cancel(uint64_t id);

    /// @brief Removes every request whose deadline can no longer be met; answer them at once.
    std::vector<queueing::Refusal> expire(Instant now);

    const queueing::FairQueue &queue() const { return m_queue; }

private:
    struct WaitingRequest
    {
        std::vector<hashing::BlockHash> chain;
        uint32_t promptTokens = 0;
        uint32_t outputTokens = 0;
        uint32_t bypassCount = 0;
        Instant dispatchBy = Instant::max();
        /// When it was first held back from a target with room.
        Instant heldSince = Instant::max();

        RequestView view() const
        {
            return {.chain = chain, .promptTokens = promptTokens, .outputTokens = outputTokens};
        }
    };

    bool isUrgent(const WaitingRequest &waiting, Instant now) const
    {
        const bool isHoldExpired = waiting.heldSince != Instant::max()
                                   && now - waiting.heldSince >= m_options.maxHoldTime;
        return isHoldExpired || now + m_options.urgencyMargin >= waiting.dispatchBy;
    }
    void dequeue(uint64_t id, std::span<const uint64_t> head, Instant now);

    DispatcherOptions m_options;
    queueing::FairQueue m_queue;
    std::unordered_map<uint64_t, WaitingRequest> m_waiting;
};

template <RoutingPolicy Policy>
std::optional<Dispatch> Dispatcher::next(Policy &policy, std::span<const TargetView> targets,
                                         Instant now, std::mt19937_64 &generator)
{
    std::vector<int> heldPerTarget(targets.size());
    const std::vector<uint64_t> head = m_queue.head(m_options.lookahead);
    for (const uint64_t id : head) {
        WaitingRequest &waiting = m_waiting.at(id);
        const Choice choice = policy.choose(waiting.view(), targets, now, generator);
        if (choice.outcome != ChoiceOutcome::Dispatch) {
            return std::nullopt;
        }
        const Duration regret = choice.regret
                                - choice.queueDelayPerRequest * heldPerTarget[choice.preferred]
                                - m_options.bypassCredit * waiting.bypassCount;
        if (regret <= Duration::zero() || isUrgent(waiting, now)) {
            dequeue(id, head, now);
            return Dispatch{.id = id, .choice = choice};
        }
        waiting.heldSince = std::min(waiting.heldSince, now);
        ++heldPerTarget[choice.preferred];
    }
    return std::nullopt;
}

} // namespace teaseldrift::placement
