#include "teaseldrift/http/connection_limiter.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

#include "connection_limiter_impl.hpp"

namespace teaseldrift::http {

namespace {

/// Between two examinations, in milliseconds: what clients send meanwhile is not bounded. With very
/// many connections the interval grows, so that examinations take under 1% of a core.
constexpr uint64_t minIntervalMs = 5;
constexpr uint64_t connectionsPerIntervalMs = 250;

/// An input buffer that is larger than this is freed when its connection has been idle for
/// `idleBufferTime`.
constexpr size_t maxIdleCapacity = 64U << 10U;

/// The next request of a busy connection needs its buffer again within this time.
constexpr Duration idleBufferTime = 1s;

/// Buffers of idle connections that together hold more than this part of the budget of incomplete
/// requests are freed at once.
constexpr size_t idleBudgetPart = 8;

/// Buffers up to this size come from the heap and may have been used before, so all of it counts;
/// of larger ones, which are mapped, only the part that was written takes memory.
constexpr size_t maxHeapCapacity = 128U << 10U;

/// Requests up to this size may exceed the budget of requests that handlers have by a quarter, so
/// that a few large ones do not displace the ordinary ones.
constexpr size_t smallRequestBytes = 64U << 10U;

/// A connection is taken for HTTP/2 if its buffer holds less than this part of what has arrived: in
/// HTTP/1 even chunks of one byte leave a sixth.
constexpr size_t http2InputFraction = 16;

/// Bytes of an HTTP/2 response that settle one byte of frames that belong to no request.
constexpr size_t writtenPerSettledByte = 256;

constexpr Duration acceptFailureTime = 1s;

constexpr std::string_view unavailableResponse
        = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\n"
          "content-length: 0\r\n\r\n";
constexpr std::string_view headTooLargeResponse
        = "HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\n"
          "content-length: 0\r\n\r\n";

constexpr std::string_view bodyTooLargeResponse
        = "HTTP/1.1 413 Payload Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// @return the value of Content-Length; 0 if there is none or it is invalid, which h2o refuses
size_t declaredLength(std::string_view head)
{
    constexpr std::string_view name = "content-length:";
    for (size_t line = head.find('\n'); line != std::string_view::npos;
         line = head.find('\n', line + 1)) {
        const std::string_view text = head.substr(line + 1);
        const bool isLength
                = text.size() > name.size()
                  && std::equal(name.begin(), name.end(), text.begin(), [](char a, char b) {
                         return a == std::tolower(static_cast<unsigned char>(b));
                     });
        if (isLength) {
            const size_t begin = std::min(text.find_first_not_of(" \t", name.size()), text.size());
            size_t length = 0;
            std::from_chars(text.data() + begin, text.data() + text.size(), length);
            return length;
        }
    }
    return 0;
}

/// Memory that the input buffer of a connection takes.
size_t heldBytes(LimitedSocket &socket)
{
    const h2o_buffer_t &input = *socket.socket->input;
    if (input.bytes == nullptr) {
        socket.buffer = nullptr;
        return 0;
    }
    if (std::exchange(socket.buffer, &input) != &input) {
        socket.writtenBytes = 0;
    }
    const size_t end = static_cast<size_t>(input.bytes - input._buf) + input.size;
    socket.writtenBytes = std::min(std::max(socket.writtenBytes, end), input.capacity);
    return input.capacity <= maxHeapCapacity ? input.capacity : socket.writtenBytes;
}

bool isTls(const h2o_socket_t &socket)
{
    return socket.ssl != nullptr;
}

} // namespace

std::string_view toString(LimitReason reason)
{
    constexpr std::array<std::string_view, limitReasonCount> names{
            "incomplete_bytes", "head_bytes", "declared_length", "connections", "handled_bytes"};
    return names.at(static_cast<size_t>(reason));
}

ConnectionLimiter::ConnectionLimiter(EventLoop &loop, ConnectionLimits limits,
                                     std::function<void(const LimitedConnection &)> onLimited)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->loop = &loop;
    m_impl->limits = limits;
    m_impl->onLimited = std::move(onLimited);
    loop.impl().afterTurn = [impl = m_impl.get()] { impl->afterTurn(); };
}

