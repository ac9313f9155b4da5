#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::http {

/// @brief What a connection of a server is used for at the moment.
enum class ConnectionState {
    /// Accepted, and no request has been received on it.
    New,
    /// Between two requests.
    Idle,
    /// A part of a request has been received.
    Incomplete,
    /// A handler has a request of it.
    Handled,
    /// The handler has given the whole response; the client has not read all of it.
    Writing,
};

/// @brief A connection as the choice of connections to close sees it.
struct ConnectionLoad
{
    ConnectionState state = ConnectionState::New;
    /// Bytes of incomplete requests that the process holds for it.
    size_t bytes = 0;
    /// Number in the order of acceptance.
    uint64_t number = 0;
    /// IPv4 address of the client.
    uint32_t address = 0;
    /// Since when it has been in this state.
    Instant since{};
};

/// @brief Chooses the connections to close so that incomplete requests hold at most `limit` bytes:
/// the largest first and, among equal ones, the newest first.
/// @return positions in `connections`
[[nodiscard]] std::vector<size_t> chooseOverBudget(std::span<const ConnectionLoad> connections,
                                                   size_t limit);

/// @brief Bound on the number of connections.
struct ConnectionCountLimit
{
    size_t connections = 0;
    /// Largest part of them that one address holds while other addresses have connections.
    double addressShare = 0.5;
    Instant now{};
    /// Time in which a connection without any request is closed only after all others: the
    /// request of an ordinary client arrives just after its connection.
    Duration newConnectionTime = 1s;
};

/// @brief Chooses the connections to close so that at most `limit.connections` remain.
///
/// Connections of an address over its share are closed first. Within that, those without any
/// request, idle ones, those with an incomplete request, those whose client does not read its
/// response, and those that have just been accepted, each the longest in that state first.
/// Connections whose request a handler has are never chosen; more than the limit may remain.
/// @return positions in `connections`
[[nodiscard]] std::vector<size_t> chooseDisplaced(std::span<const ConnectionLoad> connections,
                                                  const ConnectionCountLimit &limit);

} // namespace teaseldrift::http
