#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace teaseldrift::testing {

/// @brief A program of this project running beside a test. Killed when destroyed.
class Process
{
public:
    /// @brief No process.
    Process() = default;

    /// @param program path of the program
    /// @param errorFile file to which its standard error is appended; empty discards it
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &errorFile = {});
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;

    /// @brief Waits for the end.
    /// @return the exit code, or 128 plus the signal that ended it
    int wait();

    /// @brief Whether it still runs.
    [[nodiscard]] bool isRunning();

    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_status = 0;
};

/// @brief A connection that has sent an incomplete request head.
class HalfOpenConnection
{
public:
    /// @brief Connects to a loopback port.
    explicit HalfOpenConnection(uint16_t port);
    ~HalfOpenConnection();
    HalfOpenConnection(HalfOpenConnection &&other) noexcept;
    HalfOpenConnection(const HalfOpenConnection &) = delete;
    HalfOpenConnection &operator=(const HalfOpenConnection &) = delete;

    [[nodiscard]] bool isConnected() const { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

/// @brief Opens up to `count` connections; those that fail are left out.
std::vector<HalfOpenConnection> openHalfOpenConnections(uint16_t port, size_t count);

/// @brief A loopback port that the system gives to nobody else: neither to another reservation or
/// listener that asks for any port nor to an outgoing connection. A program that sets SO_REUSEADDR
/// can listen on it, also repeatedly.
class ReservedPort
{
public:
    /// @throws std::runtime_error if no port is free
    ReservedPort();
    ~ReservedPort();
    ReservedPort(ReservedPort &&other) noexcept;
    ReservedPort &operator=(ReservedPort &&other) noexcept;
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    [[nodiscard]] uint16_t number() const { return m_number; }

private:
    int m_descriptor = -1;
    uint16_t m_number = 0;
};

} // namespace teaseldrift::testing
