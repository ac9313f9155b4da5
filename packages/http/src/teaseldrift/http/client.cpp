#include "teaseldrift/http/client.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include "connect_timeout.hpp"
#include "connection.hpp"
#include "event_loop_impl.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::http {

namespace {

/// Interval between checks for expired idle connections.
constexpr Duration idleCheckInterval = 250ms;

/// Fraction of the announced idle time after which a connection is no longer used, because the
/// target may have started counting earlier.
constexpr double announcedIdleFraction = 0.6;

std::string serialize(const Endpoint &endpoint, const Request &request)
{
    std::string wire;
    constexpr size_t headEstimate = 1024;
    wire.reserve(headEstimate + request.body.size());
    wire += request.method;
    wire += ' ';
    wire += request.path;
    wire += " HTTP/1.1\r\nhost: ";
    wire += request.authority.empty() ? toString(endpoint) : request.authority;
    wire += "\r\n";
    for (const Header &header : request.headers) {
        wire += header.name;
        wire += ": ";
        wire += header.value;
        wire += "\r\n";
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        wire += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    }
    wire += "\r\n";
    wire += request.body;
    return wire;
}

bool isValid(const Request &request)
{
    return isToken(request.method) && isRequestTarget(request.path)
           && (request.authority.empty() || isRequestTarget(request.authority))
           && areHeadersValid(request.headers);
}

/// Length of a body that its head announces; 0 if it does not.
size_t announcedLength(const ResponseHead &head)
{
    const std::string_view text = findHeader(head.headers, "content-length");
    size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

/// Unlike h2o_socket_connect(), can bind the socket first, and leaves reading to the connection:
/// h2o reads until the kernel has no more bytes, which may be never.
/// @param source empty for the address that the kernel selects
h2o_socket_t *startConnecting(const std::string &source, h2o_loop_t *loop,
                              const sockaddr_in &address, h2o_socket_cb onEnd)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bool isBound = true;
    if (!source.empty()) {
        // The port is selected by connect(), so that one port serves several peers.
        ::setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
        const sockaddr_in local = toSocketAddress({.address = source, .port = 0});
        isBound = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local))
                  == 0;
    }
    const bool isUnderWay = isBound
                            && (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address),
                                          sizeof(address))
                                        == 0
                                || errno == EINPROGRESS);
    if (!isUnderWay) {
        ::close(descriptor);
        return nullptr;
    }
    h2o_socket_t *socket = h2o_evloop_socket_create(
            loop, descriptor, H2O_SOCKET_FLAG_IS_CONNECTING | H2O_SOCKET_FLAG_DONT_READ);
    h2o_socket_notify_write(socket, onEnd);
    return socket;
}

} // namespace

struct Client::Impl : std::enable_shared_from_this<Client::Impl>
{
    struct IdleConnection
    {
        std::shared_ptr<Connection> connection;
        Instant expiresAt;
    };

    Impl(EventLoop &eventLoop, const ClientOptions &clientOptions)
        : loop(&eventLoop), options(clientOptions),
          connectTimeout(options.connectTimeout, options.maxConnectTimeout)
    { }

    EventLoop *loop;
    ClientOptions options;
    ConnectTimeout connectTimeout;
    std::map<Endpoint, std::vector<IdleConnection>> idle;
    EventLoop::TimerId idleTimer = 0;

    std::shared_ptr<Connection> takeIdle(const Endpoint &endpoint);
    void addIdle(const Endpoint &endpoint, const std::shared_ptr<Connection> &connection);
    void remove(const Endpoint &endpoint, const Connection *connection);
    void closeExpired();
};

