#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/schema/fleet.pb.h"

namespace teaseldrift::fleet {

/// @brief Endpoint on which another VM accepts connections of its peers.
struct PeerAddress
{
    std::string vmId;
    http::Endpoint endpoint;

    bool operator==(const PeerAddress &) const = default;
};

struct PeerNetworkOptions
{
    std::string vmId;
    /// Random per process start.
    uint64_t incarnation = 0;
    /// Listening endpoint of this VM; port 0 selects a free port.
    http::Endpoint endpoint{.address = "127.0.0.1", .port = 0};
    /// CURVE key pair that all VMs share, in Z85 encoding; empty for unencrypted connections.
    std::string publicKey;
    std::string secretKey;
    /// Time between ZMTP heartbeats on each connection.
    Duration heartbeatInterval = 500ms;
    /// Time without traffic after which a connection is closed and reopened.
    Duration heartbeatTimeout = 1500ms;
    /// Most messages queued for one peer; further ones are dropped.
    int queueLimit = 512;
    /// Largest message, in bytes.
    int64_t maxMessageBytes = 64LL << 20U;
};

/// @brief Counters since the start.
struct PeerCounters
{
    uint64_t messagesSent = 0;
    uint64_t bytesSent = 0;
    uint64_t messagesReceived = 0;
    uint64_t bytesReceived = 0;
    /// Messages to a VM without a connection or with a full queue.
    uint64_t messagesDropped = 0;
    /// Messages that cannot be parsed or do not match their sender, and failed authentications.
    uint64_t messagesRejected = 0;
};

/// @brief Exchanges messages between VMs over ZeroMQ, on a dedicated thread.
///
/// Delivery is not guaranteed, and not ordered across reconnections. All functions must be called
/// on the owner's thread; handlers run there too, through the executor.
///
/// ```cpp
/// PeerNetwork network({.vmId = "vm-1", .incarnation = 7},
///                     [&loop](std::function<void()> task) { loop.post(std::move(task)); });
/// network.handle(schema::PeerMessage::kAllowance, [](const schema::PeerMessage &message) {...});
/// std::error_code error = network.start();
/// network.setPeers(addresses);
/// network.send("vm-2", message);
/// ```
class PeerNetwork
{
public:
    using Executor = std::function<void(std::function<void()>)>;
    using Handler = std::function<void(const schema::PeerMessage &)>;

    PeerNetwork(PeerNetworkOptions options, Executor executor);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /// @brief Sets the handler of one kind of message. Must be called before start().
    void handle(schema::PeerMessage::BodyCase body, Handler handler);

    /// @brief Sets a predicate that is called for every message before its handler; messages for
    /// which it returns false are dropped.
    void setFilter(std::function<bool(const schema::PeerMessage &)> filter);

    /// @brief Binds the listening socket and starts the thread.
    [[nodiscard]] std::error_code start();

    /// @brief The bound port.
    [[nodiscard]] uint16_t port() const;

    /// @brief Sets the peers to stay connected to; connections to others are closed.
    void setPeers(std::span<const PeerAddress> peers);

    /// @brief Sends a message to a peer, or to a VM that has connected to this one.
    /// @param message its sender and sequence are set here
    void send(std::string_view vmId, schema::PeerMessage message);

    [[nodiscard]] PeerCounters counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::fleet
