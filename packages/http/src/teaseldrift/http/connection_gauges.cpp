#include "teaseldrift/http/connection_gauges.hpp"

#include <array>
#include <filesystem>
#include <iterator>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace teaseldrift::http {

namespace {

/// @return 0 if it cannot be determined, for example for lack of descriptors
size_t openDescriptors()
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/self/fd", error);
    return error ? 0
                 : static_cast<size_t>(std::distance(std::filesystem::begin(entries),
                                                     std::filesystem::end(entries)));
}

} // namespace

std::vector<ConnectionGauge> connectionGauges(const ConnectionLimiter &limiter)
{
    constexpr std::array<std::string_view, 5> states{"new", "idle", "incomplete", "handled",
                                                     "writing"};
    const ConnectionTotals totals = limiter.totals();
    std::vector<ConnectionGauge> gauges{
            {"teaseldrift_client_bytes", "kind", "incomplete",
             static_cast<double>(totals.incompleteBytes)},
            {"teaseldrift_client_bytes", "kind", "handled",
             static_cast<double>(totals.handledBytes)},
            {"teaseldrift_failed_accepts_total", "", "", static_cast<double>(totals.failedAccepts)},
            {"teaseldrift_open_descriptors", "", "", static_cast<double>(openDescriptors())}};
    for (size_t state = 0; state < states.size(); ++state) {
        gauges.push_back({"teaseldrift_client_connections", "state", states.at(state),
                          static_cast<double>(totals.connectionsByState.at(state))});
    }
    for (size_t reason = 0; reason < limitReasonCount; ++reason) {
        gauges.push_back({"teaseldrift_connections_limited_total", "reason",
                          toString(static_cast<LimitReason>(reason)),
                          static_cast<double>(totals.limited.at(reason))});
    }
    return gauges;
}

bool canOpenDescriptor()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return false;
    }
    ::close(descriptor);
    return true;
}

} // namespace teaseldrift::http
