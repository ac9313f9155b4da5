#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include <zmq.hpp>

#include "teaseldrift/fleet/peer_network.hpp"

namespace teaseldrift::fleet {

/// @brief A command from the owner's thread to the peer thread.
struct PeerCommand
{
    enum class Kind {
        Send,
        SetPeers,
        Stop,
    };

    Kind kind = Kind::Send;
    std::string vmId;
    std::string payload;
    std::vector<PeerAddress> peers;
};

/// @brief Pointer to a command in transit between the threads; the receiver owns the command.
struct PeerCommandHandle
{
    PeerCommand *command = nullptr;
};

struct AtomicPeerCounters
{
    std::atomic<uint64_t> messagesSent = 0;
    std::atomic<uint64_t> bytesSent = 0;
    std::atomic<uint64_t> messagesReceived = 0;
    std::atomic<uint64_t> bytesReceived = 0;
    std::atomic<uint64_t> messagesDropped = 0;
    std::atomic<uint64_t> messagesRejected = 0;
};

/// @brief The sockets to the peers. Created on the owner's thread, then used only on the peer
/// thread.
class PeerSockets
{
public:
    using Deliver = std::function<void(schema::PeerMessage)>;

    PeerSockets(zmq::context_t &context, const PeerNetworkOptions &options,
                AtomicPeerCounters &counters, Deliver deliver);

    /// @brief Binds the listening socket.
    std::error_code bind();

    [[nodiscard]] uint16_t port() const { return m_port; }

    /// @brief Polls the sockets until a stop command arrives at `commands`.
    void run(zmq::socket_t &commands);

private:
    struct Peer
    {
        PeerAddress address;
        zmq::socket_t socket;
    };

    zmq::context_t &m_context;
    const PeerNetworkOptions &m_options;
    AtomicPeerCounters &m_counters;
    Deliver m_deliver;
    zmq::socket_t m_router;
    zmq::socket_t m_authenticator;
    std::string m_publicKeyBytes;
    uint16_t m_port = 0;
    std::map<std::string, Peer, std::less<>> m_peers;
    /// Routing ids of the VMs that have connected to this one, by VM id.
    std::map<std::string, std::string, std::less<>> m_routes;

    void setCommonOptions(zmq::socket_t &socket) const;
    void setPeers(const std::vector<PeerAddress> &peers);
    void connect(const PeerAddress &address);
    void send(const PeerCommand &command);
    bool sendRouted(const std::string &vmId, const std::string &payload);
    void receiveRouted();
    void receive(Peer &peer);
    void handlePayload(std::string_view expectedSender, const zmq::message_t &payload);
    void authenticate();
    bool handleCommands(zmq::socket_t &commands);
};

} // namespace teaseldrift::fleet
