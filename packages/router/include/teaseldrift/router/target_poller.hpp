#pragma once

#include <memory>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::router {

class TargetPool;

/// @brief How often targets are asked for their load.
struct TargetPollerOptions
{
    /// Least time between two questions to one target.
    Duration interval = 500ms;
    /// Least time between two questions to any targets, which bounds the cost for a VM.
    Duration spacing = 125ms;
    Duration timeout = 1s;
};

/// @brief Asks engines for their load (`GET /load`) in turn, and probes targets that are ejected
/// or have been idle.
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
