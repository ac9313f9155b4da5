#include "teaseldrift/fleet/peer_network.hpp"

#include <map>
#include <thread>

#include "peer_sockets.hpp"

namespace teaseldrift::fleet {

namespace {

constexpr const char *commandEndpoint = "inproc://peer-commands";

} // namespace

struct PeerNetwork::Impl
{
    PeerNetworkOptions options;
    Executor executor;
    AtomicPeerCounters counters;
    zmq::context_t context;
    zmq::socket_t commands;
    zmq::socket_t commandReceiver;
    PeerSockets sockets;
    std::thread thread;
    uint64_t lastSequence = 0;
    std::map<schema::PeerMessage::BodyCase, Handler> handlers;
    std::function<bool(const schema::PeerMessage &)> filter;
    /// Accessed only on the owner's thread, by posted tasks that may outlive this object.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Impl(PeerNetworkOptions networkOptions, Executor ownerExecutor)
        : options(std::move(networkOptions)), executor(std::move(ownerExecutor)),
          commands(context, zmq::socket_type::push),
          commandReceiver(context, zmq::socket_type::pull),
          sockets(context, options, counters,
                  [this](schema::PeerMessage message) { deliver(std::move(message)); })
    {
        // No limit here: the queues of the peer sockets bound the messages and count dropped ones.
        commands.set(zmq::sockopt::sndhwm, 0);
        commandReceiver.set(zmq::sockopt::rcvhwm, 0);
        commands.set(zmq::sockopt::linger, 0);
        commandReceiver.bind(commandEndpoint);
        commands.connect(commandEndpoint);
    }

    void command(PeerCommand command);
    void deliver(schema::PeerMessage message);
    void handle(const schema::PeerMessage &message);
    void discardCommands();
};

void PeerNetwork::Impl::command(PeerCommand command)
{
    std::unique_ptr<PeerCommand> owned = std::make_unique<PeerCommand>(std::move(command));
    const PeerCommandHandle handle{.command = owned.release()};
    commands.send(zmq::const_buffer(&handle, sizeof(handle)), zmq::send_flags::none);
}

/// Runs on the peer thread.
void PeerNetwork::Impl::deliver(schema::PeerMessage message)
{
    executor([this, stillAlive = alive, message = std::move(message)] {
        if (*stillAlive) {
            handle(message);
        }
    });
}

void PeerNetwork::Impl::handle(const schema::PeerMessage &message)
{
    if (filter != nullptr && !filter(message)) {
        return;
    }
    const auto handler = handlers.find(message.body_case());
    if (handler != handlers.end()) {
        handler->second(message);
    }
}

/// Frees the commands that the thread has not received.
void PeerNetwork::Impl::discardCommands()
{
    zmq::message_t message;
    while (commandReceiver.recv(message, zmq::recv_flags::dontwait).has_value()) {
        const std::unique_ptr<PeerCommand> command(message.data<PeerCommandHandle>()->command);
    }
}

PeerNetwork::PeerNetwork(PeerNetworkOptions options, Executor executor)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(executor)))
{ }

PeerNetwork::~PeerNetwork()
{
    *m_impl->alive = false;
    if (m_impl->thread.joinable()) {
        m_impl->command({.kind = PeerCommand::Kind::Stop});
        m_impl->thread.join();
    }
    m_impl->discardCommands();
}

void PeerNetwork::handle(schema::PeerMessage::BodyCase body, Handler handler)
{
    m_impl->handlers[body] = std::move(handler);
}

void PeerNetwork::setFilter(std::function<bool(const schema::PeerMessage &)> filter)
{
    m_impl->filter = std::move(filter);
}

std::error_code PeerNetwork::start()
{
    const std::error_code error = m_impl->sockets.bind();
    if (error) {
        return error;
    }
    m_impl->thread
            = std::thread([impl = m_impl.get()] { impl->sockets.run(impl->commandReceiver); });
    return {};
}

uint16_t PeerNetwork::port() const
{
    return m_impl->sockets.port();
}

void PeerNetwork::setPeers(std::span<const PeerAddress> peers)
{
    m_impl->command({.kind = PeerCommand::Kind::SetPeers, .peers = {peers.begin(), peers.end()}});
}

void PeerNetwork::send(std::string_view vmId, schema::PeerMessage message)
{
    message.mutable_sender()->set_vm_id(m_impl->options.vmId);
    message.mutable_sender()->set_incarnation(m_impl->options.incarnation);
    message.set_sequence(++m_impl->lastSequence);
    m_impl->command({.vmId = std::string(vmId), .payload = message.SerializeAsString()});
}

PeerCounters PeerNetwork::counters() const
{
    const AtomicPeerCounters &counters = m_impl->counters;
    return {
            .messagesSent = counters.messagesSent,
            .bytesSent = counters.bytesSent,
            .messagesReceived = counters.messagesReceived,
            .bytesReceived = counters.bytesReceived,
            .messagesDropped = counters.messagesDropped,
            .messagesRejected = counters.messagesRejected,
    };
}

} // namespace teaseldrift::fleet
