/// Engines that name in their load reports how many requests a second they take from all VMs.

#include <algorithm>
#include <csignal>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "processes/fleet_fixture.hpp"

namespace teaseldrift::testing {

namespace {

using nlohmann::json;

constexpr size_t vmCount = 3;
constexpr size_t engineCount = 3;
constexpr double perSecond = 2.0;
constexpr size_t requestsPerSecond = 30;
constexpr size_t windowSeconds = 4;

/// Requests that an engine may get in a window: one and a half times its limit, and five more.
constexpr uint64_t allowedInWindow = 17;

/// Sends requests to all VMs in turn and counts what becomes of them.
class LimitedEngines
{
public:
    LimitedEngines()
    {
        for (size_t vm = 0; vm < vmCount; ++vm) {
            REQUIRE(m_fleet.waitReady(vm));
        }
    }

    FleetFixture &fleet() { return m_fleet; }

    void setLimit(size_t engine, const std::string &mode)
    {
        m_fleet.setFault(m_fleet.engine(engine), mode);
    }

    /// Sends requests for some seconds to the first VMs.
    void run(size_t seconds, size_t vms = vmCount)
    {
        m_served = 0;
        m_refused = 0;
        m_slowestRefusal = Duration(0);
        m_counts.assign(engineCount, {});
        const Instant begin = http::EventLoop::now();
        std::vector<std::pair<Instant, std::shared_ptr<ReceivedResponse>>> open;
        for (size_t i = 0; i < seconds * requestsPerSecond; ++i) {
            if (i % requestsPerSecond == 0) {
                countServed();
            }
            const std::string prompt = "request " + std::to_string(++m_sent);
            open.emplace_back(
                    http::EventLoop::now(),
                    m_fleet.caller.start(m_fleet.vm(i % vms), m_fleet.completion(prompt, 2)));
            const Instant next = begin
                                 + Duration(1s) * static_cast<int64_t>(i + 1)
                                           / static_cast<int64_t>(requestsPerSecond);
            m_fleet.caller.waitFor([&] { return collect(open) || http::EventLoop::now() >= next; });
            m_fleet.caller.waitFor([&] { return http::EventLoop::now() >= next; });
        }
        m_fleet.caller.waitFor([&] {
            collect(open);
            return open.empty();
        });
        countServed();
    }

    /// Requests of an engine in a run.
    [[nodiscard]] uint64_t total(size_t engine) const
    {
        return m_counts[engine].back() - m_counts[engine].front();
    }

    [[nodiscard]] uint64_t mostInWindow(size_t engine) const
    {
        const std::vector<uint64_t> &counts = m_counts[engine];
        uint64_t most = 0;
        for (size_t i = windowSeconds; i < counts.size(); ++i) {
            most = std::max(most, counts[i] - counts[i - windowSeconds]);
        }
        return most;
    }

    [[nodiscard]] size_t served() const { return m_served; }
    [[nodiscard]] size_t refused() const { return m_refused; }
    [[nodiscard]] Duration slowestRefusal() const { return m_slowestRefusal; }

private:
    /// @return always false
    bool collect(std::vector<std::pair<Instant, std::shared_ptr<ReceivedResponse>>> &open)
    {
        std::erase_if(
                open, [this](const std::pair<Instant, std::shared_ptr<ReceivedResponse>> &sent) {
                    if (!sent.second->ended) {
                        return false;
                    }
                    const bool isRefused
                            = sent.second->status == 503
                              && !http::findHeader(sent.second->headers, "retry-after").empty();
                    m_served += sent.second->status == 200 ? 1 : 0;
                    m_refused += isRefused ? 1 : 0;
                    if (isRefused) {
                        m_slowestRefusal
                                = std::max(m_slowestRefusal, http::EventLoop::now() - sent.first);
                    }
                    return true;
                });
        return false;
    }

    void countServed()
    {
        for (size_t engine = 0; engine < engineCount; ++engine) {
            const ReceivedResponse report
                    = m_fleet.caller.fetch(m_fleet.engine(engine), {.path = "/load"});
            m_counts[engine].push_back(json::parse(report.body).value("served", uint64_t{0}));
        }
    }

