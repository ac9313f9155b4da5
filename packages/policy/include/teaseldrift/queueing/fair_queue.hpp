#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift::queueing {

struct FairQueueOptions
{
    /// Requests that wait at most.
    size_t maxWaiting = 1024;
    /// Past time whose unused share an organisation may still claim, so that a small one's short
    /// bursts go ahead of another one's long queue.
    Duration idleCreditWindow = 4s;
    /// Time over which the rate of dispatched cost is averaged.
    Duration dispatchRateWindow = 4s;
};

/// @brief A request on its way into the queue.
struct QueuedRequest
{
    /// Unique among the requests that wait.
    uint64_t id = 0;
    std::string_view organisation;
    /// Share under overload relative to other organisations; more than 0.
    double weight = 1.0;
    /// Estimated work in tokens; more than 0.
    double costTokens = 1.0;
    /// Larger goes first, within the organisation only.
    int32_t priority = 0;
    /// Latest time at which the request may be dispatched and still be answered in time.
    Instant dispatchBy = Instant::max();
};

/// @brief A request that the queue gives up on. It has not run, and is answered at once.
struct Refusal
{
    uint64_t id = 0;
    schema::ResultCode code = schema::QUEUE_FULL;
    /// When the caller may come back with a chance of success.
    Duration retryAfter{};
};

/// @brief Result of FairQueue::push.
struct PushResult
{
    /// The request itself, if it was refused.
    std::optional<Refusal> refused;
    /// A waiting request of the organisation with the longest queue that had to make room.
    std::optional<Refusal> displaced;
};

/// @brief Requests of one model waiting for a target, fair between organisations by token cost.
///
/// Start-time fair queueing: each organisation has a virtual time that grows by cost / weight with
/// each of its requests, and the one furthest behind goes next. An organisation that was idle
/// starts at the current virtual time and so gains nothing by waiting. Priorities and deadlines
/// order the requests of one organisation only.
///
/// ```cpp
/// PushResult result = queue.push({.id = 7, .organisation = "acreage", .costTokens = 9000}, now);
/// while (std::optional<uint64_t> id = queue.next()) {
///     // choose a target; leave the loop if none has room
///     queue.take(*id, now);
/// }
/// ```
class FairQueue
{
public:
    explicit FairQueue(const FairQueueOptions &options = {});
    ~FairQueue();
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    /// @brief Adds a request, or refuses it if its deadline cannot be met or the queue is full.
    PushResult push(const QueuedRequest &request, Instant now);

    /// @brief The request whose turn it is.
    std::optional<uint64_t> next() const;

    /// @brief The first requests in the order of their turns, as far as it is known now.
    std::vector<uint64_t> head(size_t count) const;

    /// @brief Removes a request for dispatch and charges its organisation.
    /// @return false if it does not wait
    bool take(uint64_t id, Instant now);

    /// @brief Removes a request whose caller has gone, without charge.
    /// @return false if it does not wait
    bool cancel(uint64_t id);

    /// @brief Removes every request whose deadline can no longer be met.
    std::vector<Refusal> expire(Instant now);

    /// @brief Corrects an organisation's charge once the work of a request is known.
    void adjustCharge(std::string_view organisation, double estimatedTokens, double actualTokens);

    /// @brief Time a request of this organisation would wait, by the recent rate of dispatch.
    Duration expectedWait(std::string_view organisation, double weight, double costTokens,
                          Instant now) const;

    size_t size() const;

private:
    struct Native;
    std::unique_ptr<Native> m_native;
};

} // namespace teaseldrift::queueing
