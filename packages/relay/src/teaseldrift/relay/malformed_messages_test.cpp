/// Messages between VMs that are random, or valid with some bytes changed.

#include <limits>
#include <random>

#include <fcntl.h>

#include <catch2/catch.hpp>

#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/relay/cache_event_exchange.hpp"
#include "teaseldrift/relay/load_task.hpp"
#include "teaseldrift/relay/request_forwarder.hpp"
#include "teaseldrift/relay/store_relay.hpp"
#include "teaseldrift/relay/usage_task.hpp"
#include "teaseldrift/schema/forwarding.pb.h"
#include "teaseldrift/schema/message_errors.hpp"

namespace teaseldrift::relay {

namespace {

/// A VM that handles all messages of other VMs.
struct Vm
{
    Vm()
        : log({.descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC)}),
          fleet({.vmId = "vm", .availabilityZone = "z", .minVmCount = 1}, log,
                http::EventLoop::now()),
          peers(loop, {.connectTimeout = 50ms}), load(loop, peers, fleet, log, metrics),
          usage(loop, peers, fleet, log, metrics), relay(loop, peers, fleet, log, metrics),
          cacheEvents(loop, peers), forwarder(loop, peers, fleet, log, metrics, {}),
          server(loop, {},
                 [this](const std::shared_ptr<http::Exchange> &exchange) {
                     if (UsageTask::isMessage(exchange->path())) {
                         usage.handle(exchange);
                     } else if (exchange->path() == LoadTask::path) {
                         load.handle(*exchange);
                     } else if (exchange->path() == StoreRelay::path) {
                         relay.handle(exchange);
                     } else if (exchange->path() == RequestForwarder::path) {
                         forwarder.handle(exchange);
                     } else {
                         cacheEvents.handle(*exchange);
                     }
                 }),
          client(loop, {}), calls(loop, client)
    {
        REQUIRE_FALSE(server.listen());
        FleetDefinition definition{.version = 1};
        definition.organisations.push_back(
                {.name = "shop", .unitsPerSecond = 100.0, .burst = 1000.0});
        fleet.applyDefinition(std::move(definition), {}, http::EventLoop::now());
        fleet.applyTarget({.id = "t", .service = "s", .startedAtMs = 1, .weights = {{"m", 1}}},
                          http::EventLoop::now());
    }

    /// @return status of the response; 0 if there is none
    int send(std::string_view path, const std::string &body)
    {
        int status = -1;
        calls.start({.address = "127.0.0.1", .port = server.port()},
                    {.method = "POST", .path = std::string(path), .body = body}, 3s,
                    [this, &status](const http::BufferedResponse &response) {
                        status = response.status;
                        loop.stop();
                    });
        loop.run();
        return status;
    }

    http::EventLoop loop;
    telemetry::EventLog log;
    telemetry::Metrics metrics;
    FleetState fleet;
    http::Client peers;
    LoadTask load;
    UsageTask usage;
    StoreRelay relay;
    CacheEventExchange cacheEvents;
    RequestForwarder forwarder;
    http::Server server;
    http::Client client;
    http::BufferedClient calls;
};

/// A message with extreme values and fields that contradict each other.
schema::FleetLoad extremeLoad()
{
    constexpr uint64_t most = std::numeric_limits<uint64_t>::max();
    schema::FleetLoad load;
    load.set_vm_id("other");
    load.add_target_keys(1);
    load.add_unread_tokens(std::numeric_limits<uint32_t>::max());
    load.add_read_targets(7);
    schema::WeightsPlan &plan = *load.add_plans();
    plan.set_model("m");
    plan.set_version(most);
    plan.set_age_ms(std::numeric_limits<uint32_t>::max());
    schema::DesiredWeights &desired = *load.add_desired_weights();
    desired.set_model("unknown");
    desired.set_version(3);
    desired.set_age_ms(most);
    schema::CrashReports &reports = *load.mutable_crash_reports();
    reports.set_digest(most);
    for (uint64_t id = 0; id < 1000; ++id) {
        schema::TargetCrash &crash = *reports.add_crashes();
        crash.set_id(id);
        crash.set_target("t\xff");
        crash.set_model("m\xff");
        crash.set_age_ms(id % 3 == 0 ? most : id);
        for (uint64_t segment = 0; segment < 100; ++segment) {
            crash.add_suspects(segment);
        }
        crash.add_cleared(5);
    }
    return load;
}

std::string randomBytes(std::mt19937_64 &random)
{
    std::string bytes(random() % 200, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

std::string changed(std::string bytes, std::mt19937_64 &random)
{
    for (uint64_t i = 0; i < 1 + random() % 8 && !bytes.empty(); ++i) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % 4 == 0 ? random() % (bytes.size() + 1) : bytes.size());
    return bytes;
}

} // namespace

// Guards against one malformed message that ends a process or stops it from handling others.
TEST_CASE("random and changed messages of other VMs are answered, and valid ones still handled")
{
    schema::silenceMessageErrors();
    Vm vm;
    schema::UsageAsk usage;
    usage.set_organisation("shop");
    usage.set_units(std::numeric_limits<double>::quiet_NaN());
    schema::LimitClaim claim;
    claim.set_organisation("shop");
    claim.set_claimant("other");
    claim.set_claimant_address("999.1.1.1:99999999");
    schema::ChangesAsk changes;
    changes.set_prefix("teaseldrift/vms/");
    changes.set_revision(std::numeric_limits<uint64_t>::max());
    schema::CacheEventsAsk events;
    events.add_caches()->set_since(std::numeric_limits<uint64_t>::max());
    schema::ForwardedRequest forwarded;
    forwarded.set_target("t");
    forwarded.set_target_address("127.0.0.1:99999");
    const std::vector<std::pair<std::string, std::string>> messages{
            {std::string(LoadTask::path), extremeLoad().SerializeAsString()},
            {std::string(StoreRelay::path), changes.SerializeAsString()},
            {std::string(CacheEventExchange::path), events.SerializeAsString()},
            {std::string(RequestForwarder::path), forwarded.SerializeAsString()},
            {"/teaseldrift/usage", usage.SerializeAsString()},
            {"/teaseldrift/usage/claim", claim.SerializeAsString()},
            {"/teaseldrift/usage/extension", usage.SerializeAsString()},
            {"/teaseldrift/usage/offer", claim.SerializeAsString()}};
    std::mt19937_64 random(4711);
    for (const std::pair<std::string, std::string> &message : messages) {
        CAPTURE(message.first);
        CHECK(vm.send(message.first, message.second) > 0);
        for (int i = 0; i < 60; ++i) {
            CHECK(vm.send(message.first, randomBytes(random)) > 0);
            CHECK(vm.send(message.first, changed(message.second, random)) > 0);
        }
    }
    schema::FleetLoad valid;
    valid.set_vm_id("valid");
    CHECK(vm.send(LoadTask::path, valid.SerializeAsString()) == 200);
    const SegmentQuarantineOptions limits;
    const std::vector<CrashRecord> records = vm.fleet.quarantine().records();
    CHECK(records.size() <= limits.maxRecords);
    for (const CrashRecord &record : records) {
        CHECK(record.suspects.size() <= limits.maxSuspectsPerRecord);
    }
    CHECK(vm.fleet.minWeights("m", http::EventLoop::now()) <= 1);
}

} // namespace teaseldrift::relay
