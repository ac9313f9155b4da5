#include <csignal>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "processes/fleet_fixture.hpp"
#include "teaseldrift/schema/result_code.pb.h"

namespace teaseldrift::testing {

namespace {

using nlohmann::json;

std::string resultCode(const ReceivedResponse &response)
{
    return std::string(http::findHeader(response.headers, "x-teaseldrift-result"));
}

uint64_t served(FleetFixture &fleet, size_t engine)
{
    return json::parse(fleet.caller.fetch(fleet.engine(engine), {.path = "/load"}).body)
            .value("served", uint64_t{0});
}

} // namespace

TEST_CASE("a graceful shutdown completes all 200 open streams")
{
    constexpr size_t streams = 200;
    constexpr uint32_t tokens = 60;
    FleetFixture fleet(
            {.vms = 1, .engines = 2, .engineArguments = {"--token-ms", "20", "--slots", "200"}});
    std::vector<std::shared_ptr<ReceivedResponse>> responses;
    for (size_t i = 0; i < streams; ++i) {
        responses.push_back(fleet.caller.start(
                fleet.vm(0), fleet.completion("stream " + std::to_string(i), tokens)));
    }
    REQUIRE(fleet.caller.waitFor([&] {
        return std::all_of(responses.begin(), responses.end(),
                           [](const std::shared_ptr<ReceivedResponse> &response) {
                               return response->body.size() > 100;
                           });
    }));
    fleet.vmProcess(0).signal(SIGTERM);
    fleet.vmProcess(0).signal(SIGTERM);
    REQUIRE(fleet.caller.waitFor([&] {
        return std::all_of(
                responses.begin(), responses.end(),
                [](const std::shared_ptr<ReceivedResponse> &response) { return response->ended; });
    }));
    size_t complete = 0;
    for (const std::shared_ptr<ReceivedResponse> &response : responses) {
        complete += isCompleteStream(*response, tokens) ? 1 : 0;
    }
    CHECK(complete == streams);
    CHECK(fleet.vmProcess(0).wait() == 0);
}

TEST_CASE("a withdrawn key is rejected by every VM")
{
    FleetFixture fleet({.vms = 3, .engines = 1});
    for (size_t i = 0; i < 3; ++i) {
        REQUIRE(fleet.caller.fetch(fleet.vm(i), fleet.completion("before", 2)).status == 200);
    }
    fleet.withdrawKey();
    for (size_t i = 0; i < 3; ++i) {
        CHECK(fleet.caller.waitFor([&] {
            const ReceivedResponse response
                    = fleet.caller.fetch(fleet.vm(i), fleet.completion("after", 2));
            return resultCode(response) == std::to_string(schema::KEY_REFUSED);
        }));
    }
}

TEST_CASE("a withdrawn key is rejected on a connection that is already open")
{
    FleetFixture fleet({.vms = 1, .engines = 1});
    REQUIRE(fleet.caller.fetchPooled(fleet.vm(0), fleet.completion("before", 2)).status == 200);
    fleet.withdrawKey();
    CHECK(fleet.caller.waitFor([&] {
        const ReceivedResponse response
                = fleet.caller.fetchPooled(fleet.vm(0), fleet.completion("after", 2));
        return resultCode(response) == std::to_string(schema::KEY_REFUSED);
    }));
}

TEST_CASE("requests are served and a VM restarts while the store does not respond")
{
    FleetFixture fleet({.vms = 3, .engines = 1});
    for (size_t i = 0; i < 3; ++i) {
        REQUIRE(fleet.caller.fetch(fleet.vm(i), fleet.completion("before", 2)).status == 200);
    }
    fleet.storeProcess().signal(SIGSTOP);
    CHECK(fleet.caller.fetch(fleet.vm(0), fleet.completion("paddy", 4)).status == 200);
    fleet.vmProcess(1).signal(SIGKILL);
    fleet.vmProcess(1).wait();
    fleet.restartVm(1);
    CHECK(fleet.waitReady(1));
    // Longer than the freshness bound: without the store, only a majority of the peers can confirm
    // that the configuration is current.
    fleet.caller.waitFor([] { return false; }, 4s);
    for (size_t i = 0; i < 3; ++i) {
        CAPTURE(i);
        CHECK(isCompleteStream(fleet.caller.fetch(fleet.vm(i), fleet.completion("maize", 4)), 4));
    }
    fleet.storeProcess().signal(SIGCONT);
}

TEST_CASE("a restarted VM rejects no request within the rate limit")
{
    FleetFixture fleet({.vms = 3, .engines = 1, .rateTokensPerS = 1e5, .burstTokens = 1e5});
    for (size_t i = 0; i < 3; ++i) {
        REQUIRE(fleet.caller.fetch(fleet.vm(i), fleet.completion("before", 2)).status == 200);
    }
    fleet.vmProcess(1).signal(SIGKILL);
    fleet.vmProcess(1).wait();
    fleet.restartVm(1);
    REQUIRE(fleet.waitReady(1));
    for (int i = 0; i < 20; ++i) {
        const ReceivedResponse response
                = fleet.caller.fetch(fleet.vm(1), fleet.completion("after", 2));
        CAPTURE(i, response.body);
        CHECK(response.status == 200);
    }
}

TEST_CASE("a leaving target gets no new requests")
{
    FleetFixture fleet({.vms = 1, .engines = 2});
    fleet.publishVms({"engine-0"});
    uint64_t before = served(fleet, 0);
    // The router polls the list of VMs every few hundred milliseconds.
    REQUIRE(fleet.caller.waitFor([&] {
        const json status = json::parse(
                fleet.caller
                        .fetch(fleet.vm(0), {.path = "/admin/status",
                                             .headers = {{"authorization", "Bearer admin"}}})
                        .body);
        for (const json &target : status["targets"]) {
            if (target["id"] == "engine-0") {
                return !target["eligible"].get<bool>();
            }
        }
        return false;
    }));
    before = served(fleet, 0);
    for (int i = 0; i < 20; ++i) {
        CHECK(isCompleteStream(
                fleet.caller.fetch(fleet.vm(0), fleet.completion("chilli " + std::to_string(i), 2)),
                2));
    }
    CHECK(served(fleet, 0) == before);
}

TEST_CASE("the rate and burst limits of an organisation hold across all VMs")
{
    constexpr double rate = 200.0;
    constexpr double burst = 400.0;
    constexpr uint32_t outputTokens = 40;
    const Instant start = http::EventLoop::now();
    FleetFixture fleet({.vms = 3,
                        .engines = 1,
                        .engineArguments = {"--token-ms", "0"},
                        .rateTokensPerS = rate,
                        .burstTokens = burst});
    // The token bucket of a new organisation is initially empty.
    fleet.caller.waitFor([] { return false; }, 2s);
    double admitted = 0.0;
    size_t refused = 0;
    for (size_t i = 0; i < 90; ++i) {
        const ReceivedResponse response
                = fleet.caller.fetch(fleet.vm(i % 3), fleet.completion("ab", outputTokens));
        if (response.status == 200) {
            admitted += outputTokens;
        } else {
            refused += resultCode(response) == std::to_string(schema::RATE_EXCEEDED) ? 1 : 0;
        }
    }
    const double seconds = toSeconds(http::EventLoop::now() - start);
    CAPTURE(seconds, refused);
    CHECK(admitted <= burst + rate * seconds);
    CHECK(admitted >= burst / 2);
    CHECK(refused > 0);
}

TEST_CASE("entry responses list the VMs except one that is shutting down")
{
    FleetFixture fleet({.vms = 3, .engines = 1, .entryLifetimeMs = 5000});
    const http::Request question{.path = "/v1/entry",
                                 .headers = {{"authorization", "Bearer " + fleet.key()}}};
    json response;
    // A VM lists another one once it has received a message from it.
    CHECK(fleet.caller.waitFor([&] {
        response = json::parse(fleet.caller.fetch(fleet.vm(0), question).body);
        return response["addresses"].size() == 3;
    }));
    CHECK(response["lifetime_ms"] == 5000);
    fleet.vmProcess(2).signal(SIGTERM);
    const std::string leaving = http::toString(fleet.vm(2));
    CHECK(fleet.caller.waitFor([&] {
        const std::string body = fleet.caller.fetch(fleet.vm(0), question).body;
        return body.find(leaving) == std::string::npos;
    }));
}

} // namespace teaseldrift::testing
