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
    /// Number of requests at the head of the queue that are considered for dispatch.
    size_t lookahead = 16;
    /// Reduction of a held request's regret each time another request is dispatched before it.
    Duration bypassCredit = 100ms;
    /// Longest time for which a request is held although another target is not full.
    Duration maxHoldTime = 2s;
    /// Time before `dispatchBy` from which a request takes any target that is not full.
    Duration urgencyMargin = 500ms;
};

/// @brief A request and the target to send it to.
struct Dispatch
{
    uint64_t id = 0;
    Choice choice;
};

/// @brief Assigns the waiting requests of one model to targets as late as possible.
///
/// A request whose cheapest target is full is held while waiting for that target costs less than
/// running on another one, including the wait for requests that are already held for it. This keeps
/// requests with a common prefix on the same targets under load. Requests behind a held one may be
/// dispatched first; each such bypass reduces the held request's regret by `bypassCredit`, which
/// bounds its wait.
///
/// ```cpp
/// dispatcher.push({.id = 7, .organisation = "acreage", .costTokens = 9000}, request, now);
/// while (std::optional<Dispatch> dispatch = dispatcher.next(policy, targets, now, generator)) {
///     // send the request, then call policy.started(...)
/// }
/// ```
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options = {});

    /// @brief Adds a request to the queue and copies its chain.
    queueing::PushResult push(const queueing::QueuedRequest &queued, const RequestView &request,
                              Instant now);

    /// @brief Removes the next request to send from the queue; empty if all have to wait.
    ///
    /// To be called again when a request arrives or ends and when a target reports its load.
    template <RoutingPolicy Policy>
    std::optional<Dispatch> next(Policy &policy, std::span<const TargetView> targets, Instant now,
                                 std::mt19937_64 &generator);

    /// @brief Removes a request whose caller has disconnected.
    bool cancel(uint64_t id);

    /// @brief Removes every request whose deadline can no longer be met; these are to be refused at
    /// once.
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
        /// When it was first held although a target was not full.
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