struct Call::Impl
{
    EventLoop *loop = nullptr;
    std::weak_ptr<Client::Impl> client;
    Endpoint endpoint;
    std::string wire;
    bool isHead = false;
    /// The connection is only established.
    bool sendsNothing = false;
    size_t maxResponseBytes = 0;
    size_t responseBytes = 0;
    /// Shared with the handler that is running, which may destroy this call.
    std::shared_ptr<const CallHandlers> handlers;
    ClientOptions options;
    h2o_socket_t *connecting = nullptr;
    std::shared_ptr<Connection> connection;
    EventLoop::TimerId timer = 0;
    Instant connectingSince;
    Instant lastByteAt;
    bool sent = false;
    bool refused = false;
    bool invalid = false;
    bool givenUp = false;
    bool tooLarge = false;
    bool ended = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void connect();
    void onConnected(const char *error);
    void send();
    void startIoTimer();
    void receiveHead(const ResponseHead &head);
    void receive(std::string_view data);
    void giveUpTooLarge();
    void postEnd(CallOutcome outcome);
    void end(CallOutcome outcome);
    void cancel();
    ConnectionHandlers connectionHandlers();
};

std::shared_ptr<Connection> Client::Impl::takeIdle(const Endpoint &endpoint)
{
    const auto found = idle.find(endpoint);
    if (found == idle.end()) {
        return nullptr;
    }
    const Instant now = EventLoop::now();
    while (!found->second.empty()) {
        const IdleConnection last = found->second.back();
        found->second.pop_back();
        if (now < last.expiresAt) {
            return last.connection;
        }
        last.connection->close();
    }
    return nullptr;
}

void Client::Impl::addIdle(const Endpoint &endpoint, const std::shared_ptr<Connection> &connection)
{
    std::vector<IdleConnection> &kept = idle[endpoint];
    Duration time = options.keepAlive;
    if (const std::optional<Duration> announced = connection->announcedIdleTime()) {
        time = std::min(time,
                        Duration(static_cast<Duration::rep>(static_cast<double>(announced->count())
                                                            * announcedIdleFraction)));
    }
    if (kept.size() >= options.maxIdle || time <= Duration(0)) {
        connection->close();
        return;
    }
    const std::weak_ptr<Impl> weak = weak_from_this();
    connection->idle([weak, endpoint, raw = connection.get()] {
        if (const std::shared_ptr<Impl> self = weak.lock()) {
            self->remove(endpoint, raw);
        }
    });
    kept.push_back({.connection = connection, .expiresAt = EventLoop::now() + time});
    if (idleTimer == 0) {
        idleTimer = loop->startTimer(idleCheckInterval, [this] { closeExpired(); });
    }
}

void Client::Impl::remove(const Endpoint &endpoint, const Connection *connection)
{
    const auto found = idle.find(endpoint);
    if (found != idle.end()) {
        std::erase_if(found->second, [connection](const IdleConnection &candidate) {
            return candidate.connection.get() == connection;
        });
    }
}

void Client::Impl::closeExpired()
{
    idleTimer = 0;
    const Instant now = EventLoop::now();
    for (auto it = idle.begin(); it != idle.end();) {
        std::erase_if(it->second, [now](const IdleConnection &candidate) {
            return now >= candidate.expiresAt;
        });
        it = it->second.empty() ? idle.erase(it) : std::next(it);
    }
    if (!idle.empty()) {
        idleTimer = loop->startTimer(idleCheckInterval, [this] { closeExpired(); });
    }
}

ConnectionHandlers Call::Impl::connectionHandlers()
{
    return {.matchesRequest = handlers->matchesRequest,
            .onHead = [this](const ResponseHead &head) { receiveHead(head); },
            .onData = [this](std::string_view data) { receive(data); },
            .onEnd =
                    [this](ConnectionOutcome end) {
                        const std::shared_ptr<Connection> used = std::move(connection);
                        const std::shared_ptr<Client::Impl> pool = client.lock();
                        givenUp = used->wasGivenUp();
                        if (end == ConnectionOutcome::Reusable && pool) {
                            pool->addIdle(endpoint, used);
                        }
                        this->end(end == ConnectionOutcome::Broken ? CallOutcome::Broken
                                                                   : CallOutcome::Complete);
                    }};
}

