#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "event_loop_impl.hpp"
#include "response_parser.hpp"
#include "teaseldrift/http/buffer_budget.hpp"
#include "teaseldrift/http/client.hpp"

namespace teaseldrift::http {

/// @brief How an exchange on a connection ended, and whether the connection can be reused.
enum class ConnectionOutcome {
    /// The response is complete, and the connection can be reused.
    Reusable,
    /// The response is complete, and the connection cannot be reused.
    Closing,
    Broken,
};

/// @brief Callbacks from a connection to the call that uses it.
struct ConnectionHandlers
{
    /// Returns whether a response belongs to the request; others are discarded.
    std::function<bool(const ResponseHead &)> matchesRequest;
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onData;
    std::function<void(ConnectionOutcome)> onEnd;
};

/// @brief A connection to a target.
///
/// Its handlers may close it and drop the last reference to it: buffer, parser and handlers are
/// kept until the parser has returned, and no handler is called after close().
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    /// @param socket must have been created with H2O_SOCKET_FLAG_DONT_READ
    /// @param readBuffer used during each read; may be shared with other connections of the loop
    /// @param buffers budget for what is kept between reads; null for no limit
    Connection(h2o_socket_t *socket, std::span<char> readBuffer, BufferBudget *buffers);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// @brief Sends a request and reads its response. The connection must be open and have no
    /// exchange in progress, as in onEnd after a reusable response.
    void exchange(std::string request, bool isHead, ConnectionHandlers handlers);

    /// @brief Marks the connection as idle and watches it.
    /// @param onUnusable called if the target closes it or sends unsolicited data
    void idle(std::function<void()> onUnusable);

    void pause();
    void resume();
    void close();

    /// @brief Sets the interval of TCP keep-alive probes.
    void setProbeInterval(std::chrono::seconds interval);

    /// @brief Whether the connection was closed because its budget was exhausted.
    [[nodiscard]] bool wasGivenUp() const { return m_wasGivenUp; }

    /// @brief See Call::isUnacknowledgedFor().
    [[nodiscard]] std::optional<bool> isUnacknowledgedFor(Duration time) const;

    /// @brief Longest idle time that the target has announced; empty if it has not announced one.
    [[nodiscard]] std::optional<Duration> announcedIdleTime() const { return m_idleTime; }

private:
    static Connection &of(h2o_socket_t *socket);
    void beginResponse();
    void startReading();
    void onReadable();
    void read();
    /// @return the bytes that the parser needs again together with those that follow
    std::string_view parse(std::string_view input);
    void onWritten(const char *error);
    void handleClosed();
    [[nodiscard]] bool wasClosedOrderly() const;
    void finish(ConnectionOutcome end);
    [[nodiscard]] bool hasUnreadBytes() const;
    [[nodiscard]] bool isClosed() const { return m_socket == nullptr; }

    h2o_socket_t *m_socket;
    std::span<char> m_readBuffer;
    /// Received bytes that the parser could not use without those that follow.
    std::string m_unparsed;
    BufferAccount m_account;
    std::string m_request;
    bool m_isHead = false;
    bool m_isWriting = false;
    bool m_hasWriteFailed = false;
    bool m_isSkipping = false;
    bool m_isBusy = false;
    bool m_wasGivenUp = false;
    /// The last read filled the buffer, so that the kernel may hold more.
    bool m_mayHaveUnread = false;
    /// Interim responses to the request.
    int m_interimResponses = 0;
    std::optional<ResponseParser> m_parser;
    ConnectionHandlers m_handlers;
    std::function<void()> m_onUnusable;
    std::optional<Duration> m_idleTime;
    /// As setAckTimeout() leaves it.
    std::chrono::seconds m_probeInterval{1};
};

} // namespace teaseldrift::http
