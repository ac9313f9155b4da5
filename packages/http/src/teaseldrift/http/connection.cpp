#include "connection.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstddef>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "teaseldrift/base/release_memory.hpp"

namespace teaseldrift::http {

namespace {

/// More interim responses to one request are an error.
constexpr int maxInterimResponses = 32;

/// Parses `timeout=SECONDS` in a Keep-Alive header.
std::optional<Duration> readIdleTime(std::string_view text)
{
    constexpr std::string_view name = "timeout=";
    const size_t begin = text.find(name);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(begin + name.size());
    int64_t seconds = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    constexpr int64_t maxSeconds = 86400;
    return Duration(std::chrono::seconds(std::clamp<int64_t>(seconds, 0, maxSeconds)));
}

} // namespace

Connection::Connection(h2o_socket_t *socket, std::span<char> readBuffer, BufferBudget *buffers)
    : m_socket(socket), m_readBuffer(readBuffer), m_account(buffers, [this] {
          const std::shared_ptr<Connection> self = shared_from_this();
          releaseMemory(m_unparsed);
          m_wasGivenUp = true;
          finish(ConnectionOutcome::Broken);
      })
{
    m_socket->data = this;
}

Connection::~Connection()
{
    close();
}

Connection &Connection::of(h2o_socket_t *socket)
{
    return *static_cast<Connection *>(socket->data);
}

void Connection::exchange(std::string request, bool isHead, ConnectionHandlers handlers)
{
    m_request = std::move(request);
    m_isHead = isHead;
    m_handlers = std::move(handlers);
    m_onUnusable = nullptr;
    m_isBusy = true;
    m_isWriting = true;
    m_interimResponses = 0;
    beginResponse();
    h2o_iovec_t buffer = toIovec(m_request);
    startReading();
    h2o_socket_write(m_socket, &buffer, 1, [](h2o_socket_t *socket, const char *error) {
        const std::shared_ptr<Connection> self = of(socket).shared_from_this();
        self->onWritten(error);
    });
}

void Connection::onWritten(const char *error)
{
    m_isWriting = false;
    if (error == nullptr || !m_isBusy) {
        return;
    }
    // A complete response may have arrived before the connection failed.
    m_hasWriteFailed = true;
    while (m_isBusy && h2o_socket_is_reading(m_socket) != 0) {
        read();
    }
}

void Connection::beginResponse()
{
    m_isSkipping = false;
    m_parser.emplace(
            m_isHead,
            ResponseParser::Handlers{.onHead =
                                             [this](const ResponseHead &head) {
                                                 m_idleTime = readIdleTime(
                                                         findHeader(head.headers, "keep-alive"));
                                                 m_isSkipping = m_handlers.matchesRequest
                                                                && !m_handlers.matchesRequest(head);
                                                 if (!m_isSkipping && m_isBusy) {
                                                     m_handlers.onHead(head);
                                                 }
                                             },
                                     .onData =
                                             [this](std::string_view data) {
                                                 if (!m_isSkipping && m_isBusy) {
                                                     m_handlers.onData(data);
                                                 }
                                             }});
}

void Connection::onReadable()
{
    if (m_isBusy) {
        read();
        return;
    }
    const std::function<void()> callback = std::exchange(m_onUnusable, nullptr);
    close();
    if (callback) {
        callback();
    }
}

void Connection::read()
{
    const ssize_t size
            = ::recv(h2o_socket_get_fd(m_socket), m_readBuffer.data(), m_readBuffer.size(), 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR) && !m_hasWriteFailed) {
        return;
    }
    if (size < 0) {
        finish(ConnectionOutcome::Broken);
        return;
    }
    if (size == 0) {
        handleClosed();
        return;
    }
    m_mayHaveUnread = static_cast<size_t>(size) == m_readBuffer.size();
    std::string joined = std::exchange(m_unparsed, {});
    std::string_view input(m_readBuffer.data(), static_cast<size_t>(size));
    if (!joined.empty()) {
        joined.append(input);
        input = joined;
    }
    m_unparsed = parse(input);
    // A chunk's size or an interim head, for example, that does not end.
    if (m_isBusy && m_unparsed.size() > ResponseParser::maxHeadBytes) {
        finish(ConnectionOutcome::Broken);
    }
    m_account.set(m_unparsed.size());
}

