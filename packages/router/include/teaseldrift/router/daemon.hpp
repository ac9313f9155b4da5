#pragma once

#include <cstdint>
#include <memory>
#include <system_error>

#include "teaseldrift/schema/settings.pb.h"

namespace teaseldrift::router {

/// @brief Numbers that distinguish this run of the process from all others.
struct DaemonIdentity
{
    /// Must not be 0.
    uint64_t incarnation = 0;
    /// Seed of request ids, jitter and random choices.
    uint64_t seed = 0;
};

/// @brief Result of a shutdown.
enum class ShutdownOutcome {
    /// All requests were completed.
    Graceful,
    /// Requests were still open at the shutdown deadline and were aborted.
    RequestsAborted,
};

/// @brief A router process: all tasks of a VM on one event loop.
///
/// ```cpp
/// Daemon daemon(settings, {.incarnation = 7, .seed = 9});
/// std::error_code error = daemon.start();
/// ShutdownOutcome outcome = daemon.run();
/// ```
class Daemon
{
public:
    Daemon(schema::RouterSettings settings, DaemonIdentity identity);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// @brief Binds the ports for callers and peers and starts all tasks.
    /// @return a system error, or invalid_argument for an address that is not IP:port
    [[nodiscard]] std::error_code start();

    /// @brief Serves requests until the graceful shutdown begun by requestShutdown() is finished.
    ShutdownOutcome run();

    /// @brief Begins a graceful shutdown. May be called from any thread; further calls have no
    /// effect.
    void requestShutdown();

    /// @brief Bound port for callers.
    [[nodiscard]] uint16_t callerPort() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
