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

class EventLoop;

/// @brief How a server listens.
struct ServerOptions
{
    Endpoint endpoint{.address = "127.0.0.1", .port = 0};
    /// Largest body that reaches the handler, in bytes.
    size_t maxBodyBytes = 8U << 20U;
    /// Longest time that a caller may take to send a request.
    Duration requestTimeout = 10s;
    /// Refuses heads that two parsers may read differently (two lengths, folded lines, a space
    /// before a colon), and reads no further request from a connection after a chunked body.
    bool isStrict = false;
    /// Time in which a caller's host must acknowledge data or keep-alive probes; 0 for no bound.
    Duration ackTimeout{0};
    /// PEM files; both empty for plain HTTP.
    std::string certificateFile;
    std::string keyFile;
    /// Headers added to an error that the server answers itself, before the handler sees the
    /// request: 400 for a malformed head, 413 for a body over the limit.
    std::function<Headers(int status)> errorHeaders;
};

/// @brief One request of a caller and the way to answer it.
///
/// Belongs to the server's loop. Once the caller is gone every call is ignored.
class Exchange
{
public:
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    [[nodiscard]] std::string_view method() const;
    /// @brief Path with query.
    [[nodiscard]] std::string_view path() const;
    [[nodiscard]] std::string_view authority() const;
    [[nodiscard]] std::string_view body() const;
    [[nodiscard]] const Headers &headers() const;

    /// @brief Announces with the answer that the connection closes after it.
    void closeAfterResponse();

    /// @brief Sends a whole answer.
    void respond(const Response &response);

    /// @brief Starts an answer whose body follows piece by piece.
    void startStream(int status, const Headers &headers);

    /// @brief Adds to the body of a started stream.
    /// @return bytes that wait for the caller to read; hold back more data while it is large
    size_t write(std::string_view data);

    /// @brief Ends the stream properly.
    void finish();

    /// @brief Breaks the stream off, so that the caller sees an incomplete answer.
    void abort();

    /// @brief Like abort(), once the caller has taken everything written so far.
    void abortAfterWrites();

    /// @brief Bytes that wait for the caller to read.
    [[nodiscard]] size_t pendingBytes() const;

    /// @brief Time at which the caller last took data; the start of the stream before that.
    [[nodiscard]] Instant lastProgress() const;

    /// @brief Called whenever the caller has taken all data handed over so far.
    void onDrained(std::function<void()> callback);

    /// @brief Called once if the caller goes away before the answer is complete.
    void onDisconnected(std::function<void()> callback);

    /// @brief Looks at the connection and tells whether the caller has closed it.
    [[nodiscard]] bool isCallerDisconnected() const;

    /// Access for the server.
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

    /// @brief Binds and starts to accept.
    [[nodiscard]] std::error_code listen();

    /// @brief The bound port.
    [[nodiscard]] uint16_t port() const;

    /// @brief Changes the longest time that a connection may stay idle or take to send a request.
    void setRequestTimeout(Duration timeout);

    /// @brief Accepts no further connections and lets open ones end after their current request.
    void stopAccepting();

    /// @brief Closes connections on which no request is under way.
    void closeIdle();

    /// @brief Requests whose answer is not complete.
    [[nodiscard]] size_t openExchanges() const;

    /// Access for the other parts of this package.
    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::http
