#pragma once

#include <functional>
#include <memory>
#include <string>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::router {

class TargetPool;
struct TargetLoad;

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
