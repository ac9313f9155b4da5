#pragma once

#include <cstdint>
#include <memory>
#include <system_error>

#include "teaseldrift/schema/settings.pb.h"

namespace teaseldrift::router {

/// @brief Numbers that make one run of the process different from every other.
struct DaemonIdentity
{
    /// Never 0.
    uint64_t incarnation = 0;
    /// Seed of request ids, jitter and random choices.
    uint64_t seed = 0;
};

/// @brief How a daemon ended.
enum class ShutdownOutcome {
    /// Nothing was cut.
    Graceful,
    /// Requests were still open when the time for shutdown was over.
    RequestsAborted,
};

/// @brief One router: all tasks of a VM wired together on one event loop.
///
/// ```cpp
/// Daemon daemon(settings, {.incarnation = 7, .seed = 9});
/// std::error_code error = daemon.start();
/// ShutdownOutcome end = daemon.run();
/// ```
class Daemon
{
public:
    Daemon(schema::RouterSettings settings, DaemonIdentity identity);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// @brief Binds the ports for callers and peers and starts all tasks.
    /// @return an error of the system, or invalid_argument for an address that is not IP:port
    [[nodiscard]] std::error_code start();

    /// @brief Serves until the graceful stop that requestShutdown() began is over.
    ShutdownOutcome run();

    /// @brief Begins a graceful stop. Callable from any thread, and more than once.
    void requestShutdown();

    /// @brief Bound port for callers.
    [[nodiscard]] uint16_t callerPort() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
