#include "teaseldrift/attempts/answer_head.hpp"

namespace teaseldrift {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

bool isRefusal(const AnswerHead &head)
{
    return head.status == statusTooManyRequests
           || (head.status == statusUnavailable && head.retryAfter > Duration(0));
}

bool isFailure(int status)
{
    return status == statusServerError || status == statusBadGateway || status == statusUnavailable
           || status == statusGatewayTimeout;
}

} // namespace

HeadMeaning meaningOf(const AnswerHead &head, schema::RouteClass routeClass)
{
    if (head.saysNotRun) {
        return HeadMeaning::NotRun;
    }
    if (routeClass == schema::NON_IDEMPOTENT) {
        return HeadMeaning::Answer;
    }
    if (isRefusal(head)) {
        return HeadMeaning::NotRun;
    }
    return isFailure(head.status) ? HeadMeaning::Failed : HeadMeaning::Answer;
}

} // namespace teaseldrift