    FleetFixture m_fleet{{.vms = vmCount, .engines = engineCount}};
    size_t m_sent = 0;
    size_t m_served = 0;
    size_t m_refused = 0;
    Duration m_slowestRefusal{0};
    /// Requests that each engine has served, every second.
    std::vector<std::vector<uint64_t>> m_counts;
};

/// Time in which all VMs know of a limit and have divided it.
constexpr size_t learningSeconds = 3;

} // namespace

// Guards against an engine that names a limit getting more than that from all VMs together, and
// against one that is left idle.
TEST_CASE("an engine that names a limit is sent no more than that while others serve the rest")
{
    LimitedEngines scenario;
    scenario.setLimit(0, "limit:2");
    scenario.run(learningSeconds);
    scenario.run(8);
    CAPTURE(scenario.total(0), scenario.total(1), scenario.total(2));
    CHECK(scenario.mostInWindow(0) <= allowedInWindow);
    CHECK(scenario.total(0) >= 8 * perSecond * 0.8);
    CHECK(scenario.served() == 8 * requestsPerSecond);
}

// Guards against requests that wait although no engine will take them.
TEST_CASE("when all engines name limits, these are used up and the rest is refused at once")
{
    LimitedEngines scenario;
    for (size_t engine = 0; engine < engineCount; ++engine) {
        scenario.setLimit(engine, "limit:2");
    }
    scenario.run(learningSeconds);
    // Callers of one VM only
    const size_t vms = GENERATE(size_t{1}, vmCount);
    scenario.run(6, vms);
    for (size_t engine = 0; engine < engineCount; ++engine) {
        CAPTURE(engine, vms, scenario.total(engine));
        CHECK(scenario.mostInWindow(engine) <= allowedInWindow);
        CHECK(scenario.total(engine) >= 6 * perSecond * 0.8);
    }
    CHECK(scenario.served() + scenario.refused() == 6 * requestsPerSecond);
    CHECK(scenario.slowestRefusal() < 500ms);
}

// Guards against limits that need the store.
TEST_CASE("limits of engines are kept and used while the store is silent")
{
    LimitedEngines scenario;
    for (size_t engine = 0; engine < engineCount; ++engine) {
        scenario.setLimit(engine, "limit:2");
    }
    scenario.run(learningSeconds);
    scenario.fleet().storeProcess().signal(SIGSTOP);
    scenario.run(6);
    scenario.fleet().storeProcess().signal(SIGCONT);
    for (size_t engine = 0; engine < engineCount; ++engine) {
        CAPTURE(engine);
        CHECK(scenario.mostInWindow(engine) <= allowedInWindow);
        CHECK(scenario.total(engine) >= 6 * perSecond * 0.8);
    }
}

// Guards against limits that are exceeded, or left unused, while a VM is suspended.
TEST_CASE("limits of engines are kept and used while a VM is suspended")
{
    LimitedEngines scenario;
    for (size_t engine = 0; engine < engineCount; ++engine) {
        scenario.setLimit(engine, "limit:2");
    }
    scenario.run(learningSeconds);
    Process &suspended = scenario.fleet().vmProcess(vmCount - 1);
    suspended.signal(SIGSTOP);
    scenario.run(6, vmCount - 1);
    suspended.signal(SIGCONT);
    uint64_t total = 0;
    for (size_t engine = 0; engine < engineCount; ++engine) {
        CHECK(scenario.mostInWindow(engine) <= allowedInWindow);
        total += scenario.total(engine);
    }
    CHECK(total >= engineCount * 6 * perSecond * 0.6);
}

// Guards against a stream that ends in the middle because its engine, which is to resume it, is at
// its limit, although another one could continue it.
TEST_CASE("a stream that its engine breaks off at its limit is continued by another engine")
{
    constexpr uint32_t tokens = 20;
    constexpr size_t streams = 8;
    FleetFixture fleet({.vms = 1, .engines = 2});
    fleet.setFault(fleet.engine(0), "cut_after:7");
    fleet.setFault(fleet.engine(0), "limit:2");
    fleet.caller.waitFor([] { return false; }, 2s);
    std::vector<std::shared_ptr<ReceivedResponse>> responses;
    for (size_t i = 0; i < streams; ++i) {
        responses.push_back(fleet.caller.start(
                fleet.vm(0), fleet.completion("round " + std::to_string(i), tokens)));
    }
    for (const std::shared_ptr<ReceivedResponse> &response : responses) {
        REQUIRE(fleet.caller.waitFor([&] { return response->ended; }));
        CAPTURE(response->body);
        CHECK(isCompleteStream(*response, tokens));
    }
}

TEST_CASE("an engine whose limit is invalid is used without one, and operators see it")
{
    FleetFixture fleet({.vms = 1, .engines = 1});
    fleet.setFault(fleet.engine(0), "limit:-1");
    std::string metrics;
    CHECK(fleet.caller.waitFor([&] {
        metrics = fleet.caller.fetch(fleet.vm(0), {.path = "/metrics"}).body;
        return metrics.find("teaseldrift_invalid_load_reports_total{problem=\"limit\"}")
               != std::string::npos;
    }));
    CHECK(fleet.caller.fetch(fleet.vm(0), fleet.completion("round", 2)).status == 200);
}

// Guards against a limit that outlasts what the engine reports.
TEST_CASE("a limit that an engine changes or no longer reports is followed")
{
    LimitedEngines scenario;
    for (size_t engine = 0; engine < engineCount; ++engine) {
        scenario.setLimit(engine, "limit:1");
    }
    scenario.run(learningSeconds);
    CHECK(scenario.refused() > 0);
    scenario.setLimit(0, "limit:8");
    scenario.run(learningSeconds);
    scenario.run(4);
    CHECK(scenario.total(0) >= 4 * 8 * 0.8);
    CHECK(scenario.mostInWindow(0) <= size_t{4 * 8 * 3 / 2 + 5});
    scenario.setLimit(0, "unlimited");
    scenario.run(learningSeconds);
    scenario.run(2);
    CHECK(scenario.served() == 2 * requestsPerSecond);
}

} // namespace teaseldrift::testing
