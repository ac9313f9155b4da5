#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "teaseldrift/attempts/request_state_machine.hpp"
#include "teaseldrift/relay/attempt_permit.hpp"
#include "teaseldrift/relay/message.hpp"
#include "teaseldrift/relay/relay_context.hpp"
#include "teaseldrift/relay/start_deadline.hpp"
#include "teaseldrift/streams/sse_parser.hpp"

namespace teaseldrift::relay {

/// @brief A request with the route and organisation that the frontend determined for it.
struct AdmittedRequest
{
    CallerRequest request;
    /// Keeps `route` and `organisation` alive.
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    /// Null if the route allows anonymous requests or no organisations are configured.
    const Organisation *organisation = nullptr;
    /// Units charged against the organisation's usage limit.
    double cost = 0.0;
    /// When these units were granted.
    Instant grantedAt;
    Instant arrivedAt;
    /// The request's first attempt is sent although its prompt holds quarantined segments.
    bool isTrial = false;
};

/// @brief Runs one admitted request: its attempts at targets and the response to the caller.
///
/// RequestStateMachine makes the decisions; this class performs its actions.
template <Dialect D>
class RequestTask : public std::enable_shared_from_this<RequestTask<D>>
{
public:
    RequestTask(RelayContext &context, const D &dialect, std::shared_ptr<http::Exchange> exchange,
                AdmittedRequest admitted, std::function<void()> onEnded);
    ~RequestTask();
    RequestTask(const RequestTask &) = delete;
    RequestTask &operator=(const RequestTask &) = delete;

    void start();

    /// @brief Checks whether the caller has disconnected.
    void checkCaller();

    /// @brief Ends the request by then, as this process ends soon.
    void answerBy(Instant time);

    [[nodiscard]] const std::shared_ptr<http::Exchange> &exchange() const { return m_exchange; }

    [[nodiscard]] Instant arrivedAt() const { return m_admitted.arrivedAt; }

private:
    void perform(const RequestActions &actions);
    void startAttempt(const StartAttempt &action);
    void send(const StartAttempt &action, Instant now);
    void acquirePermit(const StartAttempt &action, TargetLimitKey target, Duration maxWait);
    void onPermitDecided(const StartAttempt &action, TargetLimitKey target, Duration maxWait,
                         const PermitDecision &decision);
    [[nodiscard]] TargetQuery makeQuery(const StartAttempt &action, Instant now);
    [[nodiscard]] std::optional<TargetChoice> chooseTarget(TargetQuery &query, Instant now);
    void withdrawAttempt(Instant now);
    void giveUpResponse(std::string_view reason);
    void handleNoTarget(const StartAttempt &action, const TargetQuery &query, Instant now);
    void cancelAttempt();
    [[nodiscard]] bool isOfRequest(const http::ResponseHead &head) const;
    void onHead(AttemptId id, const http::ResponseHead &head);
    void onData(AttemptId id, std::string_view data);
    void onEnd(AttemptId id, http::CallOutcome end);
    void forwardEvents(AttemptId id);
    void recordAnswer(Instant now, bool isComplete);
    void recordLostAttempt(Instant now);
    void refuseQuarantined(AttemptId id, const QuarantinedSegments &quarantined, Instant now);
    void recordResponse(const ResponseMetadata &metadata, int status, Instant now);
    void completeResponse();
    void refuseRequest(const RefuseRequest &refusal);
    void endStreamWithError();
    void callerDisconnected();
    void armTimer();
    void onTimer();
    void endAttempt(bool isPrefillFinished);
    void finishPrefill(Instant now);
    void discountLoad(AttemptId id);
    void end(std::string_view outcome, int status);
    [[nodiscard]] AttemptMetadata attemptMetadata(Instant now) const;
    [[nodiscard]] uint32_t priority() const;
    [[nodiscard]] bool isTooLate(Duration expectedWait, Instant now) const;
    [[nodiscard]] Instant deadline() const
    {
        const Instant end = m_admitted.arrivedAt + m_timeAllowed;
        return m_answerBy ? std::min(end, *m_answerBy) : end;
    }
    [[nodiscard]] bool isStreaming() const
    {
        return m_responseMetadata.isEventStream && m_status == statusOk;
    }

    static constexpr int statusOk = 200;

    RelayContext &m_context;
    const D &m_dialect;
    std::shared_ptr<http::Exchange> m_exchange;
    AdmittedRequest m_admitted;
    std::function<void()> m_onEnded;
    uint64_t m_seed;
    /// Service that all attempts are sent to.
    std::string_view m_service;
    /// Time that the caller and the route allow.
    Duration m_timeAllowed;
    /// When this process must have answered, once it is to end.
    std::optional<Instant> m_answerBy;
    std::shared_ptr<RetryBudget> m_retryBudget;
    RequestStateMachine m_machine;
    std::unique_ptr<RoutedCall> m_call;
    std::optional<TargetChoice> m_choice;
    AttemptPermit m_permit;
    StartDeadline m_startDeadline;
    VersionedAttempt m_version;
    bool m_isPrefillFinished = false;
    /// The current attempt no longer counts as load of its target.
    bool m_isLoadDiscounted = false;
    /// When the current attempt was sent.
    Instant m_sentAt;
    /// When the target of the current attempt began to answer.
    std::optional<Instant> m_answerBeganAt;
    bool m_isAnswerRecorded = false;
    /// The current attempt has a connection on which nothing else has been sent.
    bool m_hasFreshConnection = false;
    /// The response has neither a length nor chunks.
    bool m_endsWithConnection = false;
    /// The current attempt has received a whole event.
    bool m_hasEvents = false;
    ResponseMetadata m_responseMetadata;
    int m_status = 0;
    http::Headers m_responseHeaders;
    std::string m_body;
    SseParser m_events;
    /// Of the budget, for `m_body` and `m_events`.
    http::BufferAccount m_buffers;
    /// Highest event id delivered to the caller; empty before the first.
    std::optional<uint64_t> m_lastEventId;
    bool m_callerHasHead = false;
    bool m_isEnded = false;
    http::EventLoop::TimerId m_timer = 0;
    Instant m_firstEventAt;
    std::string m_triedTargets;
    /// VM through which the response came; empty if it came directly.
    std::string m_throughVm;
    /// Expected wait at the last selected target, also if the request was refused because of it.
    Duration m_expectedWait{0};
    std::optional<Duration> m_loadAge;
    /// When a target that has asked to be left alone may be sent the request.
    std::optional<Instant> m_targetReturnsAt;
    /// Oldest weights version on which the last attempt was allowed to start.
    uint64_t m_minWeights = 0;
    /// Whose KV cache the last attempt was allowed to use, see CacheScopes.
    std::string m_cacheScope;
};

} // namespace teaseldrift::relay

#include "teaseldrift/relay/request_task_impl.hpp"