ConnectionLimiter::~ConnectionLimiter()
{
    m_impl->loop->impl().afterTurn = nullptr;
    for (const std::shared_ptr<LimitedSocket> &socket : m_impl->sockets) {
        socket->socket->on_close.cb = nullptr;
        socket->limiter = nullptr;
        delete static_cast<std::shared_ptr<LimitedSocket> *>(socket->socket->on_close.data);
    }
}

ConnectionTotals ConnectionLimiter::totals() const
{
    ConnectionTotals totals = m_impl->totals;
    for (const std::shared_ptr<LimitedSocket> &socket : m_impl->sockets) {
        ++totals.connectionsByState.at(static_cast<size_t>(socket->state));
    }
    return totals;
}

bool ConnectionLimiter::failsToAccept() const
{
    return m_impl->totals.failedAccepts > 0
           && EventLoop::now() - m_impl->acceptFailedAt < acceptFailureTime;
}

int ConnectionLimiter::Impl::receiveBufferBytes() const
{
    constexpr size_t connectionsPerBudget = 256;
    constexpr size_t least = 32U << 10U;
    constexpr size_t most = 256U << 10U;
    return static_cast<int>(std::clamp(limits.incompleteBytes / connectionsPerBudget, least, most));
}

void ConnectionLimiter::Impl::countFailedAccept(int error)
{
    if (error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM) {
        ++totals.failedAccepts;
        acceptFailedAt = EventLoop::now();
    }
}

void ConnectionLimiter::Impl::add(h2o_socket_t *socket, ConnectionGroup &group)
{
    const std::shared_ptr<LimitedSocket> added = std::make_shared<LimitedSocket>();
    added->limiter = this;
    added->socket = socket;
    added->group = &group;
    added->position = sockets.size();
    added->number = ++lastNumber;
    added->acceptedAt = EventLoop::now();
    added->stateSince = added->acceptedAt;
    sockaddr_storage peer{};
    if (h2o_socket_getpeername(socket, reinterpret_cast<sockaddr *>(&peer)) > 0
        && peer.ss_family == AF_INET) {
        added->address = reinterpret_cast<const sockaddr_in *>(&peer)->sin_addr.s_addr;
    }
    sockets.push_back(added);
    ++group.count;
    hasExcess = hasExcess || (group.maxConnections > 0 && group.count > group.maxConnections);
    socket->on_close.data = new std::shared_ptr<LimitedSocket>(added);
    socket->on_close.cb = [](void *data) {
        const std::unique_ptr<std::shared_ptr<LimitedSocket>> holder(
                static_cast<std::shared_ptr<LimitedSocket> *>(data));
        LimitedSocket &closed = **holder;
        closed.socket = nullptr;
        --closed.group->count;
        std::vector<std::shared_ptr<LimitedSocket>> &all = closed.limiter->sockets;
        all.back()->position = closed.position;
        std::swap(all[closed.position], all.back());
        all.pop_back();
    };
}

std::unique_ptr<HandledRequest> ConnectionLimiter::Impl::admit(h2o_req_t *request)
{
    constexpr int http2 = 0x200;
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    const std::shared_ptr<LimitedSocket> &limited
            = *static_cast<std::shared_ptr<LimitedSocket> *>(socket->on_close.data);
    if (limited->isClosing) {
        return nullptr;
    }
    limited->hadRequest = true;
    const size_t copies = limited->group->bodyCopies;
    size_t bytes = request->entity.len * (copies + 1);
    if (request->version >= http2) {
        limited->isHttp2 = true;
        // The frames of this request are a little larger than its body.
        constexpr size_t frameBytes = 512;
        limited->settledBytes = std::min(socket->bytes_read,
                                         limited->settledBytes + frameBytes + request->entity.len);
    } else {
        // The body is a part of the input buffer, which may also hold requests after this one.
        bytes = std::max(socket->input->size, heldBytes(*limited)) + request->entity.len * copies;
        limited->isHeadExamined = false;
        limited->searchedBytes = 0;
    }
    const size_t allowed = bytes <= smallRequestBytes
                                   ? limits.handledBytes + limits.handledBytes / 4
                                   : limits.handledBytes;
    if (totals.handledBytes + bytes > allowed) {
        report(*limited, LimitReason::HandledBytes, bytes);
        return nullptr;
    }
    return std::make_unique<HandledRequest>(limited, bytes);
}

