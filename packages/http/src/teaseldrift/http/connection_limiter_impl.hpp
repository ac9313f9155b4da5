#pragma once

#include <memory>
#include <vector>

#include "event_loop_impl.hpp"
#include "teaseldrift/http/connection_limiter.hpp"

namespace teaseldrift::http {

/// A server's connections.
struct ConnectionGroup
{
    std::string_view name;
    /// 0 for no limit.
    size_t maxConnections = 0;
    /// Copies that handlers make of a body.
    size_t bodyCopies = 0;
    size_t count = 0;
};

/// A connection from its acceptance until h2o closes its socket.
struct LimitedSocket
{
    ConnectionLimiter::Impl *limiter = nullptr;
    /// Null once the socket is closed.
    h2o_socket_t *socket = nullptr;
    ConnectionGroup *group = nullptr;
    size_t position = 0;
    uint64_t number = 0;
    uint32_t address = 0;
    Instant acceptedAt{};
    ConnectionState state = ConnectionState::New;
    Instant stateSince{};
    /// Requests that handlers have; several with HTTP/2 only.
    size_t handled = 0;
    /// Those of them whose response is complete.
    size_t responded = 0;
    bool hadRequest = false;
    bool isHttp2 = false;
    /// The head of the request that is being received has been examined.
    bool isHeadExamined = false;
    /// Shut down by the limiter. h2o may still read what the kernel had received.
    bool isClosing = false;
    /// Bytes of an unfinished head that were searched for its end.
    size_t searchedBytes = 0;
    /// Largest part of `buffer` that was written so far. h2o keeps the memory of what it has
    /// consumed until the whole buffer is.
    size_t writtenBytes = 0;
    const h2o_buffer_t *buffer = nullptr;
    /// With HTTP/2: bytes received that need not be counted any more.
    size_t settledBytes = 0;
    size_t settledWritten = 0;
};

/// A request that a handler has; counts toward the budget until it is destroyed.
class HandledRequest
{
public:
    HandledRequest(std::shared_ptr<LimitedSocket> socket, size_t bytes);
    ~HandledRequest();
    HandledRequest(const HandledRequest &) = delete;
    HandledRequest &operator=(const HandledRequest &) = delete;

    /// The handler has given the whole response.
    void setResponded();

private:
    std::shared_ptr<LimitedSocket> m_socket;
    size_t m_bytes;
    bool m_isResponded = false;
};

struct ConnectionLimiter::Impl
{
    EventLoop *loop = nullptr;
    ConnectionLimits limits;
    std::function<void(const LimitedConnection &)> onLimited;
    std::vector<std::shared_ptr<LimitedSocket>> sockets;
    std::vector<ConnectionLoad> loads;
    ConnectionTotals totals;
    uint64_t lastNumber = 0;
    uint64_t examinedAtMs = 0;
    /// Servers may have more connections than their limit.
    bool hasExcess = false;
    /// Buffers of idle connections, in the current examination.
    size_t idleBytes = 0;
    Instant acceptFailedAt{};

    /// Registers an accepted connection until h2o closes it.
    void add(h2o_socket_t *socket, ConnectionGroup &group);
    /// Counts a connection that could not be accepted; `error` is errno.
    void countFailedAccept(int error);
    /// @return null if the request does not fit or its connection is being closed; it must then be
    /// refused
    std::unique_ptr<HandledRequest> admit(h2o_req_t *request);

    void afterTurn();
    void examine();
    void examineHead(LimitedSocket &socket, ConnectionLoad &load);
    void displace();
    /// Bytes from which the kernel makes the receive buffer of a connection: bounds what one
    /// iteration of the event loop can read from it.
    [[nodiscard]] int receiveBufferBytes() const;
    void update(LimitedSocket &socket, Instant now, ConnectionLoad &load);
    void close(LimitedSocket &socket, LimitReason reason, size_t bytes);
    void report(const LimitedSocket &socket, LimitReason reason, size_t bytes);
};

} // namespace teaseldrift::http
