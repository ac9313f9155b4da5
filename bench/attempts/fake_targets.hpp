#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "teaseldrift/attempts/request_action.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift::bench {

/// @brief One request of a caller and its outcome.
struct Request
{
    size_t index = 0;
    schema::RouteClass routeClass = schema::IDEMPOTENT;
    /// Number of tokens of a full response; 1 for calls of a plain service.
    uint32_t tokens = 1;
    Instant started;
    Instant ended;
    uint32_t delivered = 0;
    uint32_t attempts = 0;
    uint32_t runs = 0;
    bool isComplete = false;
    bool reportedNotRun = false;
};

/// @brief Event of an attempt as the client sees it.
enum class TargetEvent { ConnectFailed, Rejected, Connected, Token, End, ConnectionBroken };

/// @brief Runs actions in virtual time; actions of the same instant run in the order in which they
/// were added.
class Timeline
{
public:
    void at(Instant when, std::function<void()> action);

    /// @brief Runs all actions that are due up to the given time, in order.
    void runUntil(Instant end);

    [[nodiscard]] Instant now() const { return m_now; }

private:
    struct Event
    {
        Instant when;
        uint64_t sequence;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    std::priority_queue<Event> m_events;
    uint64_t m_nextSequence = 0;
    Instant m_now;
};

/// @brief Capacity and response times of fake targets.
struct TargetOptions
{
    size_t count = 4;
    /// Requests that one target runs at once.
    uint32_t slots = 8;
    /// Longest queue of one target; further requests are rejected as not run.
    uint32_t queue = 24;
    Duration connectTime = 1ms;
    Duration callTime = 100ms;
    Duration prefillTime = 50ms;
    Duration tokenTime = 10ms;
};

/// @brief Simulated targets with slots and a queue, which can be made to crash and stall.
class FakeTargets
{
public:
    /// Receives the request, the attempt and its event.
    using Listener = std::function<void(Request &, AttemptId, TargetEvent)>;

    FakeTargets(Timeline &timeline, TargetOptions options, Listener listener);

    /// @brief Sends an attempt whose response begins at the given token.
    void submit(Request &request, AttemptId id, size_t target, uint32_t firstToken);

    /// @brief Closes the connection of an attempt. This ends a generation; a plain service runs on.
    void cancel(const Request &request, AttemptId id);

    /// @brief Breaks all connections; new ones fail during downTime.
    void crash(size_t target, Duration downTime);

    /// @brief Stops all output over existing connections and over those made during stallTime.
    void stall(size_t target, Duration stallTime);

    /// @brief Whether the target is neither down nor stalled.
    [[nodiscard]] bool respondsToProbes(size_t target) const;

    [[nodiscard]] size_t count() const { return m_targets.size(); }
    /// @brief Number of attempts that wait or run at a target.
    [[nodiscard]] size_t load(size_t target) const;

private:
    struct Job
    {
        Request *request = nullptr;
        AttemptId id = 0;
        size_t target = 0;
        uint32_t firstToken = 0;
        bool isStalled = false;
        bool isFinished = false;
        bool isRunning = false;
    };

    using JobPointer = std::shared_ptr<Job>;

    struct Target
    {
        std::deque<JobPointer> waiting;
        std::vector<JobPointer> running;
        Instant downUntil;
        Instant stalledUntil;
    };

    void accept(const JobPointer &job);
    void startWaiting(Target &target);
    void run(const JobPointer &job);
    void generate(const JobPointer &job, uint32_t token);
    void finish(const JobPointer &job);
    void notify(const JobPointer &job, TargetEvent event);

    Timeline &m_timeline;
    TargetOptions m_options;
    Listener m_listener;
    std::vector<Target> m_targets;
    std::vector<JobPointer> m_connecting;
};

} // namespace teaseldrift::bench
