#pragma once

#include <memory>
#include <string>
#include <vector>

#include "teaseldrift/quarantine/segment_quarantine.hpp"

namespace teaseldrift::fleet {
class PeerNetwork;
}

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::router {

struct QuarantineTaskOptions
{
    std::string vmId;
    /// Seed of the choice of VMs to exchange crash records with.
    uint64_t seed = 0;
    /// Interval between exchanges with another VM while a crash is new.
    Duration interval = 100ms;
    Duration idleInterval = 500ms;
    /// Time after a change of the records for which the short interval is used.
    Duration noticeTime = 2s;
};

/// @brief Quarantines parts of prompts that crash targets, together with the other VMs.
///
/// Each VM sends its digest to one random VM at a time; two VMs whose digests differ exchange their
/// records. What a VM sends does not grow with the fleet, and news reach all VMs after a number of
/// intervals that grows with the logarithm of their number.
class QuarantineTask
{
public:
    /// Sets the handler of crash reports; call it before the network is started.
    QuarantineTask(http::EventLoop &loop, fleet::PeerNetwork &peers, QuarantineTaskOptions options);
    ~QuarantineTask();
    QuarantineTask(const QuarantineTask &) = delete;
    QuarantineTask &operator=(const QuarantineTask &) = delete;

    void start();

    /// @brief Sets the ids of the live VMs, this one included.
    void setVms(std::vector<std::string> vmIds);

    SegmentQuarantine &quarantine();

    /// @brief Starts a trial of quarantined segments if one is due and this VM is to make it.
    bool tryStartTrial(const QuarantinedSegments &quarantined);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
