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

namespace teaseldrift::http {

class BufferBudget;
class ConnectionLimiter;
class EventLoop;

/// @brief Endpoint, limits and certificate of a server.
struct ServerOptions
{
    Endpoint endpoint{.address = "127.0.0.1", .port = 0};
    /// Largest request body that is passed to the handler, in bytes.
    size_t maxBodyBytes = 8U << 20U;
    /// Longest time that a caller may take to send a request.
    Duration requestTimeout = 10s;
    /// Guards against request smuggling: rejects heads that parsers may interpret differently
    /// (several lengths, folded lines, a space before a colon), and reads no further request from a
    /// connection after a chunked body.
    bool isStrict = false;
    /// Time within which a caller's host must acknowledge data or TCP keep-alive probes; 0 for no
    /// limit.
    Duration ackTimeout{0};
    /// PEM files; both empty for plain HTTP.
    std::string certificateFile;
    std::string keyFile;
    /// Returns headers to add to the error responses that the server sends itself, without calling
    /// the handler: 400 for a malformed head, 413 for a body over the limit.
    std::function<Headers(int status)> errorHeaders;
    /// Budget for what callers have not read yet of their responses; null for no limit. Must
    /// outlive the server and its exchanges.
    BufferBudget *buffers = nullptr;
    /// Bounds what clients may hold; null for no bounds. Must outlive the server.
    ConnectionLimiter *limiter = nullptr;
    /// Name of the server in the limiter's reports.
    std::string name;
    /// Largest number of connections, if there is a limiter; 0 for no limit.
    size_t maxConnections = 0;
    /// Copies that the handler makes of a request's body while it has the request; they count
    /// toward the limiter's budget.
    size_t bodyCopies = 0;
    /// Accepts HTTP/2 without TLS.
    bool acceptsPlainHttp2 = true;
};

/// @brief A caller's request and its response.
///
/// Must be used on the server's event loop. Once the caller has disconnected, calls have no effect.
class Exchange
{
public:
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    [[nodiscard]] std::string_view method() const;
    /// @brief Path including the query.
    [[nodiscard]] std::string_view path() const;
    [[nodiscard]] std::string_view authority() const;
    [[nodiscard]] std::string_view body() const;
    [[nodiscard]] const Headers &headers() const;

    /// @brief Closes the connection after the response, and announces this in the response.
    void closeAfterResponse();

    /// @brief Sends a complete response.
    void respond(const Response &response);

    /// @brief Starts a streamed response; its body follows with write().
    void startStream(int status, const Headers &headers);

    /// @brief Appends to the body of a started stream.
    /// @return bytes that the caller has not read yet; write no more while this is large
    size_t write(std::string_view data);

    /// @brief Completes the stream.
    void finish();

    /// @brief Aborts the stream, so that the caller sees an incomplete response. Before a response
    /// has started, closes the connection without one (HTTP/2: resets the stream).
    void abort();

    /// @brief Like abort(), but only after all data written so far has been sent.
    void abortAfterWrites();

    /// @brief Bytes written that have not been sent to the caller yet.
    [[nodiscard]] size_t pendingBytes() const;

    /// @brief Time at which data was last sent to the caller; before that, the start of the stream.
    [[nodiscard]] Instant lastProgress() const;

    /// @brief Sets a callback that runs whenever all data written so far has been sent.
    void onDrained(std::function<void()> callback);

    /// @brief Sets a callback that runs once if the caller disconnects before the response is
    /// complete.
    void onDisconnected(std::function<void()> callback);

    /// @brief Checks the connection and returns whether the caller has closed it. HTTP/2
    /// connections are not checked.
    [[nodiscard]] bool isCallerDisconnected() const;

    /// Implementation; public for Server only.
    struct Impl;
    explicit Exchange(std::unique_ptr<Impl> impl);

private:
    std::unique_ptr<Impl> m_impl;
};

/// @brief An HTTP/1.1 and HTTP/2 server on one event loop.
///
/// ```cpp
/// Server server(loop, {.endpoint = {"127.0.0.1", 0}}, [](std::shared_ptr<Exchange> exchange) {
///     exchange->respond({.body = "hello"});
/// });
/// std::error_code error = server.listen();
/// ```
class Server
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    Server(EventLoop &loop, ServerOptions options, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// @brief Binds the listening socket and starts accepting connections.
    [[nodiscard]] std::error_code listen();

    /// @brief The bound port.
    [[nodiscard]] uint16_t port() const;

    /// @brief Sets the longest time that a connection may stay idle or take to send a request.
    void setRequestTimeout(Duration timeout);

    /// @brief Stops accepting connections; open ones are closed after their current request.
    void stopAccepting();

    /// @brief Closes connections on which no request is in progress.
    void closeIdle();

    /// @brief Number of requests whose response is not complete.
    [[nodiscard]] size_t openExchanges() const;

    /// Implementation; public for the other files of this package only.
    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::http
