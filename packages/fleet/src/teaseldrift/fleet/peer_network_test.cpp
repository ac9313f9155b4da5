#include "teaseldrift/fleet/peer_network.hpp"

#include <array>

#include <catch2/catch.hpp>
#include <zmq.h>

#include "stalling_proxy.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::fleet {

namespace {

struct CurveKey
{
    std::string publicKey;
    std::string secretKey;
};

CurveKey makeCurveKey()
{
    constexpr size_t keyTextSize = 41;
    std::array<char, keyTextSize> publicKey{};
    std::array<char, keyTextSize> secretKey{};
    REQUIRE(zmq_curve_keypair(publicKey.data(), secretKey.data()) == 0);
    return {.publicKey = publicKey.data(), .secretKey = secretKey.data()};
}

/// A PeerNetwork on an event loop that answers heartbeats and counts both kinds of message.
struct Node
{
    PeerNetwork network;
    int heartbeats = 0;
    int answers = 0;

    Node(http::EventLoop &loop, PeerNetworkOptions options)
        : network(options, [&loop](std::function<void()> task) { loop.post(std::move(task)); })
    {
        network.handle(schema::PeerMessage::kHeartbeat, [this](const schema::PeerMessage &message) {
            ++heartbeats;
            schema::PeerMessage answer;
            answer.mutable_configuration_answer()->set_revision(1);
            network.send(message.sender().vm_id(), answer);
        });
        network.handle(schema::PeerMessage::kConfigurationAnswer,
                       [this](const schema::PeerMessage &) { ++answers; });
        REQUIRE_FALSE(network.start());
    }

    void connectTo(const std::string &vmId, uint16_t port)
    {
        const PeerAddress address{.vmId = vmId, .endpoint = {"127.0.0.1", port}};
        network.setPeers({&address, 1});
    }

    void sendHeartbeat(const std::string &vmId)
    {
        schema::PeerMessage message;
        message.mutable_heartbeat()->set_configuration_revision(1);
        network.send(vmId, message);
    }
};

/// Runs the loop and calls `each` every 50 ms until `done` returns true or `longest` has passed.
template <typename Each, typename Done>
bool runUntil(http::EventLoop &loop, Duration longest, Each each, Done done)
{
    constexpr Duration step = 50ms;
    for (Duration passed{}; passed < longest && !done(); passed += step) {
        each();
        loop.startTimer(step, [&loop] { loop.stop(); });
        loop.run();
    }
    return done();
}

} // namespace

TEST_CASE("a reply is sent over the connection on which the message arrived")
{
    const bool encrypted = GENERATE(false, true);
    const CurveKey key = encrypted ? makeCurveKey() : CurveKey();
    http::EventLoop loop;
    Node first(loop, {.vmId = "vm-1",
                      .incarnation = 11,
                      .publicKey = key.publicKey,
                      .secretKey = key.secretKey});
    Node second(loop, {.vmId = "vm-2",
                       .incarnation = 22,
                       .publicKey = key.publicKey,
                       .secretKey = key.secretKey});
    first.connectTo("vm-2", second.network.port());
    CHECK(runUntil(
            loop, 5s, [&] { first.sendHeartbeat("vm-2"); }, [&] { return first.answers > 0; }));
    CHECK(second.network.counters().messagesReceived > 0);
}

TEST_CASE("a VM with a different key is rejected")
{
    const CurveKey key = makeCurveKey();
    const CurveKey otherKey = makeCurveKey();
    http::EventLoop loop;
    Node first(loop, {.vmId = "vm-1",
                      .incarnation = 11,
                      .publicKey = key.publicKey,
                      .secretKey = otherKey.secretKey});
    Node second(loop, {.vmId = "vm-2",
                       .incarnation = 22,
                       .publicKey = key.publicKey,
                       .secretKey = key.secretKey});
    first.connectTo("vm-2", second.network.port());
    CHECK_FALSE(runUntil(
            loop, 1s, [&] { first.sendHeartbeat("vm-2"); }, [&] { return second.heartbeats > 0; }));
    CHECK(first.network.counters().messagesDropped > 0);
}

TEST_CASE("start() rejects a key that is not Z85")
{
    http::EventLoop loop;
    PeerNetwork network({.vmId = "vm-1", .publicKey = "short", .secretKey = "short"},
                        [](const std::function<void()> &) {});
    CHECK(network.start() == std::errc::invalid_argument);
}

TEST_CASE("a stalled connection is reopened")
{
    http::EventLoop loop;
    Node first(loop, {.vmId = "vm-1",
                      .incarnation = 11,
                      .heartbeatInterval = 100ms,
                      .heartbeatTimeout = 300ms});
    Node second(loop, {.vmId = "vm-2", .incarnation = 22});
    testing::StallingProxy proxy(second.network.port());
    first.connectTo("vm-2", proxy.port());
    const auto send = [&] { first.sendHeartbeat("vm-2"); };
    REQUIRE(runUntil(loop, 5s, send, [&] { return second.heartbeats > 0; }));
    const int openConnections = proxy.accepted();
    proxy.stallOpenConnections();
    REQUIRE(runUntil(loop, 5s, send, [&] { return proxy.accepted() > openConnections; }));
    second.heartbeats = 0;
    CHECK(runUntil(loop, 5s, send, [&] { return second.heartbeats > 0; }));
}

TEST_CASE("a VM that restarts at the same address is reconnected")
{
    http::EventLoop loop;
    Node first(loop, {.vmId = "vm-1", .incarnation = 11});
    std::unique_ptr<Node> second
            = std::make_unique<Node>(loop, PeerNetworkOptions{.vmId = "vm-2", .incarnation = 22});
    const uint16_t port = second->network.port();
    first.connectTo("vm-2", port);
    const auto send = [&] { first.sendHeartbeat("vm-2"); };
    REQUIRE(runUntil(loop, 5s, send, [&] { return second->heartbeats > 0; }));
    second.reset();
    second = std::make_unique<Node>(
            loop,
            PeerNetworkOptions{.vmId = "vm-2", .incarnation = 23, .endpoint = {"127.0.0.1", port}});
    CHECK(runUntil(loop, 5s, send, [&] { return second->heartbeats > 0; }));
}

} // namespace teaseldrift::fleet
