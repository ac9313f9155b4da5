#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/connection_choice.hpp"

namespace teaseldrift::http {

class EventLoop;

/// @brief Bounds on what the clients of a process may hold.
struct ConnectionLimits
{
    /// Bytes of requests that have not been received completely, of all connections together.
    size_t incompleteBytes = 64U << 20U;
    /// Bytes of requests that handlers have, with their copies.
    size_t handledBytes = 128U << 20U;
    /// Largest head of a request, in bytes.
    size_t headBytes = 64U << 10U;
    /// Largest part of a server's connections that one address holds while others have some.
    double addressShare = 0.5;
};

/// @brief Why a connection was closed or a request was refused.
enum class LimitReason {
    /// Incomplete requests held more than their budget.
    IncompleteBytes,
    HeadBytes,
    /// The length that a request declares is more than a budget as a whole.
    DeclaredLength,
    /// The server had more connections than its limit.
    Connections,
    /// The request did not fit into the budget of requests that handlers have.
    HandledBytes,
};

inline constexpr size_t limitReasonCount = 5;

/// @brief Name of a reason in metrics and logs.
[[nodiscard]] std::string_view toString(LimitReason reason);

/// @brief A connection that the limiter closed, or whose request it refused.
struct LimitedConnection
{
    LimitReason reason = LimitReason::IncompleteBytes;
    /// Name of the server.
    std::string_view server;
    /// IPv4 address of the client as text.
    std::string_view address;
    /// Bytes that the connection held.
    size_t bytes = 0;
    /// Time since it was accepted.
    Duration age{0};
};

/// @brief Sums of all connections of a process.
struct ConnectionTotals
{
    std::array<size_t, 5> connectionsByState{};
    size_t incompleteBytes = 0;
    size_t handledBytes = 0;
    std::array<uint64_t, limitReasonCount> limited{};
    uint64_t failedAccepts = 0;
};

/// @brief Closes connections of clients that hold more than their part of the process, and refuses
/// requests that do not fit.
///
/// h2o reads a whole request into the input buffer of its socket before it calls a handler. The
/// limiter examines these buffers every few milliseconds while the event loop runs. One object is
/// shared by all servers of a process; it must outlive them and belongs to one event loop.
class ConnectionLimiter
{
public:
    /// @param onLimited called for each connection closed and each request refused
    ConnectionLimiter(EventLoop &loop, ConnectionLimits limits,
                      std::function<void(const LimitedConnection &)> onLimited = {});
    ~ConnectionLimiter();
    ConnectionLimiter(const ConnectionLimiter &) = delete;
    ConnectionLimiter &operator=(const ConnectionLimiter &) = delete;

    [[nodiscard]] ConnectionTotals totals() const;

    /// @brief Whether a connection could not be accepted for lack of descriptors or memory within
    /// the last second.
    [[nodiscard]] bool failsToAccept() const;

    /// Implementation; public for the other files of this package only.
    struct Impl;
    Impl &impl() { return *m_impl; }

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::http