std::string_view Connection::parse(std::string_view input)
{
    while (!input.empty()) {
        boost::beast::error_code failure;
        const size_t used
                = m_parser->put(boost::asio::const_buffer(input.data(), input.size()), failure);
        if (!m_isBusy) {
            return {};
        }
        input.remove_prefix(used);
        if (failure == boost::beast::http::error::need_more) {
            break;
        }
        if (failure) {
            finish(ConnectionOutcome::Broken);
            return {};
        }
        if (!m_parser->is_done()) {
            if (used == 0) {
                break;
            }
            continue;
        }
        if (m_parser->isInterim() && ++m_interimResponses > maxInterimResponses) {
            finish(ConnectionOutcome::Broken);
            return {};
        }
        if (m_isSkipping || m_parser->isInterim()) {
            beginResponse();
            continue;
        }
        // Bytes after the response belong to no request, so the connection is not reused.
        const bool isClean
                = input.empty() && !m_isWriting && !m_hasWriteFailed && !hasUnreadBytes();
        finish(isClean && !m_parser->mustClose() ? ConnectionOutcome::Reusable
                                                 : ConnectionOutcome::Closing);
        return {};
    }
    return input;
}

void Connection::handleClosed()
{
    boost::beast::error_code failure;
    // A response without a length is complete when its connection is closed, but not if it is
    // reset.
    if (m_parser->got_some() && !m_isSkipping && wasClosedOrderly()) {
        m_parser->put_eof(failure);
        if (!m_isBusy) {
            return;
        }
        if (!failure && m_parser->is_done()) {
            finish(ConnectionOutcome::Closing);
            return;
        }
    }
    finish(ConnectionOutcome::Broken);
}

/// The error of a reset is reported once. If a write has taken it, reading ends as if the peer had
/// closed the connection.
bool Connection::wasClosedOrderly() const
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (::getsockopt(h2o_socket_get_fd(m_socket), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return !m_isWriting && !m_hasWriteFailed;
    }
    return info.tcpi_state != TCP_CLOSE && !m_hasWriteFailed;
}

void Connection::finish(ConnectionOutcome end)
{
    m_isBusy = false;
    if (end != ConnectionOutcome::Reusable) {
        close();
    }
    const std::function<void(ConnectionOutcome)> callback
            = std::exchange(m_handlers.onEnd, nullptr);
    callback(end);
}

bool Connection::hasUnreadBytes() const
{
    char byte = 0;
    return m_mayHaveUnread
           && ::recv(h2o_socket_get_fd(m_socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void Connection::idle(std::function<void()> onUnusable)
{
    m_onUnusable = std::move(onUnusable);
    m_parser.reset();
    m_handlers = {};
    releaseMemory(m_request);
    startReading();
}

void Connection::pause()
{
    if (!isClosed()) {
        h2o_socket_read_stop(m_socket);
    }
}

void Connection::resume()
{
    if (m_isBusy) {
        startReading();
    }
}

void Connection::startReading()
{
    if (isClosed() || h2o_socket_is_reading(m_socket)) {
        return;
    }
    h2o_socket_read_start(m_socket, [](h2o_socket_t *socket, const char * /*error*/) {
        // A handler may drop the last other reference.
        const std::shared_ptr<Connection> self = of(socket).shared_from_this();
        self->onReadable();
    });
}

void Connection::setProbeInterval(std::chrono::seconds interval)
{
    if (isClosed() || interval == m_probeInterval) {
        return;
    }
    m_probeInterval = interval;
    const int seconds = static_cast<int>(interval.count());
    ::setsockopt(h2o_socket_get_fd(m_socket), IPPROTO_TCP, TCP_KEEPINTVL, &seconds,
                 sizeof(seconds));
}

std::optional<bool> Connection::isUnacknowledgedFor(Duration time) const
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (isClosed()
        || ::getsockopt(h2o_socket_get_fd(m_socket), IPPROTO_TCP, TCP_INFO, &info, &length) != 0
        || length < offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(info.tcpi_last_ack_recv)) {
        return std::nullopt;
    }
    // A peer whose window is closed acknowledges probes, so that nothing is outstanding then.
    return info.tcpi_unacked > 0 && std::chrono::milliseconds(info.tcpi_last_ack_recv) >= time;
}

void Connection::close()
{
    m_isBusy = false;
    releaseMemory(m_unparsed);
    m_account.set(0);
    if (m_socket != nullptr) {
        h2o_socket_close(std::exchange(m_socket, nullptr));
    }
}

} // namespace teaseldrift::http