void ConnectionLimiter::Impl::afterTurn()
{
    const uint64_t nowMs = h2o_now(loop->impl().loop);
    const uint64_t intervalMs
            = std::max<uint64_t>(minIntervalMs, sockets.size() / connectionsPerIntervalMs);
    if (!hasExcess && nowMs - examinedAtMs < intervalMs) {
        return;
    }
    examinedAtMs = nowMs;
    examine();
}

void ConnectionLimiter::Impl::update(LimitedSocket &socket, Instant now, ConnectionLoad &load)
{
    h2o_buffer_t &input = *socket.socket->input;
    ConnectionState state = socket.hadRequest ? ConnectionState::Idle : ConnectionState::New;
    size_t bytes = 0;
    if (socket.handled > socket.responded) {
        state = ConnectionState::Handled;
    } else if (socket.responded > 0) {
        state = ConnectionState::Writing;
    } else if (input.size > 0) {
        state = ConnectionState::Incomplete;
    }
    const size_t received = socket.socket->bytes_read;
    const bool looksLikeHttp2 = !socket.hadRequest && received > limits.headBytes
                                && input.size < received / http2InputFraction;
    if (socket.isHttp2 || looksLikeHttp2) {
        const size_t written = socket.socket->bytes_written;
        const size_t settled = (written - socket.settledWritten) / writtenPerSettledByte;
        socket.settledWritten += settled * writtenPerSettledByte;
        socket.settledBytes = std::min(received, socket.settledBytes + settled);
        bytes = received - socket.settledBytes + heldBytes(socket);
        if (state <= ConnectionState::Idle && bytes > maxIdleCapacity) {
            state = ConnectionState::Incomplete;
        }
    } else if (state == ConnectionState::Incomplete) {
        bytes = heldBytes(socket);
    } else if (input.size == 0 && input.bytes != nullptr && input.capacity > maxIdleCapacity
               && state == ConnectionState::Idle) {
        idleBytes += input.capacity;
        const bool isUnused = socket.state == state && now - socket.stateSince >= idleBufferTime;
        if (isUnused || idleBytes > limits.incompleteBytes / idleBudgetPart) {
            idleBytes -= input.capacity;
            h2o_buffer_dispose(&socket.socket->input);
            h2o_buffer_init(&socket.socket->input, &h2o_socket_buffer_prototype);
        }
    }
    if (state != socket.state) {
        socket.state = state;
        socket.stateSince = now;
    }
    load = {.state = state,
            .bytes = socket.isClosing ? 0 : bytes,
            .number = socket.number,
            .address = socket.address,
            .since = socket.stateSince};
}

void ConnectionLimiter::Impl::examine()
{
    const Instant now = EventLoop::now();
    loads.resize(sockets.size());
    size_t incompleteBytes = 0;
    idleBytes = 0;
    for (size_t i = 0; i < sockets.size(); ++i) {
        LimitedSocket &socket = *sockets[i];
        update(socket, now, loads[i]);
        if (loads[i].state == ConnectionState::Incomplete && !socket.isHttp2 && !socket.isClosing
            && !socket.isHeadExamined) {
            examineHead(socket, loads[i]);
        }
        incompleteBytes += loads[i].bytes;
    }
    totals.incompleteBytes = incompleteBytes;
    if (incompleteBytes > limits.incompleteBytes) {
        for (const size_t chosen : chooseOverBudget(loads, limits.incompleteBytes)) {
            close(*sockets[chosen], LimitReason::IncompleteBytes, loads[chosen].bytes);
            totals.incompleteBytes -= loads[chosen].bytes;
        }
    }
    if (std::exchange(hasExcess, false)) {
        displace();
    }
}

