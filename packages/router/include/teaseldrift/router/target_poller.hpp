#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::router {

class TargetPool;
struct TargetLoad;

/// @brief A load report that could not be used, or not as a whole.
struct InvalidLoadReport
{
    std::string_view target;
    /// What is wrong, as a name for logs and metrics.
    std::string_view problem;
    /// The target's last response had the same problem.
    bool isRepeated = false;
};

/// @brief How often targets are polled for their load.
struct TargetPollerOptions
{
    /// Minimum time between two polls of the same target.
    Duration interval = 500ms;
    /// Minimum time between two polls of any targets, which bounds the polling load of this VM.
    Duration spacing = 125ms;
    Duration timeout = 1s;
    /// Optional; called with each load report.
    std::function<void(const std::string &target, const TargetLoad &report)> onReport = nullptr;
    /// Optional; called with each response that is no load report, or names an invalid limit.
    std::function<void(const InvalidLoadReport &report)> onInvalidReport = nullptr;
};

/// @brief Polls engines for their load (`GET /load`) in turn, and probes targets that are ejected
/// or idle.
class TargetPoller
{
public:
    TargetPoller(http::EventLoop &loop, TargetPool &targets, TargetPollerOptions options = {});
    ~TargetPoller();
    TargetPoller(const TargetPoller &) = delete;
    TargetPoller &operator=(const TargetPoller &) = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
