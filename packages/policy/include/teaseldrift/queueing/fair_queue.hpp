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
    /// Maximum number of waiting requests.
    size_t maxWaiting = 1024;
    /// Period whose unused share an organisation may still claim, so that short bursts of a small
    /// organisation go ahead of the long queue of another one.
    Duration idleCreditWindow = 4s;
    /// Period over which the rate of dispatched cost is averaged.
    Duration dispatchRateWindow = 4s;
};

/// @brief A request to be queued.
struct QueuedRequest
{
    /// Unique among the requests that wait.
    uint64_t id = 0;
    std::string_view organisation;
    /// Share of the organisation under overload, relative to others; greater than 0.
    double weight = 1.0;
    /// Estimated work in tokens; greater than 0.
    double costTokens = 1.0;
    /// Requests with a larger priority go first, within the organisation only.
    int32_t priority = 0;
    /// Latest time of dispatch at which the request can still complete before its deadline.
    Instant dispatchBy = Instant::max();
};

/// @brief A request that the queue refuses or removes. It has not run, and is refused at once.
struct Refusal
{
    uint64_t id = 0;
    schema::ResultCode code = schema::QUEUE_FULL;
    /// Time after which a retry is likely to succeed.
    Duration retryAfter{};
};

/// @brief Result of FairQueue::push.
struct PushResult
{
    /// The pushed request, if it was refused.
    std::optional<Refusal> refused;
    /// A waiting request of the organisation with the longest queue, if it was removed to make
    /// room.
    std::optional<Refusal> displaced;
};

/// @brief Queue of the requests of one model that wait for a target, fair between organisations by
/// token cost.
///
/// Start-time fair queueing: the start tag of an organisation grows by cost / weight with each of
/// its requests, and the organisation with the lowest tag goes next. An idle organisation resumes
/// at the virtual time of `idleCreditWindow` ago at the earliest, which bounds the credit that it
/// gains. Priorities and deadlines order the requests of one organisation only.
///
/// ```cpp
/// PushResult result = queue.push({.id = 7, .organisation = "acreage", .costTokens = 9000}, now);
/// while (std::optional<uint64_t> id = queue.next()) {
///     // select a target; leave the loop if all are full
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

    /// @brief The request to be dispatched next; empty if none waits.
    std::optional<uint64_t> next() const;

    /// @brief The first `count` requests in order of dispatch, if no others arrive.
    std::vector<uint64_t> head(size_t count) const;

    /// @brief Removes a request for dispatch and charges its organisation.
    /// @return false if the request is not in the queue
    bool take(uint64_t id, Instant now);

    /// @brief Removes a request whose caller has disconnected, without charge.
    /// @return false if the request is not in the queue
    bool cancel(uint64_t id);

    /// @brief Removes every request whose deadline can no longer be met.
    std::vector<Refusal> expire(Instant now);

    /// @brief Corrects an organisation's charge once the actual cost of a request is known.
    void adjustCharge(std::string_view organisation, double estimatedTokens, double actualTokens);

    /// @brief Expected wait of a new request of an organisation, by the recent dispatch rate.
    Duration expectedWait(std::string_view organisation, double weight, double costTokens,
                          Instant now) const;

    size_t size() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::queueing
