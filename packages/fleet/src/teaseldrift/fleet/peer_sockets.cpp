#include "peer_sockets.hpp"

#include <algorithm>
#include <array>

#include <zmq_addon.hpp>

namespace teaseldrift::fleet {

namespace {

constexpr size_t curveKeyBytes = 32;
constexpr size_t curveKeyTextLength = 40;
constexpr const char *authenticatorEndpoint = "inproc://zeromq.zap.01";
/// Most messages read from one socket per poll, so that a busy peer does not starve the others.
constexpr int maxMessagesPerPoll = 64;
/// Bounds the routing ids kept, which include those of replaced VMs.
constexpr size_t maxRoutes = 4096;

int toMs(Duration duration)
{
    return static_cast<int>(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string toUrl(const http::Endpoint &endpoint)
{
    return "tcp://" + http::toString(endpoint);
}

std::string decodeKey(const std::string &text)
{
    std::string bytes(curveKeyBytes, '\0');
    if (text.size() != curveKeyTextLength
        || zmq_z85_decode(reinterpret_cast<uint8_t *>(bytes.data()), text.c_str()) == nullptr) {
        return {};
    }
    return bytes;
}

/// The routing id identifies the process, so that a restarted VM does not take over the connections
/// of its previous process.
std::string routingId(const PeerNetworkOptions &options)
{
    return options.vmId + "/" + std::to_string(options.incarnation);
}

std::string_view vmIdOf(std::string_view routingId)
{
    return routingId.substr(0, routingId.rfind('/'));
}

} // namespace

PeerSockets::PeerSockets(zmq::context_t &context, const PeerNetworkOptions &options,
                         AtomicPeerCounters &counters, Deliver deliver)
    : m_context(context), m_options(options), m_counters(counters), m_deliver(std::move(deliver)),
      m_router(context, zmq::socket_type::router), m_authenticator(context, zmq::socket_type::rep)
{ }

void PeerSockets::setCommonOptions(zmq::socket_t &socket) const
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, m_options.queueLimit);
    socket.set(zmq::sockopt::rcvhwm, m_options.queueLimit);
    socket.set(zmq::sockopt::maxmsgsize, m_options.maxMessageBytes);
    socket.set(zmq::sockopt::heartbeat_ivl, toMs(m_options.heartbeatInterval));
    socket.set(zmq::sockopt::heartbeat_timeout, toMs(m_options.heartbeatTimeout));
    socket.set(zmq::sockopt::heartbeat_ttl, toMs(m_options.heartbeatTimeout * 2));
    socket.set(zmq::sockopt::handshake_ivl, toMs(m_options.heartbeatTimeout));
}

std::error_code PeerSockets::bind()
{
    try {
        setCommonOptions(m_router);
        m_router.set(zmq::sockopt::router_mandatory, true);
        m_router.set(zmq::sockopt::router_handover, true);
        if (!m_options.publicKey.empty()) {
            m_publicKeyBytes = decodeKey(m_options.publicKey);
            if (m_publicKeyBytes.empty() || decodeKey(m_options.secretKey).empty()) {
                return std::make_error_code(std::errc::invalid_argument);
            }
            m_authenticator.bind(authenticatorEndpoint);
            m_router.set(zmq::sockopt::curve_server, true);
            m_router.set(zmq::sockopt::curve_secretkey, m_options.secretKey);
            m_router.set(zmq::sockopt::zap_domain, "peers");
        }
        http::Endpoint endpoint = m_options.endpoint;
        const std::string port = endpoint.port == 0 ? "*" : std::to_string(endpoint.port);
        m_router.bind("tcp://" + endpoint.address + ":" + port);
        const std::string bound = m_router.get(zmq::sockopt::last_endpoint);
        if (!http::parseEndpoint(bound.substr(std::string("tcp://").size()), endpoint)) {
            return std::make_error_code(std::errc::bad_address);
        }
        m_port = endpoint.port;
        return {};
    } catch (const zmq::error_t &error) {
        return {error.num(), std::generic_category()};
    }
}

void PeerSockets::run(zmq::socket_t &commands)
{
    constexpr size_t fixedSockets = 3;
    while (true) {
        std::vector<zmq::pollitem_t> items{
                {commands.handle(), 0, ZMQ_POLLIN, 0},
                {m_router.handle(), 0, ZMQ_POLLIN, 0},
                {m_authenticator.handle(), 0, ZMQ_POLLIN, 0},
        };
        std::vector<Peer *> peers;
        for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
            items.push_back({it->second.socket.handle(), 0, ZMQ_POLLIN, 0});
            peers.push_back(&it->second);
        }
        zmq::poll(items, std::chrono::milliseconds(-1));
        if ((items[1].revents & ZMQ_POLLIN) != 0) {
            receiveRouted();
        }
        if ((items[2].revents & ZMQ_POLLIN) != 0) {
            authenticate();
        }
        for (size_t i = 0; i < peers.size(); ++i) {
            if ((items[i + fixedSockets].revents & ZMQ_POLLIN) != 0) {
                receive(*peers[i]);
            }
        }
        // Commands are handled last because they may close sockets that `items` refers to.
        if ((items[0].revents & ZMQ_POLLIN) != 0 && !handleCommands(commands)) {
            return;
        }
    }
}

/// @return false if a stop command was received
bool PeerSockets::handleCommands(zmq::socket_t &commands)
{
    zmq::message_t message;
    while (commands.recv(message, zmq::recv_flags::dontwait).has_value()) {
        const std::unique_ptr<PeerCommand> command(message.data<PeerCommandHandle>()->command);
        switch (command->kind) {
        case PeerCommand::Kind::Stop:
            return false;
        case PeerCommand::Kind::SetPeers:
            setPeers(command->peers);
            break;
        case PeerCommand::Kind::Send:
            send(*command);
            break;
        }
    }
    return true;
}

