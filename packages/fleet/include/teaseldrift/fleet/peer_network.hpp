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

/// @brief Where another VM listens for its peers.
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
    /// Where this VM listens; port 0 for any.
    http::Endpoint endpoint{.address = "127.0.0.1", .port = 0};
    /// CURVE key pair shared by the VMs, Z85; empty for plain connections.
    std::string publicKey;
    std::string secretKey;
    /// Time between ZMTP heartbeats on each connection.
    Duration heartbeatInterval = 500ms;
    /// Silence after which a connection is closed and opened anew.
    Duration heartbeatTimeout = 1500ms;
    /// Messages that wait for one peer; further ones are dropped.
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
    /// Messages without a connection, or with a full queue.
    uint64_t messagesDropped = 0;
    /// Messages that are no PeerMessage, or whose sender failed authentication.
    uint64_t messagesRejected = 0;
};

/// @brief Messages between VMs over ZeroMQ, on a thread of its own.
///
/// Delivery is not guaranteed and not ordered across reconnections. All calls belong to the owner's
/// thread, and handlers run there, through the owner's mailbox.
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

    /// @brief Sets the handler of one kind of message; call it before start().
    void handle(schema::PeerMessage::BodyCase body, Handler handler);

    /// @brief Called for every message before its handler; a false result drops the message.
    void setFilter(std::function<bool(const schema::PeerMessage &)> filter);

    /// @brief Binds and starts the thread.
    [[nodiscard]] std::error_code start();

    /// @brief The bound port.
    [[nodiscard]] uint16_t port() const;

    /// @brief Peers to keep a connection to; others are closed.
    void setPeers(std::span<const PeerAddress> peers);

    /// @brief Sends to a peer, or to a VM that has connected to this one.
    /// @param message sender and sequence are filled in
    void send(std::string_view vmId, schema::PeerMessage message);

    [[nodiscard]] PeerCounters counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::fleet