void Call::Impl::receiveHead(const ResponseHead &head)
{
    lastByteAt = EventLoop::now();
    if (maxResponseBytes > 0 && !isHead && announcedLength(head) > maxResponseBytes) {
        giveUpTooLarge();
        return;
    }
    const std::shared_ptr<const CallHandlers> shared = handlers;
    shared->onHead(head);
}

void Call::Impl::giveUpTooLarge()
{
    tooLarge = true;
    std::exchange(connection, nullptr)->close();
    postEnd(CallOutcome::Broken);
}

void Call::Impl::receive(std::string_view data)
{
    lastByteAt = EventLoop::now();
    responseBytes += data.size();
    if (maxResponseBytes > 0 && responseBytes > maxResponseBytes) {
        giveUpTooLarge();
        return;
    }
    const std::shared_ptr<const CallHandlers> shared = handlers;
    shared->onData(data);
}

void Call::Impl::connect()
{
    const sockaddr_in address = toSocketAddress(endpoint);
    const h2o_socket_cb onEnd = [](h2o_socket_t *socket, const char *error) {
        static_cast<Call::Impl *>(socket->data)->onConnected(error);
    };
    connecting = startConnecting(options.sourceAddress, loop->impl().loop, address, onEnd);
    if (connecting == nullptr) {
        postEnd(CallOutcome::NotSent);
        return;
    }
    connecting->data = this;
    connectingSince = EventLoop::now();
    const std::shared_ptr<Client::Impl> pool = client.lock();
    const Duration timeout = pool ? pool->connectTimeout.value() : options.connectTimeout;
    timer = loop->startTimer(timeout, [this] {
        timer = 0;
        h2o_socket_close(std::exchange(connecting, nullptr));
        if (const std::shared_ptr<Client::Impl> owner = client.lock()) {
            owner->connectTimeout.failed(connectingSince, EventLoop::now());
        }
        end(CallOutcome::NotSent);
    });
}

void Call::Impl::onConnected(const char *error)
{
    loop->cancelTimer(timer);
    timer = 0;
    h2o_socket_t *socket = std::exchange(connecting, nullptr);
    const std::shared_ptr<Client::Impl> pool = client.lock();
    if (pool) {
        // The host has responded, also if it refuses the connection.
        pool->connectTimeout.succeeded(EventLoop::now() - connectingSince);
    }
    if (error != nullptr) {
        h2o_socket_close(socket);
        // A host that does not respond is noticed by the timer instead.
        refused = true;
        end(CallOutcome::NotSent);
        return;
    }
    if (options.ackTimeout > Duration(0)) {
        setAckTimeout(h2o_socket_get_fd(socket), options.ackTimeout, options.probes.idle);
    }
    connection = std::make_shared<Connection>(socket, loop->impl().readBuffer, options.buffers);
    if (!sendsNothing) {
        send();
        return;
    }
    if (pool) {
        pool->addIdle(endpoint, std::exchange(connection, nullptr));
    }
    end(CallOutcome::Complete);
}

void Call::Impl::send()
{
    sent = true;
    lastByteAt = EventLoop::now();
    if (handlers->onSent) {
        handlers->onSent();
    }
    if (options.ackTimeout > Duration(0)) {
        connection->setProbeInterval(options.probes.interval);
    }
    connection->exchange(std::move(wire), isHead, connectionHandlers());
    startIoTimer();
}

void Call::Impl::startIoTimer()
{
    if (options.ioTimeout <= Duration(0)) {
        return;
    }
    const Instant due = lastByteAt + options.ioTimeout;
    timer = loop->startTimer(due - EventLoop::now(), [this] {
        timer = 0;
        if (EventLoop::now() < lastByteAt + options.ioTimeout) {
            startIoTimer();
            return;
        }
        std::exchange(connection, nullptr)->close();
        end(CallOutcome::Broken);
    });
}

void Call::Impl::postEnd(CallOutcome outcome)
{
    loop->post([stillAlive = alive, this, outcome] {
        if (*stillAlive) {
            end(outcome);
        }
    });
}