void PeerSockets::setPeers(const std::vector<PeerAddress> &peers)
{
    std::erase_if(m_peers, [&peers](const auto &item) {
        return std::find(peers.begin(), peers.end(), item.second.address) == peers.end();
    });
    for (const PeerAddress &peer : peers) {
        if (!m_peers.contains(peer.vmId)) {
            connect(peer);
        }
    }
}

void PeerSockets::connect(const PeerAddress &address)
{
    constexpr int reconnectIntervalMs = 100;
    constexpr int maxReconnectIntervalMs = 1000;
    zmq::socket_t socket(m_context, zmq::socket_type::dealer);
    setCommonOptions(socket);
    socket.set(zmq::sockopt::routing_id, routingId(m_options));
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, reconnectIntervalMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectIntervalMs);
    socket.set(zmq::sockopt::connect_timeout, toMs(m_options.heartbeatTimeout));
    if (!m_options.publicKey.empty()) {
        socket.set(zmq::sockopt::curve_serverkey, m_options.publicKey);
        socket.set(zmq::sockopt::curve_publickey, m_options.publicKey);
        socket.set(zmq::sockopt::curve_secretkey, m_options.secretKey);
    }
    try {
        socket.connect(toUrl(address.endpoint));
    } catch (const zmq::error_t &) {
        // The VM list contains an invalid address; messages to that VM are counted as dropped.
        return;
    }
    m_peers.emplace(address.vmId, Peer{.address = address, .socket = std::move(socket)});
}

void PeerSockets::send(const PeerCommand &command)
{
    bool sent = false;
    const auto peer = m_peers.find(command.vmId);
    if (peer != m_peers.end()) {
        sent = peer->second.socket.send(zmq::buffer(command.payload), zmq::send_flags::dontwait)
                       .has_value();
    }
    sent = sent || sendRouted(command.vmId, command.payload);
    if (!sent) {
        ++m_counters.messagesDropped;
        return;
    }
    ++m_counters.messagesSent;
    m_counters.bytesSent += command.payload.size();
}

/// Sends over the connection that the other VM has opened.
bool PeerSockets::sendRouted(const std::string &vmId, const std::string &payload)
{
    const auto route = m_routes.find(vmId);
    if (route == m_routes.end()) {
        return false;
    }
    const std::array<zmq::const_buffer, 2> frames{zmq::buffer(route->second), zmq::buffer(payload)};
    try {
        return zmq::send_multipart(m_router, frames, zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t &) {
        m_routes.erase(route);
        return false;
    }
}

void PeerSockets::receiveRouted()
{
    for (int i = 0; i < maxMessagesPerPoll; ++i) {
        std::vector<zmq::message_t> frames;
        const zmq::recv_result_t received = zmq::recv_multipart(
                m_router, std::back_inserter(frames), zmq::recv_flags::dontwait);
        if (!received.has_value()) {
            return;
        }
        constexpr size_t expectedFrames = 2;
        const std::string id = frames.front().to_string();
        const std::string vmId(vmIdOf(id));
        if (frames.size() != expectedFrames || vmId.empty()) {
            ++m_counters.messagesRejected;
            continue;
        }
        if (m_routes.size() >= maxRoutes && !m_routes.contains(vmId)) {
            // VMs that are still connected are added again with their next message.
            m_routes.clear();
        }
        m_routes[vmId] = id;
        handlePayload(vmId, frames.back());
    }
}

void PeerSockets::receive(Peer &peer)
{
    zmq::message_t message;
    for (int i = 0; i < maxMessagesPerPoll; ++i) {
        if (!peer.socket.recv(message, zmq::recv_flags::dontwait).has_value()) {
            return;
        }
        handlePayload(peer.address.vmId, message);
    }
}

void PeerSockets::handlePayload(std::string_view expectedSender, const zmq::message_t &payload)
{
    schema::PeerMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))
        || message.sender().vm_id() != expectedSender) {
        ++m_counters.messagesRejected;
        return;
    }
    ++m_counters.messagesReceived;
    m_counters.bytesReceived += payload.size();
    m_deliver(std::move(message));
}

/// Handles a ZAP request: accepts a client only if its CURVE key is the key that the VMs share.
/// See https://rfc.zeromq.org/spec/27/.
void PeerSockets::authenticate()
{
    constexpr size_t mechanismFrame = 5;
    constexpr size_t keyFrame = 6;
    std::vector<zmq::message_t> request;
    const zmq::recv_result_t received = zmq::recv_multipart(
            m_authenticator, std::back_inserter(request), zmq::recv_flags::dontwait);
    if (!received.has_value() || request.size() < 2) {
        return;
    }
    const bool allowed = request.size() == keyFrame + 1
                         && request[mechanismFrame].to_string_view() == "CURVE"
                         && request[keyFrame].to_string_view() == m_publicKeyBytes;
    if (!allowed) {
        ++m_counters.messagesRejected;
    }
    const std::array<std::string_view, 6> answer{
            request[0].to_string_view(),
            request[1].to_string_view(),
            allowed ? "200" : "400",
            allowed ? "" : "another key",
            "",
            "",
    };
    std::vector<zmq::const_buffer> frames;
    for (const std::string_view frame : answer) {
        frames.push_back(zmq::buffer(frame));
    }
    zmq::send_multipart(m_authenticator, frames, zmq::send_flags::dontwait);
}

} // namespace teaseldrift::fleet
