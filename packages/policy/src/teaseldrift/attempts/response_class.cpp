#include "teaseldrift/attempts/response_class.hpp"

namespace teaseldrift {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

bool isRefusal(const ResponseSummary &head)
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

ResponseClass classifyResponse(const ResponseSummary &head, schema::RouteClass routeClass)
{
    if (head.reportsNotRun) {
        return ResponseClass::NotRun;
    }
    if (routeClass == schema::NON_IDEMPOTENT) {
        return ResponseClass::Final;
    }
    if (isRefusal(head)) {
        return ResponseClass::NotRun;
    }
    return isFailure(head.status) ? ResponseClass::Failed : ResponseClass::Final;
}

} // namespace teaseldrift