void Call::Impl::end(CallOutcome outcome)
{
    if (ended) {
        return;
    }
    ended = true;
    loop->cancelTimer(timer);
    const std::shared_ptr<const CallHandlers> shared = handlers;
    shared->onEnd(outcome);
}

void Call::Impl::cancel()
{
    *alive = false;
    ended = true;
    loop->cancelTimer(timer);
    if (connecting != nullptr) {
        h2o_socket_close(std::exchange(connecting, nullptr));
    }
    if (connection != nullptr) {
        std::exchange(connection, nullptr)->close();
    }
}

Call::Call(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) { }

Call::~Call()
{
    m_impl->cancel();
}

void Call::pause()
{
    if (m_impl->connection != nullptr) {
        m_impl->connection->pause();
    }
}

void Call::resume()
{
    if (m_impl->connection != nullptr) {
        m_impl->connection->resume();
    }
}

void Call::expectData()
{
    if (m_impl->connection != nullptr && m_impl->options.ackTimeout > Duration(0)) {
        m_impl->connection->setProbeInterval(m_impl->options.probes.receivingInterval);
    }
}

bool Call::maybeSent() const
{
    return m_impl->sent;
}

bool Call::wasRefused() const
{
    return m_impl->refused;
}

bool Call::wasInvalid() const
{
    return m_impl->invalid;
}

bool Call::wasGivenUp() const
{
    return m_impl->givenUp;
}

bool Call::wasTooLarge() const
{
    return m_impl->tooLarge;
}

std::optional<bool> Call::isUnacknowledgedFor(Duration time) const
{
    return m_impl->connection == nullptr ? std::nullopt
                                         : m_impl->connection->isUnacknowledgedFor(time);
}

Client::Client(EventLoop &loop, ClientOptions options)
    : m_impl(std::make_shared<Impl>(loop, options))
{ }

Client::~Client()
{
    m_impl->loop->cancelTimer(m_impl->idleTimer);
}

std::unique_ptr<Call> Client::start(const Endpoint &endpoint, Request request, ConnectionUse use,
                                    CallHandlers handlers)
{
    std::unique_ptr<Call::Impl> impl = std::make_unique<Call::Impl>();
    Call::Impl *call = impl.get();
    call->loop = m_impl->loop;
    call->client = m_impl;
    call->endpoint = endpoint;
    call->handlers = std::make_shared<const CallHandlers>(std::move(handlers));
    call->options = m_impl->options;
    call->isHead = request.method == "HEAD";
    call->maxResponseBytes = request.maxResponseBytes;
    call->invalid = !isValid(request);
    std::unique_ptr<Call> result = std::make_unique<Call>(std::move(impl));
    if (call->invalid) {
        call->postEnd(CallOutcome::NotSent);
        return result;
    }
    call->wire = serialize(endpoint, request);
    if (use == ConnectionUse::Pooled) {
        call->connection = m_impl->takeIdle(endpoint);
    }
    if (call->connection != nullptr) {
        call->send();
    } else {
        call->connect();
    }
    return result;
}

std::unique_ptr<Call> Client::connect(const Endpoint &endpoint,
                                      std::function<void(CallOutcome)> onEnd)
{
    std::unique_ptr<Call::Impl> impl = std::make_unique<Call::Impl>();
    Call::Impl *call = impl.get();
    call->loop = m_impl->loop;
    call->client = m_impl;
    call->endpoint = endpoint;
    call->handlers = std::make_shared<const CallHandlers>(CallHandlers{.onEnd = std::move(onEnd)});
    call->options = m_impl->options;
    call->sendsNothing = true;
    std::unique_ptr<Call> result = std::make_unique<Call>(std::move(impl));
    call->connect();
    return result;
}

Duration Client::connectDelay() const
{
    return m_impl->connectTimeout.value() - m_impl->options.connectTimeout;
}

BufferBudget *Client::buffers() const
{
    return m_impl->options.buffers;
}

void Client::closeIdleConnections(const Endpoint &endpoint)
{
    m_impl->idle.erase(endpoint);
}

} // namespace teaseldrift::http