/// Refuses a head that is too long, or whose declared length can never fit.
void ConnectionLimiter::Impl::examineHead(LimitedSocket &socket, ConnectionLoad &load)
{
    const h2o_buffer_t &input = *socket.socket->input;
    const std::string_view bytes(input.bytes, std::min(input.size, limits.headBytes));
    if (bytes.size() == socket.searchedBytes && input.size <= limits.headBytes) {
        return;
    }
    // The end may begin in what was searched before.
    constexpr size_t endBytes = 4;
    const size_t from = socket.searchedBytes < bytes.size()
                                ? socket.searchedBytes - std::min(socket.searchedBytes, endBytes)
                                : 0;
    socket.searchedBytes = bytes.size();
    const size_t headEnd = std::min(bytes.find("\r\n\r\n", from), bytes.find("\n\n", from));
    std::optional<LimitReason> reason;
    if (headEnd != std::string_view::npos) {
        socket.isHeadExamined = true;
        const size_t length = declaredLength(bytes.substr(0, headEnd + 2));
        const size_t handledLimit = limits.handledBytes / (socket.group->bodyCopies + 1);
        if (length > std::min(limits.incompleteBytes, handledLimit)) {
            reason = LimitReason::DeclaredLength;
        }
    } else if (input.size > limits.headBytes) {
        reason = LimitReason::HeadBytes;
    }
    if (reason) {
        close(socket, *reason, load.bytes);
        load.bytes = 0;
    }
}

/// Closes connections of the servers that have more than their limit.
void ConnectionLimiter::Impl::displace()
{
    std::vector<ConnectionGroup *> overLimit;
    for (const std::shared_ptr<LimitedSocket> &socket : sockets) {
        ConnectionGroup *group = socket->group;
        if (group->maxConnections > 0 && group->count > group->maxConnections
            && std::find(overLimit.begin(), overLimit.end(), group) == overLimit.end()) {
            overLimit.push_back(group);
        }
    }
    for (const ConnectionGroup *group : overLimit) {
        std::vector<size_t> positions;
        std::vector<ConnectionLoad> groupLoads;
        for (size_t i = 0; i < sockets.size(); ++i) {
            if (sockets[i]->group == group && !sockets[i]->isClosing) {
                positions.push_back(i);
                groupLoads.push_back(loads[i]);
            }
        }
        const std::vector<size_t> chosen
                = chooseDisplaced(groupLoads, {.connections = group->maxConnections,
                                               .addressShare = limits.addressShare,
                                               .now = EventLoop::now()});
        for (const size_t position : chosen) {
            LimitedSocket &socket = *sockets[positions[position]];
            close(socket, LimitReason::Connections, groupLoads[position].bytes);
        }
    }
}

/// h2o detects the end of the connection in the next turn and frees it.
void ConnectionLimiter::Impl::close(LimitedSocket &socket, LimitReason reason, size_t bytes)
{
    if (socket.isClosing) {
        return;
    }
    socket.isClosing = true;
    const int descriptor = h2o_socket_get_fd(socket.socket);
    const bool canRespond = socket.state == ConnectionState::Incomplete && !socket.isHttp2
                            && !isTls(*socket.socket);
    if (canRespond) {
        const std::string_view response = reason == LimitReason::HeadBytes ? headTooLargeResponse
                                          : reason == LimitReason::DeclaredLength
                                                  ? bodyTooLargeResponse
                                                  : unavailableResponse;
        // Sent only if it fits the socket's send buffer.
        [[maybe_unused]] const ssize_t sent
                = ::send(descriptor, response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    ::shutdown(descriptor, SHUT_RDWR);
    report(socket, reason, bytes);
}

void ConnectionLimiter::Impl::report(const LimitedSocket &socket, LimitReason reason, size_t bytes)
{
    ++totals.limited.at(static_cast<size_t>(reason));
    if (!onLimited) {
        return;
    }
    std::array<char, INET_ADDRSTRLEN> address{};
    inet_ntop(AF_INET, &socket.address, address.data(), address.size());
    onLimited({.reason = reason,
               .server = socket.group->name,
               .address = address.data(),
               .bytes = bytes,
               .age = EventLoop::now() - socket.acceptedAt});
}

HandledRequest::HandledRequest(std::shared_ptr<LimitedSocket> socket, size_t bytes)
    : m_socket(std::move(socket)), m_bytes(bytes)
{
    ++m_socket->handled;
    m_socket->limiter->totals.handledBytes += m_bytes;
}

HandledRequest::~HandledRequest()
{
    --m_socket->handled;
    if (m_isResponded) {
        --m_socket->responded;
    }
    if (m_socket->limiter != nullptr) {
        m_socket->limiter->totals.handledBytes -= m_bytes;
    }
}

void HandledRequest::setResponded()
{
    if (!m_isResponded) {
        m_isResponded = true;
        ++m_socket->responded;
    }
}

} // namespace teaseldrift::http
