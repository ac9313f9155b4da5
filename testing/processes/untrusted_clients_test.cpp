/// Clients that do not stay inside the limits, at a real teaseldriftd process.

#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "processes/crowd_check.hpp"
#include "processes/fleet_fixture.hpp"

namespace teaseldrift::testing {

namespace {

/// One VM with limited memory and descriptors.
class LimitedVm
{
public:
    [[nodiscard]] std::vector<CrowdPlace> places() const
    {
        const http::Endpoint vm = m_fleet.vm(0);
        return {{"route", vm, "/public/x", ""},
                {"no route", vm, "/absent/x", ""},
                {"readiness", vm, "/readyz", ""},
                {"directory", vm, "/v1/entry", ""}};
    }

    void waitFor(const std::function<bool()> &condition, Duration timeout)
    {
        m_fleet.caller.waitFor(condition, timeout);
    }

    /// @brief Whether an ordinary request is answered, by readiness too, at some time.
    bool serves() { return answers("/public/x") && answers("/readyz"); }

    bool isRunning() { return m_fleet.vmProcess(0).isRunning(); }

    [[nodiscard]] int process() { return m_fleet.vmProcess(0).pid(); }

    /// @brief Makes requests at the route wait for their responses.
    void setSlow() { m_fleet.setFault(m_fleet.plainService(0), "slow"); }

private:
    bool answers(const std::string &path)
    {
        constexpr Duration patience = 12s;
        const Instant deadline = http::EventLoop::now() + patience;
        int status = 0;
        while (status != 200 && http::EventLoop::now() < deadline) {
            status = m_fleet.caller
                             .fetch(m_fleet.vm(0), {.path = path},
                                    deadline - http::EventLoop::now())
                             .status;
            m_fleet.caller.waitFor([] { return false; }, 5ms);
        }
        return status == 200;
    }

    FleetFixture m_fleet{
            {.vms = 1,
             .engines = 1,
             .vmLimits = VmLimits{.memoryMb = crowdMemoryMb, .descriptors = crowdDescriptors}}};
};

} // namespace

// Each case guards against clients that end the process, use up its memory or descriptors, or keep
// ordinary requests from being served.

TEST_CASE("teaseldriftd: bodies of legal size that stop one byte short")
{
    checkCrowds<LimitedVm>(unfinishedBodies);
}

TEST_CASE("teaseldriftd: bodies of legal size in small pieces that stop one byte short")
{
    checkCrowds<LimitedVm>(unfinishedBodiesInPieces);
}

TEST_CASE("teaseldriftd: bodies of legal size in one-byte chunks that stop one byte short")
{
    checkCrowds<LimitedVm>(unfinishedBodiesInByteChunks);
}

TEST_CASE("teaseldriftd: bodies far over the limit by length and by chunks")
{
    checkCrowds<LimitedVm>(excessiveBodies);
}

TEST_CASE("teaseldriftd: requests of very many short, unnamed, empty or repeated fields")
{
    checkCrowds<LimitedVm>(unusualFields);
}

TEST_CASE("teaseldriftd: heads that do not end")
{
    checkCrowds<LimitedVm>(endlessHeads);
}

TEST_CASE("teaseldriftd: pipelined requests whose responses are not read")
{
    checkCrowds<LimitedVm>(unreadPipelines);
}

TEST_CASE("teaseldriftd: requests sent a byte at a time")
{
    checkCrowds<LimitedVm>(slowSenders);
}

TEST_CASE("teaseldriftd: responses read a byte at a time")
{
    checkCrowds<LimitedVm>(slowReaders);
}

TEST_CASE("teaseldriftd: requests that stop half-way")
{
    checkCrowds<LimitedVm>(haltedRequests);
}

TEST_CASE("teaseldriftd: connections that send nothing")
{
    checkCrowds<LimitedVm>(silentConnections);
}

TEST_CASE("teaseldriftd: HTTP/2 floods")
{
    checkCrowds<LimitedVm>(http2Floods);
}

TEST_CASE("teaseldriftd: clients that leave before their response begins")
{
    LimitedVm fixture;
    fixture.setSlow();
    checkLeavingClients(fixture, "/absent/x");
}

} // namespace teaseldrift::testing
